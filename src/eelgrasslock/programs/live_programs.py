"""Programs as their holder sees them: the journal and what is on its way to it."""

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any, TypeVar

from attrs import define, field
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogError, Ran, Refusal
from eelgrasslock.log.log_availability import (
    LogAvailabilityCheck,
    Tail,
    Writer,
    append_until_stored,
    journal_unavailable_refusal,
)
from eelgrasslock.log.records import Record, journal_stream
from eelgrasslock.programs.accept import Verdict, accept, void
from eelgrasslock.programs.held import HELD_IN_TOTAL, HeldRecords, Replicas, done_within
from eelgrasslock.programs.journal import Journal
from eelgrasslock.programs.journal_records import ProgramCreated
from eelgrasslock.programs.ledger import ZERO, Amount
from eelgrasslock.programs.limits import ended_refusal
from eelgrasslock.programs.program import Program, created_program

JOURNAL_WAIT_SECONDS = 1.0
_REFUSALS_KEPT = 16
_CONFLICT = 409

_Result = TypeVar("_Result")

log = logger.bind(part="programs")


@define(kw_only=True, eq=False)
class LiveProgram:
    """What this daemon keeps of a program besides the journal's state.

    Attributes
    ----------
    id : str
        The program's id.
    lock : asyncio.Lock
        Held by the one call that runs; the others wait in their order.
    claiming : asyncio.Lock
        Held while the program is taken over.
    appending : asyncio.Lock
        Keeps the program's records in order on their way to the log.
    waiting : int
        How many calls wait for the lock.
    held : HeldRecords
        Own records that the journal has not judged.
    reserved : Amount or None
        What the running call may use.
    worst : Amount
        The worst case of the last call, for drawing ahead.
    drawing : asyncio.Task or None
        A draw on its way to the log.
    refusals : deque of Refusal
        The last refusals, for explaining.
    """

    id: str
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    claiming: asyncio.Lock = field(factory=asyncio.Lock)
    appending: asyncio.Lock = field(factory=asyncio.Lock)
    waiting: int = 0
    held: HeldRecords = field(factory=HeldRecords)
    reserved: Amount | None = None
    worst: Amount = ZERO
    drawing: asyncio.Task[Verdict] | None = None
    refusals: deque[Refusal] = field(factory=lambda: deque(maxlen=_REFUSALS_KEPT))

    @property
    def idle(self) -> bool:
        """Whether nothing of it is under way here."""
        busy = self.lock.locked() or self.claiming.locked() or self.waiting
        return not (busy or self.held.records or self.drawing)


class LivePrograms:
    """The programs that this daemon deals with.

    Parameters
    ----------
    domain, incarnation : str
        The daemon's own.
    writer, tail : Writer, Tail
        The log.
    clock : Clock
        The source of time.
    replicas : Replicas
        Peers that hold what the log has not taken.

    Attributes
    ----------
    journal : Journal
        The fold of the domain's journal.
    stream : str
        The journal's stream.
    """

    def __init__(
        self,
        domain: str,
        incarnation: str,
        writer: Writer,
        tail: Tail,
        clock: Clock,
        replicas: Replicas,
    ) -> None:
        self.incarnation = incarnation
        self.writer = writer
        self.tail = tail
        self.clock = clock
        self.replicas = replicas
        self.gate = LogAvailabilityCheck(writer)
        self.journal = Journal()
        self.stream = journal_stream(domain)
        self._live: dict[str, LiveProgram] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def live(self, program: str) -> LiveProgram:
        """Return what is kept of a program, made on first use."""
        if program not in self._live:
            self._live[program] = LiveProgram(id=program)
        return self._live[program]

    def is_running(self, program: str) -> bool:
        """Return whether a call of a program runs here."""
        live = self._live.get(program)
        return live is not None and live.lock.locked()

    def known(self) -> list[str]:
        """Return the ids of all programs with something kept."""
        return list(self._live)

    def forget(self, program: str) -> None:
        """Drop what is kept of a program, if nothing is under way."""
        live = self._live.get(program)
        if live is not None and live.idle:
            del self._live[program]

    def state(self, program: str) -> Program | None:
        """Return a program's state, own unjudged records included."""
        state = self.journal.program(program)
        live = self._live.get(program)
        if live is None:
            return state
        live.held.drop_judged(self.journal)
        if not live.held.records:
            return state
        return _overlay(state, live.held.records)

    def unjournaled(self) -> int:
        """Return how many records wait for the log."""
        for live in self._live.values():
            live.held.drop_judged(self.journal)
        return sum(len(live.held.records) for live in self._live.values())

    def check_room(self, live: LiveProgram) -> None:
        """Raise a `Refusal` if too many records wait for the log already."""
        live.held.drop_judged(self.journal)
        if live.held.full or len(self._tasks) >= HELD_IN_TOTAL:
            raise journal_unavailable_refusal()

    def enqueue(self, live: LiveProgram, record: Record) -> asyncio.Task[Verdict]:
        """Send a record to the log, however long it takes, in order."""
        live.held.add(record)
        return self.watch(self._append(live, record))

    def watch(self, work: Coroutine[Any, Any, _Result]) -> asyncio.Task[_Result]:
        """Run work that outlives the call that started it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def record(self, live: LiveProgram, record: Record) -> bool:
        """Record what happened to a program.

        Returns
        -------
        journaled : bool
            False if the log has not taken it yet; peers then hold a copy.

        Raises
        ------
        Refusal
            If the record is void.
        """
        task = self.enqueue(live, record)
        seconds = JOURNAL_WAIT_SECONDS if self.writer.available else 0.0
        if not await done_within(self.clock, task, seconds):
            copies = await self.replicas.spread(live.id, list(live.held.records))
            log.info("Program {} goes on unjournaled, {} copies.", live.id, copies)
        if not task.done():
            return False
        try:
            verdict = task.result()
        except LogError:
            return False
        if not verdict.counted:
            raise void_refusal(verdict, self.state(live.id))
        return True

    async def judge(self, record: Record) -> Verdict:
        """Append a record, read it back and return whether it counts."""
        offset = await self.writer.append(self.stream, record)
        await self.tail.wait_for_offset(self.stream, offset)
        return self.journal.verdict(record.id) or void("unread")

    async def hand_over(self, seconds: float) -> None:
        """Wait for records on their way, then leave copies and stop."""
        tasks = list(self._tasks)
        waiting = asyncio.gather(*tasks, return_exceptions=True)
        await done_within(self.clock, waiting, seconds)
        for live in self._live.values():
            live.held.drop_judged(self.journal)
            if live.held.records:
                await self.replicas.spread(live.id, list(live.held.records))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning("Work on the journal failed: {}", task.exception())

    async def _append(self, live: LiveProgram, record: Record) -> Verdict:
        async with live.appending:
            offset = await append_until_stored(
                self.writer, self.clock, self.stream, record
            )
        await self.tail.wait_for_offset(self.stream, offset)
        verdict = self.journal.verdict(record.id) or void("unread")
        live.held.drop_judged(self.journal)
        if not verdict.counted:
            kind = type(record).__name__
            log.warning("{} of {} is void: {}.", kind, live.id, verdict.reason)
        return verdict


def same_hold(before: Program | None, now: Program | None) -> bool:
    """Return whether a program is held by the same claim as before.

    A daemon that lost a program and took it back has forfeited what it drew.
    A program that was not journaled yet has no fence.
    """
    if before is None or now is None or before.holder != now.holder:
        return False
    return before.fence in (now.fence, -1)


def void_refusal(verdict: Verdict, state: Program | None) -> Refusal:
    """Return the final answer to a call whose record is void."""
    if state is not None and state.ended:
        return ended_refusal(state.ended, Ran.YES)
    log.info("A call was superseded: {}.", verdict.reason)
    return Refusal(
        "superseded",
        "Another daemon has taken the program over; this answer does not count.",
        _CONFLICT,
        Ran.YES,
    )


def _overlay(state: Program | None, records: list[Record]) -> Program | None:
    if state is not None:
        state = state.copy()
    for record in records:
        if isinstance(record, ProgramCreated):
            state = state or created_program(record, -1)
        elif state is not None:
            accept(state, record, state.updated)
    return state
