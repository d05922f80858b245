"""Keeps an engine near its batch limit though daemons hear of each other late.

Each daemon may always use its fair share of an engine's slots. What idle
daemons leave is borrowed, but only a part of the free slots between two words
from peers, so that daemons which see the same gap don't all fill it.
"""

import math
import random

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.endpoint_state import EndpointState

LOOKUP_EXTRA_SLOTS = 2
_BORROW_UPDATE_SECONDS = 0.5


class SlotAllocator:
    """Says whether a call may be sent to an endpoint now.

    Parameters
    ----------
    rng : random.Random
        Settles who takes the last free slots.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.waiting_by_peer: dict[str, int] = {}

    @property
    def daemon_count(self) -> int:
        """How many daemons share the endpoints, this one included."""
        return 1 + len(self.waiting_by_peer)

    @property
    def contending_daemons(self) -> int:
        """How many daemons have calls that wait, this one included."""
        return 1 + sum(waiting > 0 for waiting in self.waiting_by_peer.values())

    def update_peer(self, incarnation: str, waiting: int) -> None:
        """Take in how many calls wait at a peer."""
        self.waiting_by_peer[incarnation] = waiting

    def forget_peer(self, incarnation: str) -> None:
        """Drop a peer that is gone."""
        self.waiting_by_peer.pop(incarnation, None)

    def has_free(self, state: EndpointState, call_class: CallClass, now: float) -> bool:
        """Return whether a slot is free for a call of this class."""
        limit = state.settings.batch_limit
        if call_class is CallClass.LOOKUP:
            return state.load() < limit + LOOKUP_EXTRA_SLOTS
        if self.daemon_count == 1:
            return state.load() < limit
        if len(state.running) < limit // self.daemon_count:
            return True
        self._update_borrowable(state, now)
        return state.borrowable_slots > 0 and state.load() < limit

    def acquire(self, state: EndpointState) -> None:
        """Note a call that is about to be sent."""
        share = state.settings.batch_limit // self.daemon_count
        if len(state.running) >= share:
            state.borrowable_slots -= 1

    def release(self, state: EndpointState) -> None:
        """Note a call that has ended; a borrowed slot may be borrowed again.

        Without it, calls that last far less than the time between two words
        from peers could use each borrowed slot once in that time.
        """
        share = state.settings.batch_limit // self.daemon_count
        if len(state.running) >= share:
            state.borrowable_slots += 1

    def _update_borrowable(self, state: EndpointState, now: float) -> None:
        """Share the free slots anew, no more often than peers send word."""
        if now - state.borrowable_updated_at < _BORROW_UPDATE_SECONDS:
            return
        state.borrowable_updated_at = now
        room = state.settings.batch_limit - state.load()
        if room <= 0:
            state.borrowable_slots = 0
            return
        part = room / self.contending_daemons
        whole = math.floor(part)
        state.borrowable_slots = whole + (self.rng.random() < part - whole)
