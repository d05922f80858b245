"""The limits that endpoints named, as far as this daemon knows."""

from attrs import frozen


@frozen(kw_only=True)
class EndpointLimit:
    """The limit that an endpoint named, or that it named none, with the time.

    Attributes
    ----------
    per_second : float or None
        The requests a second for all daemons together, None if it names none.
    seen_at : float
        When a response said so, on the monotonic clock.
    """

    per_second: float | None
    seen_at: float


class LimitTable:
    """The newest limit of each endpoint that named one."""

    def __init__(self) -> None:
        self.limits: dict[str, EndpointLimit] = {}

    def per_second(self, endpoint: str) -> float | None:
        """Return an endpoint's limit, None if it has none."""
        limit = self.limits.get(endpoint)
        return None if limit is None else limit.per_second

    def record_named(self, endpoint: str, per_second: float, now: float) -> bool:
        """Record that a response named a limit; return whether it changed."""
        before = self.per_second(endpoint)
        self.limits[endpoint] = EndpointLimit(per_second=per_second, seen_at=now)
        return before != per_second

    def record_unreadable(self, endpoint: str, now: float) -> None:
        """Keep the last limit: the endpoint is still in need."""
        per_second = self.per_second(endpoint)
        if per_second is not None:
            self.record_named(endpoint, per_second, now)

    def record_none(self, endpoint: str, sent_at: float, now: float) -> bool:
        """Record that a response named no limit; return whether one has ended.

        A response to a request that was sent before the limit was last named may
        only have overtaken that one.
        """
        limit = self.limits.get(endpoint)
        if limit is None or limit.per_second is None or sent_at < limit.seen_at:
            return False
        self.limits[endpoint] = EndpointLimit(per_second=None, seen_at=now)
        return True

    def merge(self, endpoint: str, other: EndpointLimit) -> bool:
        """Take another daemon's limit if it is newer; return whether it changed."""
        own = self.limits.get(endpoint)
        if own is not None and own.seen_at >= other.seen_at:
            return False
        before = self.per_second(endpoint)
        self.limits[endpoint] = other
        return before != other.per_second

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that restarted or is gone."""
        self.limits.pop(endpoint, None)
