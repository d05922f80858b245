"""Finds endpoints that fail a larger share of their calls than their service.

It answers endpoints that fail a part of their calls while their health check
passes, that report good health wrongly, and that go down and up by turns. An
ejection lasts longer each time it repeats. A request that fails everywhere, or a
service that fails as a whole, ejects no endpoint.
"""

import math

from attrs import define, field

MEMORY_SECONDS = 20.0
MIN_CALLS = 4.0
MIN_EXCESS_SHARE = 0.25
MAX_EJECTED_SHARE = 0.3
INITIAL_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 30.0
# An endpoint that has gone this long without an ejection begins anew.
FORGET_SECONDS = 60.0
PRIOR_CALLS = 4.0
MIN_OPEN_ENDPOINTS = 2


@define(eq=False)
class FailureCounts:
    """Calls and failures whose weight falls with their age.

    Attributes
    ----------
    calls, failures : float
        Weighted numbers.
    updated_at : float
        Time of the last update on the monotonic clock, in seconds.
    """

    calls: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weights to those of a time."""
        factor = math.exp(-max(0.0, now - self.updated_at) / MEMORY_SECONDS)
        self.calls *= factor
        self.failures *= factor
        self.updated_at = now

    def record(self, failed: bool, now: float) -> None:
        """Record the outcome of a call."""
        self.decay(now)
        self.calls += 1.0
        self.failures += failed

    def remove(self, other: "FailureCounts") -> None:
        """Subtract counts that were updated at the same time."""
        self.calls = max(0.0, self.calls - other.calls)
        self.failures = max(0.0, self.failures - other.failures)

    def clear(self) -> None:
        """Forget all calls."""
        self.calls = self.failures = 0.0


@define(eq=False)
class Ejection:
    """The ejections of one endpoint.

    Attributes
    ----------
    until : float
        End of the current or last one on the monotonic clock, in seconds.
    seconds : float
        Duration of the last one.
    """

    until: float = float("-inf")
    seconds: float = 0.0

    def begin(self, now: float) -> None:
        """Eject the endpoint, for longer than the last time."""
        is_repeated = now - self.until < FORGET_SECONDS
        repeated = min(MAX_EJECTION_SECONDS, 2.0 * self.seconds)
        self.seconds = repeated if is_repeated else INITIAL_EJECTION_SECONDS
        self.until = now + self.seconds


@define(eq=False)
class ServiceOutliers:
    """The failures of the endpoints of one service."""

    total: FailureCounts = field(factory=FailureCounts)
    counts: dict[str, FailureCounts] = field(factory=dict)
    ejections: dict[str, Ejection] = field(factory=dict)

    def record(self, endpoint: str, failed: bool, now: float) -> None:
        """Record the outcome of a call on an endpoint."""
        self.total.record(failed, now)
        self.counts.setdefault(endpoint, FailureCounts()).record(failed, now)

    def excess_share(self, endpoint: str, now: float) -> float:
        """Return how much larger a share of calls fails than on other endpoints.

        Few calls count less, so that one failure does not rule out an endpoint.
        """
        own = self.counts.get(endpoint)
        if own is None:
            return 0.0
        excess = own.failures - own.calls * self._share_of_others(own, now)
        return max(0.0, excess / (own.calls + PRIOR_CALLS))

    def eject_if_outlier(self, endpoint: str, open_count: int, now: float) -> bool:
        """Eject an endpoint if it is an outlier, and return whether it was ejected.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        open_count : int
            Number of endpoints of the service that accept calls, with this one.
        now : float
            Time on the monotonic clock, in seconds.
        """
        own = self.counts[endpoint]
        if own.calls < MIN_CALLS or self.is_ejected(endpoint, now):
            return False
        share = own.failures / own.calls
        if share < self._share_of_others(own, now) + MIN_EXCESS_SHARE:
            return False
        ejected = sum(one.until > now for one in self.ejections.values())
        allowed = max(1, int(MAX_EJECTED_SHARE * (open_count + ejected)))
        if ejected >= allowed or open_count < MIN_OPEN_ENDPOINTS:
            return False
        self.ejections.setdefault(endpoint, Ejection()).begin(now)
        self.total.remove(own)
        own.clear()
        return True

    def ejected_until(self, endpoint: str) -> float:
        """Return the end of an endpoint's last ejection."""
        ejection = self.ejections.get(endpoint)
        return float("-inf") if ejection is None else ejection.until

    def is_ejected(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint gets no calls."""
        return self.ejected_until(endpoint) > now

    def end_ejection(self, endpoint: str, now: float) -> None:
        """Let an endpoint take calls again, as no other one does."""
        if self.is_ejected(endpoint, now):
            self.ejections[endpoint].until = now

    def clear(self) -> None:
        """Forget all failures: the daemon's own links had failed."""
        self.total.clear()
        self.counts.clear()
        self.ejections.clear()

    def retain(self, endpoints: set[str]) -> None:
        """Forget all other endpoints."""
        for table in (self.counts, self.ejections):
            for endpoint in table.keys() - endpoints:
                del table[endpoint]

    def _share_of_others(self, own: FailureCounts, now: float) -> float:
        """Return the share of calls that fail on the other endpoints."""
        own.decay(now)
        self.total.decay(now)
        calls = max(0.0, self.total.calls - own.calls)
        failures = max(0.0, self.total.failures - own.failures)
        return failures / (calls + 1.0)
