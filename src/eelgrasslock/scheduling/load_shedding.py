"""Load shedding: refuses new programs while the engines' queues grow.

Engines admit turns in order of arrival, so that in a burst each program that
starts makes all others wait. Without shedding, the programs of the burst and
those of the next twenty seconds all finish late. New programs are shed because
no work has been spent on them yet, unlike on running ones.
"""

import enum
import random
from collections import deque

from attrs import frozen

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.workspace_demand import (
    Excess,
    WorkspaceDemand,
    fair_refusal_share,
)

OBSERVATION_WINDOW_SECONDS = 1.5
MAX_OBSERVATIONS = 128
MIN_OBSERVATIONS = 3

# Ratio of the running and waiting calls of an engine to its slots from which some
# new programs are refused (START), and from which all are (ALL).
TOP_PRIORITY_SHED_START_RATIO = 1.35
TOP_PRIORITY_SHED_ALL_RATIO = 2.2
SHED_START_RATIO = 1.1
SHED_ALL_RATIO = 1.75
# Added to the ratio for workspaces of lower priority, and for what workspaces ask
# beyond their shares.
LOWER_WORKSPACE_RATIO = 0.1
EXCESS_RATIO_MARGIN = 0.4

MIN_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 1.2
RETRY_JITTER = 0.5


class ProgramStage(enum.Enum):
    """Progress of a program at the arrival of one of its calls."""

    FRESH = "fresh"
    RETURNED = "returned"
    UNDER_WAY = "under_way"
    UNKNOWN = "unknown"


@frozen
class CallerWorkspace:
    """The workspace that sends a program.

    Attributes
    ----------
    name : str
        Its name.
    has_lower_priority : bool
        Whether another workspace has a higher priority, which goes before the
        priority of routes.
    """

    name: str
    has_lower_priority: bool = False


@frozen(kw_only=True)
class LoadObservation:
    """The load that an engine reported with an answer.

    Attributes
    ----------
    time : float
        Time of arrival on the monotonic clock, in seconds.
    ratio : float
        Number of running and waiting calls, divided by the number of slots.
    """

    time: float
    ratio: float


class ServiceLoad:
    """Mean load of the engines of one service, from their latest reports.

    Each daemon receives the load of a few engines a second, with the answers to
    its own calls. Their mean estimates the load of all engines, even if the load
    reports of other daemons are late.
    """

    def __init__(self) -> None:
        self.observations: deque[LoadObservation] = deque(maxlen=MAX_OBSERVATIONS)

    def record_load(self, running: int, waiting: int, slots: int, now: float) -> None:
        """Record the load that an engine reported with an answer."""
        if slots > 0:
            ratio = (running + waiting) / slots
            self.observations.append(LoadObservation(time=now, ratio=ratio))

    def ratio(self, now: float) -> float:
        """Return the mean of the recent observations, 0.0 if there are too few."""
        while (
            self.observations
            and self.observations[0].time < now - OBSERVATION_WINDOW_SECONDS
        ):
            self.observations.popleft()
        if len(self.observations) < MIN_OBSERVATIONS:
            return 0.0
        return sum(one.ratio for one in self.observations) / len(self.observations)


def shed_share(ratio: float, stage: ProgramStage, has_top_priority: bool) -> float:
    """Return the share of such programs to refuse, from 0.0 to 1.0.

    Programs of lower priority are refused at a lower load. A program that was
    refused before has lost some of its time; it gives way to programs that can
    still finish in time.
    """
    if stage not in (ProgramStage.FRESH, ProgramStage.RETURNED):
        return 0.0
    start, refuse_all = (
        (TOP_PRIORITY_SHED_START_RATIO, TOP_PRIORITY_SHED_ALL_RATIO)
        if has_top_priority
        else (SHED_START_RATIO, SHED_ALL_RATIO)
    )
    if stage is ProgramStage.RETURNED and ratio > start:
        return 1.0
    return min(1.0, max(0.0, (ratio - start) / (refuse_all - start)))


class LoadShedder:
    """Refuses the first calls of new programs while engines are overloaded.

    Where callers have workspaces, those that ask for more than their shares are
    refused first.

    Parameters
    ----------
    clock : Clock
        Source of the time.
    rng : random.Random
        Selects the programs to refuse, and adds jitter to their retry delay.

    Attributes
    ----------
    service_loads : dict of str to ServiceLoad
        The observed load of each service.
    demands : dict of str to WorkspaceDemand
        The demand of the workspaces of each service.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.service_loads: dict[str, ServiceLoad] = {}
        self.demands: dict[str, WorkspaceDemand] = {}

    def record_load(self, service: str, running: int, waiting: int, slots: int) -> None:
        """Record the load that an engine of a service reported with an answer."""
        service_load = self.service_loads.setdefault(service, ServiceLoad())
        service_load.record_load(running, waiting, slots, self.clock.monotonic())

    def check(
        self,
        service: str,
        stage: ProgramStage,
        has_top_priority: bool,
        waiting_ratio: float = 0.0,
        workspace: CallerWorkspace | None = None,
    ) -> None:
        """Refuse a program's first call if the load of the engines is too high.

        Parameters
        ----------
        service : str
            Name of the service that would run it.
        stage : ProgramStage
            Progress of the program.
        has_top_priority : bool
            Whether the program has the highest priority of the service.
        waiting_ratio : float
            Calls that wait here for each that runs, beyond those that engines report.
        workspace : CallerWorkspace or None
            Its workspace, if it has one.

        Raises
        ------
        Refusal
            With the delay after which the load should be lower.
        """
        now = self.clock.monotonic()
        service_load = self.service_loads.setdefault(service, ServiceLoad())
        ratio = service_load.ratio(now) + waiting_ratio
        if workspace is None:
            share = shed_share(ratio, stage, has_top_priority)
        else:
            demand = self.demands.setdefault(service, WorkspaceDemand())
            share = self._fair_share(demand, ratio, stage, has_top_priority, workspace)
        if share == 0.0 or self.rng.random() >= share:
            return
        sentence = (
            f"By {len(service_load.observations)} answers of the last"
            f" {OBSERVATION_WINDOW_SECONDS} s, the"
            f" engines have {ratio:.2f} calls for each that they run at once;"
            f" {share:.0%} of programs that are {stage.value} are turned away."
        )
        if workspace is not None:
            if stage is ProgramStage.FRESH:
                demand.record_refused(workspace.name, now)
            sentence += _cause(workspace.name, demand.excesses(now))
        seconds = self._retry_seconds(share)
        raise Refusal("engines_crowded", sentence, 429, Ran.NO, seconds)

    def max_load_ratio(self) -> float:
        """Return the highest load ratio of all services, for the metrics."""
        now = self.clock.monotonic()
        return max((one.ratio(now) for one in self.service_loads.values()), default=0.0)

    def workspaces_beyond_share(self) -> int:
        """Return how many workspaces ask for more than their shares."""
        now = self.clock.monotonic()
        names: set[str] = set()
        for demand in self.demands.values():
            names.update(demand.excesses(now))
        return len(names)

    def _fair_share(
        self,
        demand: WorkspaceDemand,
        ratio: float,
        stage: ProgramStage,
        has_top_priority: bool,
        workspace: CallerWorkspace,
    ) -> float:
        """Return the share of a workspace's programs to refuse, from 0.0 to 1.0.

        One that was refused before gives way only where fresh ones of its own
        workspace do.
        """
        now = self.clock.monotonic()
        if stage is not ProgramStage.RETURNED:
            demand.record(workspace.name, now, stage is ProgramStage.FRESH)
        if workspace.has_lower_priority:
            has_top_priority = False
            ratio += LOWER_WORKSPACE_RATIO
        share = shed_share(ratio, stage, has_top_priority)
        excesses = demand.excesses(now)
        if not excesses or stage not in (ProgramStage.FRESH, ProgramStage.RETURNED):
            return share
        excess = excesses.get(workspace.name)
        fresh_share = shed_share(ratio, ProgramStage.FRESH, has_top_priority)
        fair_share = fair_refusal_share(
            fresh_share, excess, list(excesses.values()), demand.reviewed_rate
        )
        if excess is not None:
            early = shed_share(ratio + EXCESS_RATIO_MARGIN, stage, has_top_priority)
            early *= 1.0 - excess.share / excess.demand
            fair_share = max(fair_share, early)
        if stage is ProgramStage.RETURNED and fair_share > 0.0:
            return max(share, fair_share)
        return fair_share

    def _retry_seconds(self, share: float) -> float:
        """Return the retry delay in seconds, with jitter so that retries spread out."""
        range_seconds = MAX_RETRY_SECONDS - MIN_RETRY_SECONDS
        seconds = MIN_RETRY_SECONDS + share * range_seconds
        return seconds * self.rng.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)


def _cause(workspace: str, excesses: dict[str, Excess]) -> str:
    """Return a sentence that tells a workspace's excess, empty if it has none."""
    excess = excesses.get(workspace)
    if excess is None:
        return ""
    times = excess.demand / excess.share
    return f" The workspace {workspace} asks for {times:.1f} times its share."
