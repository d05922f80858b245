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
from eelgrasslock.programs.journal import Journal
from eelgrasslock.programs.journal_records import ProgramCreated
from eelgrasslock.programs.ledger import ZERO, Amount
from eelgrasslock.programs.limits import program_ended_refusal
from eelgrasslock.programs.program import Program, program_from_creation
from eelgrasslock.programs.record_rules import (
    ApplyResult,
    apply_record,
    rejected_result,
)
from eelgrasslock.programs.replication import (
    MAX_UNJOURNALED_TOTAL,
    RecordReplicator,
    UnjournaledRecords,
    done_within,
)

JOURNAL_WAIT_SECONDS = 1.0
_MAX_RECENT_REFUSALS = 16
_CONFLICT = 409

_Result = TypeVar("_Result")

log = logger.bind(part="programs")


@define(kw_only=True, eq=False)
class LocalProgram:
    """What this daemon keeps of a program besides the journal's state.

    Attributes
    ----------
    id : str
        The program's id.
    call_lock : asyncio.Lock
        Held by the one call that runs; the others wait in their order.
    claim_lock : asyncio.Lock
        Held while the program is taken over.
    append_lock : asyncio.Lock
        Keeps the program's records in order on their way to the log.
    waiting_calls : int
        How many calls wait for the lock.
    unjournaled : UnjournaledRecords
        Own records that the journal has not judged.
    reserved : Amount or None
        What the running call may use.
    last_worst_case : Amount
        The worst case of the last call, for drawing ahead.
    draw_task : asyncio.Task or None
        A draw on its way to the log.
    recent_refusals : deque of Refusal
        The last refusals, for explaining.
    """

    id: str
    call_lock: asyncio.Lock = field(factory=asyncio.Lock)
    claim_lock: asyncio.Lock = field(factory=asyncio.Lock)
    append_lock: asyncio.Lock = field(factory=asyncio.Lock)
    waiting_calls: int = 0
    unjournaled: UnjournaledRecords = field(factory=UnjournaledRecords)
    reserved: Amount | None = None
    last_worst_case: Amount = ZERO
    draw_task: asyncio.Task[ApplyResult] | None = None
    recent_refusals: deque[Refusal] = field(
        factory=lambda: deque(maxlen=_MAX_RECENT_REFUSALS)
    )

    @property
    def idle(self) -> bool:
        """Whether nothing of it is under way here."""
        busy = self.call_lock.locked() or self.claim_lock.locked() or self.waiting_calls
        return not (busy or self.unjournaled.records or self.draw_task)


class LocalPrograms:
    """The programs that this daemon deals with.

    Parameters
    ----------
    domain, incarnation : str
        The daemon's own.
    writer, tail : Writer, Tail
        The log.
    clock : Clock
        The source of time.
    replicator : RecordReplicator
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
        replicator: RecordReplicator,
    ) -> None:
        self.incarnation = incarnation
        self.writer = writer
        self.tail = tail
        self.clock = clock
        self.replicator = replicator
        self.gate = LogAvailabilityCheck(writer)
        self.journal = Journal()
        self.stream = journal_stream(domain)
        self._local: dict[str, LocalProgram] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def local_program(self, program: str) -> LocalProgram:
        """Return what is kept of a program, made on first use."""
        if program not in self._local:
            self._local[program] = LocalProgram(id=program)
        return self._local[program]

    def has_running_call(self, program: str) -> bool:
        """Return whether a call of a program runs here."""
        local_program = self._local.get(program)
        return local_program is not None and local_program.call_lock.locked()

    def ids(self) -> list[str]:
        """Return the ids of all programs with something kept."""
        return list(self._local)

    def evict(self, program: str) -> None:
        """Drop what is kept of a program, if nothing is under way."""
        local_program = self._local.get(program)
        if local_program is not None and local_program.idle:
            del self._local[program]

    def state(self, program: str) -> Program | None:
        """Return a program's state, own unjudged records included."""
        state = self.journal.program(program)
        local_program = self._local.get(program)
        if local_program is None:
            return state
        local_program.unjournaled.drop_applied(self.journal)
        if not local_program.unjournaled.records:
            return state
        return _with_unjournaled(state, local_program.unjournaled.records)

    def unjournaled_count(self) -> int:
        """Return how many records wait for the log."""
        for local_program in self._local.values():
            local_program.unjournaled.drop_applied(self.journal)
        return sum(
            len(local_program.unjournaled.records)
            for local_program in self._local.values()
        )

    def check_backlog(self, local_program: LocalProgram) -> None:
        """Raise a `Refusal` if too many records wait for the log already."""
        local_program.unjournaled.drop_applied(self.journal)
        if local_program.unjournaled.full or len(self._tasks) >= MAX_UNJOURNALED_TOTAL:
            raise journal_unavailable_refusal()

    def enqueue(
        self, local_program: LocalProgram, record: Record
    ) -> asyncio.Task[ApplyResult]:
        """Send a record to the log, however long it takes, in order."""
        local_program.unjournaled.add(record)
        return self.run_in_background(self._append(local_program, record))

    def run_in_background(
        self, work: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Run work that outlives the call that started it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def append_record(self, local_program: LocalProgram, record: Record) -> bool:
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
        task = self.enqueue(local_program, record)
        seconds = JOURNAL_WAIT_SECONDS if self.writer.available else 0.0
        if not await done_within(self.clock, task, seconds):
            copies = await self.replicator.replicate(
                local_program.id, list(local_program.unjournaled.records)
            )
            log.info(
                "Program {} goes on unjournaled, {} copies.", local_program.id, copies
            )
        if not task.done():
            return False
        try:
            apply_result = task.result()
        except LogError:
            return False
        if not apply_result.applied:
            raise rejected_record_refusal(apply_result, self.state(local_program.id))
        return True

    async def append_and_apply(self, record: Record) -> ApplyResult:
        """Append a record, read it back and return whether it counts."""
        offset = await self.writer.append(self.stream, record)
        await self.tail.wait_for_offset(self.stream, offset)
        return self.journal.apply_result(record.id) or rejected_result("unread")

    async def shut_down(self, seconds: float) -> None:
        """Wait for records on their way, then leave copies and stop."""
        tasks = list(self._tasks)
        waiting = asyncio.gather(*tasks, return_exceptions=True)
        await done_within(self.clock, waiting, seconds)
        for local_program in self._local.values():
            local_program.unjournaled.drop_applied(self.journal)
            if local_program.unjournaled.records:
                await self.replicator.replicate(
                    local_program.id, list(local_program.unjournaled.records)
                )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning("Work on the journal failed: {}", task.exception())

    async def _append(self, local_program: LocalProgram, record: Record) -> ApplyResult:
        async with local_program.append_lock:
            offset = await append_until_stored(
                self.writer, self.clock, self.stream, record
            )
        await self.tail.wait_for_offset(self.stream, offset)
        apply_result = self.journal.apply_result(record.id) or rejected_result("unread")
        local_program.unjournaled.drop_applied(self.journal)
        if not apply_result.applied:
            kind = type(record).__name__
            log.warning(
                "{} of {} is void: {}.", kind, local_program.id, apply_result.reason
            )
        return apply_result


def same_claim(before: Program | None, now: Program | None) -> bool:
    """Return whether a program is held by the same claim as before.

    A daemon that lost a program and took it back has forfeited what it drew.
    A program that was not journaled yet has no fence.
    """
    if before is None or now is None or before.holder != now.holder:
        return False
    return before.fence in (now.fence, -1)


def rejected_record_refusal(
    apply_result: ApplyResult, state: Program | None
) -> Refusal:
    """Return the final answer to a call whose record is void."""
    if state is not None and state.ended:
        return program_ended_refusal(state.ended, Ran.YES)
    log.info("A call was superseded: {}.", apply_result.reason)
    return Refusal(
        "superseded",
        "Another daemon has taken the program over; this answer does not count.",
        _CONFLICT,
        Ran.YES,
    )


def _with_unjournaled(state: Program | None, records: list[Record]) -> Program | None:
    if state is not None:
        state = state.copy()
    for record in records:
        if isinstance(record, ProgramCreated):
            state = state or program_from_creation(record, -1)
        elif state is not None:
            apply_record(state, record, state.updated)
    return state
