"""Holds new programs back while the engines' caches are full of live ones.

With more live programs than the caches hold, each one's context is evicted
while its tool runs and computed again at its next turn; everything gets slower,
so that still more programs are live. Fewer at a time finish sooner.
"""

from eelgrasslock.scheduling.endpoint_state import EndpointState
from eelgrasslock.scheduling.slot_allocator import SlotAllocator

USABLE_CACHE_SHARE = 0.9
_REFRESH_SECONDS = 0.25
_INTERVAL_SMOOTHING = 0.1


class CacheAdmission:
    """Knows how much room a pool's caches have for new programs."""

    def __init__(self) -> None:
        self.waiting = 0
        self.admitted_tokens = 0
        self.free_tokens = 0.0
        self.live_tokens = 0
        self.refreshed_at = float("-inf")
        self.blocked_since: float | None = None
        self.interval_seconds = 0.0

    def refresh(
        self, states: list[EndpointState], slots: SlotAllocator, now: float
    ) -> None:
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
        if now - self.refreshed_at < _REFRESH_SECONDS:
            return
        self.refreshed_at = now
        capacity = sum(state.settings.cache_tokens for state in states)
        self.live_tokens = sum(state.live_tokens for state in states)
        full = USABLE_CACHE_SHARE * capacity
        self.free_tokens = full / slots.daemon_count - self.live_tokens
        if slots.daemon_count > 1:
            free = full - sum(_reported_tokens(state) for state in states)
            self.free_tokens = max(self.free_tokens, free / slots.contending_daemons)

    def admit(self, tokens: int, now: float) -> bool:
        """Return whether a newcomer may be placed, and count it in."""
        is_empty = self.live_tokens + self.admitted_tokens <= 0
        if not is_empty and self.free_tokens - self.admitted_tokens < tokens:
            if self.blocked_since is None:
                self.blocked_since = now
            return False
        self.admitted_tokens += tokens
        self._update_interval(now)
        return True

    def remove(self, tokens: int, admitted: bool) -> None:
        """Note a newcomer that has started, or was given up."""
        self.waiting -= 1
        if admitted:
            self.admitted_tokens -= tokens
            self.free_tokens -= tokens
            self.live_tokens += tokens

    def predicted_wait(self) -> float:
        """Return the seconds until one more newcomer would be let in."""
        return self.waiting * self.interval_seconds

    def _update_interval(self, now: float) -> None:
        """Take in how long a newcomer stood first in the queue."""
        seconds = now - self.blocked_since if self.blocked_since is not None else 0.0
        self.interval_seconds += _INTERVAL_SMOOTHING * (seconds - self.interval_seconds)
        self.blocked_since = None


def _reported_tokens(state: EndpointState) -> int:
    if state.report is None:
        return state.settings.cache_tokens
    return state.report.cache_used_tokens
