"""A daemon's tokens for requests to an endpoint that named a limit."""

from collections import deque

# A token that no call takes soon is lost, so that tokens of many daemons can't be
# saved up and used at the same time.
TOKEN_LIFE_SECONDS = 0.5
# An endpoint that names 0 is still tried now and then, or the end of its limit would
# never be heard.
MIN_REQUESTS_PER_SECOND = 0.25
# After that a call tries again for a token, or the end of a low limit would not be
# noticed while other endpoints have room.
ESTIMATE_LIFE_SECONDS = 2.0


class RequestTokens:
    """Tokens for requests to one endpoint; each request takes one.

    Parameters
    ----------
    interval_seconds : float
        Expected time between two tokens for this daemon.

    Attributes
    ----------
    next_at, estimated_at : float
        When the next token is expected, and when that was estimated, on the monotonic
        clock.
    """

    def __init__(self, interval_seconds: float) -> None:
        self.interval_seconds = interval_seconds
        self.next_at = 0.0
        self.estimated_at = 0.0
        self._expire_at: deque[float] = deque()

    def add(self, count: int, now: float) -> None:
        """Add tokens that were granted."""
        self._expire_at.extend([now + TOKEN_LIFE_SECONDS] * count)

    def expect(self, next_at: float, interval_seconds: float, now: float) -> None:
        """Set when further tokens are expected."""
        self.next_at = next_at
        self.estimated_at = now
        self.interval_seconds = interval_seconds

    def available(self, now: float) -> int:
        """Return the number of tokens that can be used now."""
        while self._expire_at and self._expire_at[0] <= now:
            self._expire_at.popleft()
        return len(self._expire_at)

    def take(self, now: float) -> None:
        """Use up a token."""
        if self.available(now):
            self._expire_at.popleft()

    def wait_seconds(self, ahead: int, now: float) -> float:
        """Return the expected seconds until a call gets a token.

        Parameters
        ----------
        ahead : int
            Number of calls that take a token before it.
        now : float
            Time on the monotonic clock, in seconds.
        """
        missing = ahead + 1 - self.available(now)
        if missing <= 0:
            return 0.0
        is_known = now < self.estimated_at + ESTIMATE_LIFE_SECONDS
        first = max(0.0, self.next_at - now) if is_known else 0.0
        return first + (missing - 1) * self.interval_seconds
