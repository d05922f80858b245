"""Grants requests to one endpoint, at the rate that it named, to all daemons."""

import math

from attrs import define, frozen

# The requests that may come at once after a pause.
BURST_SECONDS = 0.25
# A daemon that was told to wait is passed over if it does not ask again.
_ASKER_SLACK_SECONDS = 0.5
_MAX_WAIT_SECONDS = 60.0


@frozen(kw_only=True)
class Grant:
    """The answer to a daemon that asked for tokens.

    Attributes
    ----------
    count : int
        Number of tokens that were granted.
    wait_seconds : float
        When the daemon can have its next token, in seconds from now; 0.0 if there
        is one already.
    askers : int
        Number of daemons that want tokens, including the one that asked.
    """

    count: int
    wait_seconds: float
    askers: int


@define(eq=False)
class Asker:
    """A daemon that was granted fewer tokens than it asked for.

    Attributes
    ----------
    count : int
        Number of tokens that it still wants.
    urgency : int
        Lower values go first.
    place : int
        Number of its first request; lower values go first.
    expires_at : float
        Until when its place in the queue is kept.
    """

    count: int
    urgency: int
    place: int
    expires_at: float


class GrantQueue:
    """A token bucket for all daemons; whoever waits is served by urgency, then order.

    A new queue starts empty, so that the daemon that takes over from another one
    grants nothing that the other may have granted already.

    Parameters
    ----------
    per_second : float
        The rate of tokens.
    now : float
        Time on the monotonic clock, in seconds.
    """

    def __init__(self, per_second: float, now: float) -> None:
        self.per_second = per_second
        self.tokens = 0.0
        self.asking: dict[str, Asker] = {}
        self._updated_at = now
        self._next_place = 0

    def set_rate(self, per_second: float, now: float) -> None:
        """Change the rate from now on."""
        self._refill(now)
        self.per_second = per_second
        self.tokens = min(self.tokens, self._capacity())

    def ask(self, asker: str, count: int, urgency: int, now: float) -> Grant:
        """Grant as many tokens as there are and nobody who goes first wants.

        A count of 0 leaves the asker's place as it is.
        """
        self._refill(now)
        self._drop_expired(now)
        if not count:
            return Grant(count=0, wait_seconds=0.0, askers=len(self.asking))
        earlier = self.asking.pop(asker, None)
        place = self._next_place if earlier is None else earlier.place
        self._next_place += 1
        ahead = sum(
            one.count
            for one in self.asking.values()
            if (one.urgency, one.place) < (urgency, place)
        )
        granted = max(0, min(count, math.floor(self.tokens - ahead)))
        self.tokens -= granted
        missing = count - granted
        wait_seconds = self._wait_seconds(ahead)
        if missing:
            expires_at = now + wait_seconds + _ASKER_SLACK_SECONDS
            self.asking[asker] = Asker(missing, urgency, place, expires_at)
        askers = len(self.asking) + (not missing)
        return Grant(count=granted, wait_seconds=wait_seconds, askers=askers)

    def _wait_seconds(self, ahead: int) -> float:
        if self.per_second <= 0:
            return _MAX_WAIT_SECONDS
        missing = ahead + 1 - self.tokens
        return min(_MAX_WAIT_SECONDS, max(0.0, missing / self.per_second))

    def _capacity(self) -> float:
        return 1.0 + BURST_SECONDS * self.per_second

    def _refill(self, now: float) -> None:
        added = (now - self._updated_at) * self.per_second
        self.tokens = min(self._capacity(), self.tokens + added)
        self._updated_at = now

    def _drop_expired(self, now: float) -> None:
        self.asking = {
            name: one for name, one in self.asking.items() if one.expires_at > now
        }
