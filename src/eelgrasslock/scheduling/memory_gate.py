"""Holds new programs back while the engines' caches are full of live ones.

With more live programs than the caches hold, each one's context is evicted
while its tool runs and computed again at its next turn; everything gets slower,
so that still more programs are live. Fewer at a time finish sooner.
"""

from eelgrasslock.scheduling.endpoint_state import EndpointState
from eelgrasslock.scheduling.slots import Slots

FULL_SHARE = 0.9
_LOOK_SECONDS = 0.25
_LEARNING_RATE = 0.1


class MemoryGate:
    """Knows how much room a pool's caches have for new programs."""

    def __init__(self) -> None:
        self.waiting = 0
        self.admitted_tokens = 0
        self.room = 0.0
        self.live_tokens = 0
        self.looked = float("-inf")
        self.closed_at: float | None = None
        self.interval = 0.0

    def look(self, states: list[EndpointState], slots: Slots, now: float) -> None:
        """Measure the room anew, a few times a second at most.

        A daemon may always fill its fair share. What others leave is borrowed:
        the part of the caches that the engines report as free, divided by the
        daemons whose calls wait.

        Parameters
        ----------
        states : list of EndpointState
            The pool's engines.
        slots : Slots
            Knows how many daemons share them.
        now : float
            On the monotonic clock.
        """
        if now - self.looked < _LOOK_SECONDS:
            return
        self.looked = now
        capacity = sum(state.settings.cache_tokens for state in states)
        self.live_tokens = sum(state.live_tokens for state in states)
        full = FULL_SHARE * capacity
        self.room = full / slots.daemons - self.live_tokens
        if slots.daemons > 1:
            free = full - sum(_reported_tokens(state) for state in states)
            self.room = max(self.room, free / slots.rivals)

    def admit(self, tokens: int, now: float) -> bool:
        """Return whether a newcomer may be placed, and count it in."""
        is_empty = self.live_tokens + self.admitted_tokens <= 0
        if not is_empty and self.room - self.admitted_tokens < tokens:
            if self.closed_at is None:
                self.closed_at = now
            return False
        self.admitted_tokens += tokens
        self._learn_interval(now)
        return True

    def left(self, tokens: int, admitted: bool) -> None:
        """Note a newcomer that has started, or was given up."""
        self.waiting -= 1
        if admitted:
            self.admitted_tokens -= tokens
            self.room -= tokens
            self.live_tokens += tokens

    def predicted_wait(self) -> float:
        """Return the seconds until one more newcomer would be let in."""
        return self.waiting * self.interval

    def _learn_interval(self, now: float) -> None:
        """Take in how long a newcomer stood first in the queue."""
        seconds = now - self.closed_at if self.closed_at is not None else 0.0
        self.interval += _LEARNING_RATE * (seconds - self.interval)
        self.closed_at = None


def _reported_tokens(state: EndpointState) -> int:
    if state.report is None:
        return state.settings.cache_tokens
    return state.report.cache_used_tokens
