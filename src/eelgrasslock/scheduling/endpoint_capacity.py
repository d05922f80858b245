"""What an endpoint takes well, as far as its reports and outcomes show it."""

from attrs import define, field

from eelgrasslock.scheduling.concurrency_limit import ConcurrencyLimit
from eelgrasslock.scheduling.outlier_detection import ServiceOutliers
from eelgrasslock.scheduling.reported_slowdown import ReportedSlowdown
from eelgrasslock.scheduling.slow_start import SlowStart

# What a failure costs the caller of a call: another attempt, and the wait for it.
FAILED_CALL_SECONDS = 1.0
MAX_KINDS = 256
_RUN_TIME_SMOOTHING = 0.05


@define(eq=False)
class ServiceCapacity:
    """What the endpoints of one service are compared with.

    Attributes
    ----------
    outliers : ServiceOutliers
        The failures of its endpoints.
    slots : int
        Calls that one of its endpoints said it runs at once, 0 if none did.
    run_seconds : dict of str to float
        Moving average of the run times on plain endpoints, by kind of call.
    """

    slots: int = 0
    outliers: ServiceOutliers = field(factory=ServiceOutliers)
    run_seconds: dict[str, float] = field(factory=dict)

    def record_run_time(self, kind: str, seconds: float) -> None:
        """Update the average run time of a kind of call."""
        average = self.run_seconds.get(kind)
        if average is not None:
            average += _RUN_TIME_SMOOTHING * (seconds - average)
            self.run_seconds[kind] = average
        elif len(self.run_seconds) < MAX_KINDS:
            self.run_seconds[kind] = seconds


class EndpointCapacity:
    """The learned limit, speed and reliability of one endpoint.

    Parameters
    ----------
    endpoint : str
        The endpoint's id.
    slots : int
        Calls that it runs at once, until it reports their number.
    service : ServiceCapacity
        What it is compared with.
    """

    __slots__ = ("concurrency", "endpoint", "service", "slow_start", "slowdown")

    def __init__(self, endpoint: str, slots: int, service: ServiceCapacity) -> None:
        self.endpoint = endpoint
        self.service = service
        self.concurrency = ConcurrencyLimit(slots)
        self.slowdown = ReportedSlowdown()
        self.slow_start = SlowStart()

    def limit(self, now: float) -> float:
        """Return the calls of all daemons that the endpoint takes well now."""
        return max(1.0, self.concurrency.limit * self.slow_start.share(now))

    def run_factor(self, now: float) -> float:
        """Return the factor of run times that its machine and a new start cause."""
        return self.slowdown.factor(now) / self.slow_start.share(now)

    def failure_cost(self, now: float) -> float:
        """Return the expected cost of failures beyond those of others, in seconds."""
        excess = self.service.outliers.excess_share(self.endpoint, now)
        return excess * FAILED_CALL_SECONDS

    def is_ejected(self, now: float) -> bool:
        """Return whether it gets no calls because too many have failed."""
        return self.service.outliers.is_ejected(self.endpoint, now)

    def record_outcome(self, failed: bool, open_count: int, now: float) -> bool:
        """Record whether a call failed; return whether that ejects the endpoint."""
        outliers = self.service.outliers
        outliers.record(self.endpoint, failed, now)
        ejected = failed and outliers.eject_if_outlier(self.endpoint, open_count, now)
        if ejected:
            self.slow_start.begin(outliers.ejected_until(self.endpoint))
        return ejected

    def expected_plain_seconds(self, kind: str, now: float) -> float:
        """Return the run time of a call elsewhere at this slowdown, 0.0 if unknown."""
        usual = self.service.run_seconds.get(kind, 0.0)
        return usual * self.slowdown.factor(now)
