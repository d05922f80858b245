"""The order of waiting calls, by program and not by call."""

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
    """What one program has got so far.

    Attributes
    ----------
    started_at : float
        When its first call came, on the monotonic clock.
    attained_seconds : float
        Time that endpoints spent on it.
    output_tokens : float
        A moving average of its answers' lengths.
    calls_started : int
        Calls that were assigned.
    """

    started_at: float
    attained_seconds: float = 0.0
    output_tokens: float = _INITIAL_OUTPUT_TOKENS
    calls_started: int = 0

    def record_call(self, seconds: float, completion_tokens: int) -> None:
        """Take in a finished call."""
        self.attained_seconds += seconds
        if completion_tokens:
            change = completion_tokens - self.output_tokens
            self.output_tokens += _OUTPUT_SMOOTHING * change


class ProgramTable:
    """The programs that were seen lately, in bounded memory."""

    def __init__(self) -> None:
        self.programs: OrderedDict[str, ProgramUsage] = OrderedDict()

    def get_or_create(self, program: str, now: float) -> ProgramUsage:
        """Return a program's entry, made if it is new."""
        entry = self.programs.get(program)
        if entry is None:
            entry = ProgramUsage(now)
            self.programs[program] = entry
            if len(self.programs) > _MAX_PROGRAMS:
                self.programs.popitem(last=False)
        self.programs.move_to_end(program)
        return entry

    def forget(self, program: str) -> None:
        """Drop an ended program."""
        self.programs.pop(program, None)


@define(eq=False)
class WaitingCall:
    """A call that waits.

    Attributes
    ----------
    call : Call
        The call.
    keys : tuple of int
        Its prompt's chunk hashes.
    rank : tuple
        Its place in the order; less goes first, and it never changes.
    submitted_at : float
        When it came, on the monotonic clock.
    output_tokens : float
        The expected length of its answer.
    wanted : str
        The endpoint whose slot it waits for, empty if none was chosen yet.
    is_new_program : bool
        Whether it begins a program whose context no engine holds yet.
    admitted : bool
        Whether a newcomer has been let past the memory gate.
    gone : bool
        Whether it has left the queue; heaps drop it when they meet it.
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
    """Ranks a call when it comes.

    Lookups go before all others, in the order they came. The others are ranked
    by a time that never changes, so that every waiting call ages at the same
    rate and none starves: the program's start, later for programs that have
    attained much service and for background work, and no later than a deadline
    allows.
    """

    def __init__(self) -> None:
        self._order = itertools.count()

    def by_program(self, call: Call, usage: ProgramUsage, now: float) -> Rank:
        """Return the rank of a call that belongs to a program."""
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
        """Return a rank that keeps the order of arrival."""
        return (1, now, next(self._order))


class CallHeap:
    """Waiting calls by rank; those that have left are dropped when met."""

    def __init__(self) -> None:
        self.entries: list[tuple[Rank, WaitingCall]] = []

    def push(self, waiting: WaitingCall) -> None:
        """Add a call."""
        heapq.heappush(self.entries, (waiting.rank, waiting))

    def head(self) -> WaitingCall | None:
        """Return the first call, which stays."""
        while self.entries and self.entries[0][1].removed:
            heapq.heappop(self.entries)
        return self.entries[0][1] if self.entries else None

    def pop(self) -> WaitingCall | None:
        """Remove and return the first call."""
        waiting = self.head()
        if waiting is not None:
            heapq.heappop(self.entries)
        return waiting
