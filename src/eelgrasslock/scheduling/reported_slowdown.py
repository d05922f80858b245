"""How slow an endpoint's machine is now, from reports that age within a second.

Endpoints that share their machines with other software report how much longer
work takes there at the moment. A report says much about the next instant and
little about the next second; beyond that, only the mean of the reports counts. An
endpoint without reports for long is taken as usual again, so that it is tried.
"""

import math

MEMORY_SECONDS = 0.25
MEAN_SECONDS = 10.0
MEAN_REPORTS = 16
PRIOR_REPORTS = 2
MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 10.0


class ReportedSlowdown:
    """The last report of a slowdown and the mean of recent ones.

    Attributes
    ----------
    mean : float
        Mean of recent reports and of `PRIOR_REPORTS` usual ones.
    last : float
        The last report.
    count : int
        Number of reports in the mean, up to `MEAN_REPORTS`.
    """

    __slots__ = ("count", "last", "mean", "reported_at")

    def __init__(self) -> None:
        self.mean = 1.0
        self.last = 1.0
        self.count = PRIOR_REPORTS
        self.reported_at = float("-inf")

    def record(self, slowdown: float, now: float) -> None:
        """Record a report, as a multiple of the usual time of work."""
        self.last = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        self.reported_at = now
        self.count = min(MEAN_REPORTS, self.count + 1)
        self.mean += (self.last - self.mean) / self.count

    def factor(self, now: float) -> float:
        """Return the expected slowdown at a time on the monotonic clock."""
        age = max(0.0, now - self.reported_at)
        mean = 1.0 + math.exp(-age / MEAN_SECONDS) * (self.mean - 1.0)
        return mean + math.exp(-age / MEMORY_SECONDS) * (self.last - self.mean)
