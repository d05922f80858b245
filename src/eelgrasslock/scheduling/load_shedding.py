"""Turns new programs away while the engines' own queues grow.

Answers the pattern of a burst of new programs: engines admit turns in order of
arrival, so that every program that begins makes all others wait. Without it,
the burst's programs and those of the next twenty seconds all end late. A new
program has cost nothing yet; one that is under way has.
"""

import enum
import random
from collections import deque

from attrs import frozen

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Ran, Refusal

OBSERVATION_WINDOW_SECONDS = 1.5
MAX_OBSERVATIONS = 128
MIN_OBSERVATIONS = 3

# Calls at an engine, running and waiting, for each that it runs at once: where
# new programs begin to be turned away, and where all of them are.
URGENT_SHED_START_RATIO = 1.35
URGENT_SHED_ALL_RATIO = 2.2
SHED_START_RATIO = 1.1
SHED_ALL_RATIO = 1.75

MIN_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 1.2
RETRY_JITTER = 0.5


class ProgramStage(enum.Enum):
    """What is known of a program when one of its calls comes."""

    FRESH = "fresh"
    RETURNED = "returned"
    UNDER_WAY = "under_way"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class LoadObservation:
    """What an engine said of its load.

    Attributes
    ----------
    time : float
        When it was heard, on the monotonic clock.
    ratio : float
        Calls that run or wait there, for each that it runs at once.
    """

    time: float
    ratio: float


class ServiceLoad:
    """How crowded the engines of one service are, by their newest words.

    Each daemon hears a few engines a second, with its own answers; their mean
    tells of all of them, also where the word of other daemons comes late.
    """

    def __init__(self) -> None:
        self.observations: deque[LoadObservation] = deque(maxlen=MAX_OBSERVATIONS)

    def record_load(self, running: int, waiting: int, slots: int, now: float) -> None:
        """Take in what an engine said with an answer."""
        if slots > 0:
            ratio = (running + waiting) / slots
            self.observations.append(LoadObservation(time=now, ratio=ratio))

    def ratio(self, now: float) -> float:
        """Return the mean of the newest words, 0.0 if there are too few."""
        while (
            self.observations
            and self.observations[0].time < now - OBSERVATION_WINDOW_SECONDS
        ):
            self.observations.popleft()
        if len(self.observations) < MIN_OBSERVATIONS:
            return 0.0
        return sum(observation.ratio for observation in self.observations) / len(
            self.observations
        )


def shed_share(ratio: float, stage: ProgramStage, is_urgent: bool) -> float:
    """Return which share of such programs is turned away, from 0.0 to 1.0.

    Programs of less urgent routes are turned away earlier. One that was turned
    away before has lost some of its time, and yields to one that can still end
    in time.
    """
    if stage not in (ProgramStage.FRESH, ProgramStage.RETURNED):
        return 0.0
    crowded, full = (
        (URGENT_SHED_START_RATIO, URGENT_SHED_ALL_RATIO)
        if is_urgent
        else (SHED_START_RATIO, SHED_ALL_RATIO)
    )
    if stage is ProgramStage.RETURNED and ratio > crowded:
        return 1.0
    return min(1.0, max(0.0, (ratio - crowded) / (full - crowded)))


class LoadShedder:
    """Refuses the first calls of new programs while engines are crowded.

    Parameters
    ----------
    clock : Clock
        The time.
    rng : random.Random
        Chooses among the programs, and spreads their return.

    Attributes
    ----------
    services : dict of str to ServiceLoad
        What the engines of each service said.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.service_loads: dict[str, ServiceLoad] = {}

    def record_load(self, service: str, running: int, waiting: int, slots: int) -> None:
        """Take in what an engine of a service said with an answer."""
        service_load = self.service_loads.setdefault(service, ServiceLoad())
        service_load.record_load(running, waiting, slots, self.clock.monotonic())

    def check(self, service: str, stage: ProgramStage, is_urgent: bool) -> None:
        """Refuse a program's first call if the engines are too crowded for it.

        Parameters
        ----------
        service : str
            The service that would run it.
        stage : ProgramStage
            What is known of the program.
        is_urgent : bool
            Whether no other kind of program of the service goes before its own.

        Raises
        ------
        Refusal
            With the time after which the engines should have caught up.
        """
        service_load = self.service_loads.get(service)
        if service_load is None:
            return
        ratio = service_load.ratio(self.clock.monotonic())
        share = shed_share(ratio, stage, is_urgent)
        if share == 0.0 or self.rng.random() >= share:
            return
        sentence = (
            f"By {len(service_load.observations)} answers of the last"
            f" {OBSERVATION_WINDOW_SECONDS} s, the"
            f" engines have {ratio:.2f} calls for each that they run at once;"
            f" {share:.0%} of programs that are {stage.value} are turned away."
        )
        seconds = self._retry_seconds(share)
        raise Refusal("engines_crowded", sentence, 429, Ran.NO, seconds)

    def max_load_ratio(self) -> float:
        """Return the ratio of the most crowded service, for the metrics."""
        now = self.clock.monotonic()
        return max((one.ratio(now) for one in self.service_loads.values()), default=0.0)

    def _retry_seconds(self, share: float) -> float:
        """Return when to come back, spread out so that not all do at once."""
        range_seconds = MAX_RETRY_SECONDS - MIN_RETRY_SECONDS
        seconds = MIN_RETRY_SECONDS + share * range_seconds
        return seconds * self.rng.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
