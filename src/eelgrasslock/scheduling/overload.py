"""Turns away late programs while the endpoints can't keep up.

Answers the pattern of a burst that fills the endpoints' own queues: each turn
then waits there behind turns of programs that are late already, until all
programs are late.
"""

import random

from attrs import frozen

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.pool import Pool

# Calls in flight for each one that the endpoints run side by side. A turn takes
# about so many times as long as alone; programs aim at 1.4 and more. Those of
# less urgent routes yield first.
LATE_STRETCH = 1.2
URGENT_LATE_STRETCH = 1.8
LEAST_RETURN_SECONDS = 0.3
MOST_RETURN_SECONDS = 1.5
RETURN_SPREAD = 0.5


@frozen
class Crowding:
    """How busy the endpoints of a pool are, by all daemons' calls.

    Attributes
    ----------
    in_flight : int
        Calls that they run or keep waiting.
    slots : int
        Calls that they can run side by side.
    call_seconds : float
        How long a call takes of late.
    """

    in_flight: int
    slots: int
    call_seconds: float

    @property
    def stretch(self) -> float:
        """How many calls there are for each that can run."""
        return self.in_flight / self.slots if self.slots else 0.0

    def seconds_until(self, stretch: float) -> float:
        """Return how long the endpoints need until there are no more than that."""
        beyond = max(0.0, self.in_flight - stretch * self.slots)
        return beyond * self.call_seconds / max(1, self.slots)


def crowding(pool: Pool, now: float) -> Crowding:
    """Return how busy the endpoints are that may take calls."""
    states = [state for state in pool.states if state.is_open(now)]
    return Crowding(
        in_flight=sum(state.load() for state in states) + pool.total_waiting,
        slots=sum(state.settings.lanes for state in states),
        call_seconds=pool.service_seconds,
    )


def check_late(call: Call, pool: Pool, now: float, rng: random.Random) -> None:
    """Refuse a late program's call while those in time need the endpoints.

    The later a program is, the less is lost by its waiting. Callers are sent
    back over a range of times, so that they don't return together.

    Raises
    ------
    Refusal
        With the time after which the endpoints should have caught up.
    """
    if call.finish_at is None or call.finish_at > now:
        return
    stretch = URGENT_LATE_STRETCH if call.is_urgent else LATE_STRETCH
    busy = crowding(pool, now)
    if busy.stretch <= stretch:
        return
    seconds = busy.seconds_until(stretch)
    seconds = min(MOST_RETURN_SECONDS, max(LEAST_RETURN_SECONDS, seconds))
    retry_after = seconds * rng.uniform(1.0 - RETURN_SPREAD, 1.0 + RETURN_SPREAD)
    sentence = (
        f"The program is late, and {busy.in_flight} calls are in flight where "
        f"{busy.slots} can run."
    )
    raise Refusal("program_late", sentence, 429, Ran.NO, retry_after)
