"""How many calls an endpoint runs well at once, learned from its run times.

The limit grows by a fixed step while run times stay near the best ones, and falls
by a factor when they are far beyond, as in congestion control. It answers
endpoints that slow down long before their slots are full: calls beyond the limit
do better elsewhere, or by waiting.
"""

GROWTH_CALLS = 1.0
DECREASE_FACTOR = 0.8
MAX_SLOWDOWN_RATIO = 1.5
MIN_SLOTS_SHARE = 0.25
RECORDS_PER_DECREASE = 8
# A longer run counts as this one, so that a single one does not move the mean far.
MAX_RATIO = 4.0
_LATENCY_SMOOTHING = 0.1
_BASELINE_SMOOTHING = 0.05
_USED_SHARE = 0.5


class ConcurrencyLimit:
    """A limit of the calls of all daemons on one endpoint.

    Parameters
    ----------
    slots : int
        Calls that the endpoint runs at once; the limit never exceeds them.

    Attributes
    ----------
    limit : float
        The limit.
    latency : float or None
        Smoothed ratio of measured to expected run times.
    baseline : float or None
        That ratio at low load.
    """

    __slots__ = ("baseline", "latency", "limit", "since_decrease", "slots")

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.limit = float(self.slots)
        self.latency: float | None = None
        self.baseline: float | None = None
        self.since_decrease = 0

    @property
    def floor(self) -> float:
        """The lowest limit, which keeps the endpoint in use."""
        return max(1.0, MIN_SLOTS_SHARE * self.slots)

    @property
    def share(self) -> float:
        """The limit as a share of the slots."""
        return self.limit / self.slots

    def set_slots(self, slots: int) -> None:
        """Change the number of slots, and the limit in proportion."""
        if slots > 0 and slots != self.slots:
            self.limit *= slots / self.slots
            self.slots = slots
            self.limit = min(float(slots), max(self.floor, self.limit))

    def record(self, ratio: float, load: int) -> None:
        """Learn from a finished call.

        Parameters
        ----------
        ratio : float
            Its run time, divided by the expected one.
        load : int
            Calls of all daemons on the endpoint when it began, without itself.
        """
        if self.latency is None or self.baseline is None:
            self.latency = self.baseline = ratio
            return
        ratio = min(ratio, MAX_RATIO * self.baseline)
        self.latency += _LATENCY_SMOOTHING * (ratio - self.latency)
        self.since_decrease += 1
        if load < self.floor or self.latency < self.baseline:
            self.baseline += _BASELINE_SMOOTHING * (ratio - self.baseline)
        if self.latency > MAX_SLOWDOWN_RATIO * self.baseline:
            self._decrease(load)
        elif load + 1 >= _USED_SHARE * self.limit:
            self.limit = min(float(self.slots), self.limit + GROWTH_CALLS / self.limit)

    def _decrease(self, load: int) -> None:
        """Lower the limit, at most once for the calls that run at a time."""
        if load < self.floor or self.since_decrease < RECORDS_PER_DECREASE:
            return
        self.since_decrease = 0
        self.limit = max(self.floor, DECREASE_FACTOR * min(self.limit, load + 1.0))
