"""Gives new and returned endpoints their share of calls step by step.

It answers endpoints that start with empty caches, or that come back and fail
again at once.
"""

RAMP_SECONDS = 5.0
MIN_SHARE = 0.2


class SlowStart:
    """The share of its usual calls that an endpoint gets.

    Attributes
    ----------
    begins_at : float
        Beginning of the last ramp on the monotonic clock, in seconds.
    """

    __slots__ = ("begins_at",)

    def __init__(self) -> None:
        self.begins_at = float("-inf")

    def begin(self, at: float) -> None:
        """Begin a ramp, unless a later one has been planned."""
        self.begins_at = max(self.begins_at, at)

    def share(self, now: float) -> float:
        """Return the share at a time, from `MIN_SHARE` to 1.0."""
        done = max(0.0, now - self.begins_at) / RAMP_SECONDS
        return min(1.0, MIN_SHARE + (1.0 - MIN_SHARE) * done)
