"""Priority order of waiting calls, by program instead of by call."""

import heapq
import itertools
from collections import OrderedDict

from attrs import define

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import Call

_MAX_PROGRAMS = 20_000
_BACKGROUND_PENALTY_SECONDS = 120.0
_ATTAINED_SERVICE_WEIGHT = 0.5
_INITIAL_OUTPUT_TOKENS = 256.0
_OUTPUT_SMOOTHING = 0.3

Rank = tuple[int, float, int]


@define(eq=False)
class ProgramUsage:
    """The resources that a program has used.

    Attributes
    ----------
    started_at : float
        Arrival of its first call on the monotonic clock, in seconds.
    attained_seconds : float
        Total run time of its calls.
    output_tokens : float
        Moving average of the lengths of its answers.
    calls_started : int
        Number of calls that were assigned.
    """

    started_at: float
    attained_seconds: float = 0.0
    output_tokens: float = _INITIAL_OUTPUT_TOKENS
    calls_started: int = 0

    def record_call(self, seconds: float, completion_tokens: int) -> None:
        """Record a finished call."""
        self.attained_seconds += seconds
        if completion_tokens:
            change = completion_tokens - self.output_tokens
            self.output_tokens += _OUTPUT_SMOOTHING * change


class ProgramTable:
    """The most recently used programs, in bounded memory."""

    def __init__(self) -> None:
        self.programs: OrderedDict[str, ProgramUsage] = OrderedDict()

    def get_or_create(self, program: str, now: float) -> ProgramUsage:
        """Return a program's entry, which is created if missing."""
        entry = self.programs.get(program)
        if entry is None:
            entry = ProgramUsage(now)
            self.programs[program] = entry
            if len(self.programs) > _MAX_PROGRAMS:
                self.programs.popitem(last=False)
        self.programs.move_to_end(program)
        return entry

    def forget(self, program: str) -> None:
        """Remove an ended program."""
        self.programs.pop(program, None)


@define(eq=False)
class WaitingCall:
    """A call that waits in a queue.

    Attributes
    ----------
    call : Call
        The call.
    keys : tuple of int
        Hashes of its prompt's chunks.
    rank : tuple
        Its priority, which never changes; calls with lower ranks go first.
    submitted_at : float
        Time of arrival on the monotonic clock, in seconds.
    output_tokens : float
        Expected length of its answer.
    queued_endpoint : str
        The endpoint for whose slot it waits, empty if none has been chosen.
    is_new_program : bool
        Whether it starts a program whose context no engine has in its cache.
    admitted : bool
        Whether a new program has been admitted by the pool's cache admission.
    removed : bool
        Whether it has left the queue; heaps drop it when it reaches the top.
    """

    call: Call
    keys: tuple[int, ...]
    rank: Rank
    submitted_at: float
    output_tokens: float
    queued_endpoint: str = ""
    is_new_program: bool = False
    admitted: bool = False
    removed: bool = False


class Ranking:
    """Computes the rank of each new call.

    Lookups go before all other calls, in order of arrival. Other calls are ranked
    by a time that never changes, so that all waiting calls age at the same rate
    and none starves. It is the program's start, plus an amount that grows with
    the service that the program has attained, plus a penalty for background
    work, but no later than the deadline allows.
    """

    def __init__(self) -> None:
        self._order = itertools.count()

    def by_program(self, call: Call, usage: ProgramUsage, now: float) -> Rank:
        """Return the rank of a call from the usage of its program."""
        order = next(self._order)
        if call.call_class is CallClass.LOOKUP:
            return (0, now, order)
        time = usage.started_at + _ATTAINED_SERVICE_WEIGHT * usage.attained_seconds
        if call.call_class is CallClass.BACKGROUND:
            time += _BACKGROUND_PENALTY_SECONDS
        if call.deadline is not None:
            time = min(time, call.deadline - usage.attained_seconds)
        return (1, time, order)

    def by_arrival(self, now: float) -> Rank:
        """Return a rank in the order of arrival."""
        return (1, now, next(self._order))


def delayed(rank: Rank, seconds: float) -> Rank:
    """Return a rank of the same class that is later by some seconds."""
    group, time, order = rank
    return (group, time + seconds, order)


class CallHeap:
    """A heap of waiting calls by rank, which drops removed calls lazily."""

    def __init__(self) -> None:
        self.entries: list[tuple[Rank, WaitingCall]] = []

    def push(self, waiting: WaitingCall) -> None:
        """Add a call."""
        heapq.heappush(self.entries, (waiting.rank, waiting))

    def head(self) -> WaitingCall | None:
        """Return the first call without removing it."""
        while self.entries and self.entries[0][1].removed:
            heapq.heappop(self.entries)
        return self.entries[0][1] if self.entries else None

    def pop(self) -> WaitingCall | None:
        """Remove and return the first call."""
        waiting = self.head()
        if waiting is not None:
            heapq.heappop(self.entries)
        return waiting
