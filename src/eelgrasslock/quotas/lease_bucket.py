"""A token bucket from which daemons lease tokens."""

import math

from attrs import frozen

from eelgrasslock.quotas.quota_share import QuotaShare

MAX_WAIT_SECONDS = 5.0
# How far ahead of its next token a bucket tells those who come in vain to wait.
_MAX_SPREAD_SECONDS = 0.3


@frozen(kw_only=True)
class Lease:
    """The answer to a daemon that asked for tokens.

    Attributes
    ----------
    count : int
        Number of tokens.
    wait_seconds : float
        When it is worth asking again; 0.0 if it got all that it needed.
    """

    count: int
    wait_seconds: float


class LeaseBucket:
    """The tokens that one domain has of a workspace's quota.

    Parameters
    ----------
    share : QuotaShare
        Rate and capacity.
    since : float
        From when on tokens have accrued, on the monotonic clock: until then, a
        former owner may have granted some.
    now : float
        Time on the monotonic clock.

    Attributes
    ----------
    tokens : float
        The tokens that are left.
    used_at : float
        When it was last asked.
    """

    __slots__ = ("_next_due_at", "_updated_at", "share", "tokens", "used_at")

    def __init__(self, share: QuotaShare, since: float, now: float) -> None:
        self.share = share
        self.tokens = min(share.first_tokens, share.capacity)
        self.used_at = now
        self._updated_at = min(since, now)
        self._next_due_at = now

    def set_share(self, share: QuotaShare, now: float) -> None:
        """Change rate and capacity from now on."""
        self._refill(now)
        self.share = share
        self.tokens = min(self.tokens, share.capacity)

    def lease(self, needed: int, extra: int, now: float) -> Lease:
        """Grant the tokens that are needed, and extra ones from half of the rest."""
        self._refill(now)
        self.used_at = now
        count = min(needed, math.floor(self.tokens))
        if count == needed:
            count += min(extra, math.floor((self.tokens - count) / 2))
        self.tokens -= count
        wait_seconds = self._wait_seconds(now) if count < needed else 0.0
        return Lease(count=count, wait_seconds=wait_seconds)

    def is_full(self, now: float) -> bool:
        """Return whether a new bucket would hold as many tokens."""
        self._refill(now)
        return self.tokens >= self.share.capacity

    def _wait_seconds(self, now: float) -> float:
        """Return when to ask again; each that asks in vain is told a later time."""
        if self.share.per_second <= 0:
            return MAX_WAIT_SECONDS
        interval = 1.0 / self.share.per_second
        first_at = now + max(0.0, 1.0 - self.tokens) * interval
        due_at = max(first_at, self._next_due_at)
        due_at = min(due_at, first_at + _MAX_SPREAD_SECONDS)
        self._next_due_at = due_at + interval
        return min(MAX_WAIT_SECONDS, due_at - now)

    def _refill(self, now: float) -> None:
        added = (now - self._updated_at) * self.share.per_second
        self.tokens = min(self.share.capacity, self.tokens + added)
        self._updated_at = now
