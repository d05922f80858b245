"""Shares the slots of each endpoint among daemons whose load reports are delayed.

Each daemon may always use its fair share of an endpoint's slots. Slots that other
daemons leave unused can be borrowed. Between two load reports of peers, a daemon
borrows only a part of the free slots, so that daemons with the same view of them
do not overload the endpoint together.
"""

import math
import random

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.endpoint_state import EndpointState

LOOKUP_EXTRA_SLOTS = 2
_BORROW_UPDATE_SECONDS = 0.5


class SlotAllocator:
    """Decides whether an endpoint has a free slot for a call of this daemon.

    Parameters
    ----------
    rng : random.Random
        Rounds the daemon's part of the free slots up or down at random.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.waiting_by_peer: dict[str, int] = {}

    @property
    def daemon_count(self) -> int:
        """Number of daemons that share the endpoints, including this one."""
        return 1 + len(self.waiting_by_peer)

    @property
    def contending_daemons(self) -> int:
        """Number of daemons with waiting calls, always including this one."""
        return 1 + sum(waiting > 0 for waiting in self.waiting_by_peer.values())

    def update_peer(self, incarnation: str, waiting: int) -> None:
        """Record how many calls wait at a peer."""
        self.waiting_by_peer[incarnation] = waiting

    def forget_peer(self, incarnation: str) -> None:
        """Remove a departed peer."""
        self.waiting_by_peer.pop(incarnation, None)

    def has_free(self, state: EndpointState, call_class: CallClass, now: float) -> bool:
        """Return whether a slot is free for a call of this class."""
        limit = state.slot_limit
        if call_class is CallClass.LOOKUP:
            return state.load() < limit + LOOKUP_EXTRA_SLOTS
        if self.daemon_count == 1:
            return state.load() < limit
        if len(state.running) < limit // self.daemon_count:
            return True
        self._update_borrowable(state, now)
        return state.borrowable_slots > 0 and state.load() < limit

    def acquire(self, state: EndpointState) -> None:
        """Take a slot for a call that is about to be sent."""
        share = state.slot_limit // self.daemon_count
        if len(state.running) >= share:
            state.borrowable_slots -= 1

    def release(self, state: EndpointState) -> None:
        """Release the slot of a call that has ended; it may be borrowed again.

        Otherwise, calls that are much shorter than the interval of the load
        reports could use each borrowed slot only once per interval.
        """
        share = state.slot_limit // self.daemon_count
        if len(state.running) >= share:
            state.borrowable_slots += 1

    def _update_borrowable(self, state: EndpointState, now: float) -> None:
        """Recompute the borrowable slots, no more often than peers report load."""
        if now - state.borrowable_updated_at < _BORROW_UPDATE_SECONDS:
            return
        state.borrowable_updated_at = now
        free = state.slot_limit - state.load()
        if free <= 0:
            state.borrowable_slots = 0
            return
        part = free / self.contending_daemons
        whole = math.floor(part)
        state.borrowable_slots = whole + (self.rng.random() < part - whole)
