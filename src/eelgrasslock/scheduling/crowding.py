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

WINDOW_SECONDS = 1.5
MOST_WORDS = 128
LEAST_WORDS = 3

# Calls at an engine, running and waiting, for each that it runs at once: where
# new programs begin to be turned away, and where all of them are.
URGENT_CROWDED = 1.35
URGENT_FULL = 2.2
CROWDED = 1.1
FULL = 1.75

LEAST_RETURN_SECONDS = 0.4
MOST_RETURN_SECONDS = 1.2
RETURN_SPREAD = 0.5


class Standing(enum.Enum):
    """What is known of a program when one of its calls comes."""

    FRESH = "fresh"
    RETURNED = "returned"
    UNDER_WAY = "under_way"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class LoadWord:
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


class Crowding:
    """How crowded the engines of one service are, by their newest words.

    Each daemon hears a few engines a second, with its own answers; their mean
    tells of all of them, also where the word of other daemons comes late.
    """

    def __init__(self) -> None:
        self.words: deque[LoadWord] = deque(maxlen=MOST_WORDS)

    def hear(self, running: int, waiting: int, slots: int, now: float) -> None:
        """Take in what an engine said with an answer."""
        if slots > 0:
            ratio = (running + waiting) / slots
            self.words.append(LoadWord(time=now, ratio=ratio))

    def ratio(self, now: float) -> float:
        """Return the mean of the newest words, 0.0 if there are too few."""
        while self.words and self.words[0].time < now - WINDOW_SECONDS:
            self.words.popleft()
        if len(self.words) < LEAST_WORDS:
            return 0.0
        return sum(word.ratio for word in self.words) / len(self.words)


def share_turned_away(ratio: float, standing: Standing, is_urgent: bool) -> float:
    """Return which share of such programs is turned away, from 0.0 to 1.0.

    Programs of less urgent routes are turned away earlier. One that was turned
    away before has lost some of its time, and yields to one that can still end
    in time.
    """
    if standing not in (Standing.FRESH, Standing.RETURNED):
        return 0.0
    crowded, full = (URGENT_CROWDED, URGENT_FULL) if is_urgent else (CROWDED, FULL)
    if standing is Standing.RETURNED and ratio > crowded:
        return 1.0
    return min(1.0, max(0.0, (ratio - crowded) / (full - crowded)))


class NewProgramGate:
    """Refuses the first calls of new programs while engines are crowded.

    Parameters
    ----------
    clock : Clock
        The time.
    rng : random.Random
        Chooses among the programs, and spreads their return.

    Attributes
    ----------
    services : dict of str to Crowding
        What the engines of each service said.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.services: dict[str, Crowding] = {}

    def hear(self, service: str, running: int, waiting: int, slots: int) -> None:
        """Take in what an engine of a service said with an answer."""
        crowding = self.services.setdefault(service, Crowding())
        crowding.hear(running, waiting, slots, self.clock.monotonic())

    def check(self, service: str, standing: Standing, is_urgent: bool) -> None:
        """Refuse a program's first call if the engines are too crowded for it.

        Parameters
        ----------
        service : str
            The service that would run it.
        standing : Standing
            What is known of the program.
        is_urgent : bool
            Whether no other kind of program of the service goes before its own.

        Raises
        ------
        Refusal
            With the time after which the engines should have caught up.
        """
        crowding = self.services.get(service)
        if crowding is None:
            return
        ratio = crowding.ratio(self.clock.monotonic())
        share = share_turned_away(ratio, standing, is_urgent)
        if share == 0.0 or self.rng.random() >= share:
            return
        sentence = (
            f"By {len(crowding.words)} answers of the last {WINDOW_SECONDS} s, the"
            f" engines have {ratio:.2f} calls for each that they run at once;"
            f" {share:.0%} of programs that are {standing.value} are turned away."
        )
        seconds = self._return_seconds(share)
        raise Refusal("engines_crowded", sentence, 429, Ran.NO, seconds)

    def most_crowded(self) -> float:
        """Return the ratio of the most crowded service, for the metrics."""
        now = self.clock.monotonic()
        return max((one.ratio(now) for one in self.services.values()), default=0.0)

    def _return_seconds(self, share: float) -> float:
        """Return when to come back, spread out so that not all do at once."""
        range_seconds = MOST_RETURN_SECONDS - LEAST_RETURN_SECONDS
        seconds = LEAST_RETURN_SECONDS + share * range_seconds
        return seconds * self.rng.uniform(1.0 - RETURN_SPREAD, 1.0 + RETURN_SPREAD)
