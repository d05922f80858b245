"""Appends draws to the log, each under the condition that nothing came between."""

import asyncio
import secrets

import xxhash
from attrs import define, field, frozen
from loguru import logger

from eelgrasslock.allowances.contacts import Contacts
from eelgrasslock.allowances.draws import (
    Draw,
    DrawnBudget,
    PartitionFold,
    decode,
    encode,
)
from eelgrasslock.allowances.shares import tokens_to_draw
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
    RecordError,
    RecordsExpired,
)
from eelgrasslock.log.partitioned import EndMoved, PartitionedLog
from eelgrasslock.scheduling.load_shedding import ProgramStage

TOPICS = 80
_TOPIC = "allowances-{}"
_ID_BYTES = 8
_TRIES = 6
REPEAT_SHARE = 0.5

_log = logger.bind(part="ledger")


@define(eq=False)
class Partition:
    """One partition, with one append in flight.

    Attributes
    ----------
    topic : str
        Its topic.
    number : int
        Its number in the topic.
    fold : PartitionFold
        What it holds, as far as it was read.
    """

    topic: str
    number: int
    fold: PartitionFold = field(factory=PartitionFold)
    lock: asyncio.Lock = field(factory=asyncio.Lock)


@frozen(kw_only=True)
class DrawOrder:
    """What a turn needs of its program's budget.

    Attributes
    ----------
    program : str
        The program.
    budget : int
        What all its turns may generate.
    needed : int
        The least that helps.
    worst : int
        The most that the turn uses.
    home : str
        The engine that ran the program's last turn here, empty if none did.
    suggested_home : str
        The engine that would run it, if the log names none.
    """

    program: str
    budget: int
    needed: int
    worst: int
    home: str = ""
    suggested_home: str = ""


@frozen(kw_only=True)
class Drawn:
    """What a draw came to.

    Attributes
    ----------
    tokens : int
        What was drawn, 0 if the budget can't give what is needed.
    stage : ProgramStage
        What the log told of the program before the draw.
    home : str
        The engine that holds the program's context, empty if none is known.
    """

    tokens: int
    stage: ProgramStage
    home: str = ""


def _program_stage(before: DrawnBudget) -> ProgramStage:
    if before.total > 0:
        return ProgramStage.UNDER_WAY
    return ProgramStage.RETURNED if before.ids else ProgramStage.FRESH


class Ledger:
    """Draws on budgets for one daemon.

    Parameters
    ----------
    log : PartitionedLog
        Where draws are kept.
    partitions : int
        How many partitions a topic has.
    holder : str
        This daemon's incarnation.
    clock : Clock
        The time.
    retention_seconds : float
        How long the log keeps records.
    """

    def __init__(
        self,
        log: PartitionedLog,
        partitions: int,
        holder: str,
        clock: Clock,
        retention_seconds: float,
    ) -> None:
        self.clock = clock
        self.retention_seconds = retention_seconds
        self.log = log
        self.partitions = partitions
        self.holder = holder
        self.known: dict[int, Partition] = {}
        self.contacts = Contacts()

    def partition(self, program: str) -> Partition:
        """Return the partition that holds a program's draws."""
        place = xxhash.xxh64_intdigest(program.encode()) % (TOPICS * self.partitions)
        found = self.known.get(place)
        if found is None:
            topic, number = divmod(place, self.partitions)
            found = Partition(_TOPIC.format(topic), number)
            self.known[place] = found
        return found

    async def draw(self, order: DrawOrder) -> Drawn:
        """Draw for a turn.

        Raises
        ------
        LogUnavailable
            If the log does not take the draw.
        AppendUnresolved
            If it can't be told whether it did; what it took is forfeited.
        """
        partition = self.partition(order.program)
        async with partition.lock:
            return await self._draw(partition, order)

    async def give_back(self, program: str, tokens: int) -> None:
        """Give back tokens that this daemon will not spend.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not take it; the tokens must not be spent either way.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._return(partition, program, self.holder, tokens)

    def is_due(self, program: str) -> bool:
        """Return whether the log would soon drop what is drawn for a program."""
        budget = self.partition(program).fold.budgets.get(program)
        age = REPEAT_SHARE * self.retention_seconds
        return budget is not None and budget.seen_at < self.clock.monotonic() - age

    def forget(self) -> None:
        """Drop what the log no longer holds either."""
        oldest = self.clock.monotonic() - self.retention_seconds
        for partition in self.known.values():
            partition.fold.forget(oldest)

    def drawn(self, program: str) -> int:
        """Return what all daemons have drawn, as far as it is known here."""
        return self.partition(program).fold.budget(program).total

    async def record(self, program: str, tokens: int) -> None:
        """Record what was spent without the log, even beyond the budget.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not take it.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._return(partition, program, self.holder, -tokens)

    def other_holders(self, program: str) -> list[str]:
        """Return the incarnations that hold, or have spent, of a budget."""
        held = self.partition(program).fold.budget(program).held
        return [one for one, tokens in held.items() if tokens and one != self.holder]

    async def take_back(self, program: str, holder: str, tokens: int) -> None:
        """Record that another daemon has given tokens up.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not take it; the tokens are lost to the program.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._return(partition, program, holder, tokens)

    async def _return(
        self, partition: Partition, program: str, holder: str, tokens: int
    ) -> None:
        id = secrets.token_hex(_ID_BYTES)
        for _ in range(_TRIES):
            draw = self._record(partition, program, id, -tokens, holder)
            if await self._append(partition, draw):
                return
        raise LogUnavailable(f"{_TRIES} appends met others' in between.")

    async def _draw(self, partition: Partition, order: DrawOrder) -> Drawn:
        program = order.program
        id = secrets.token_hex(_ID_BYTES)
        is_read = await self._meet(partition)
        is_known = is_read or partition.fold.end > 0
        for _ in range(_TRIES):
            before = partition.fold.budget(program)
            stage = _program_stage(before)
            home = order.home or before.home or order.suggested_home
            tokens = tokens_to_draw(
                order.budget, before.total, order.needed, order.worst
            )
            if tokens == 0 and not is_read:
                await self._read(partition)
                is_read = True
                continue
            if tokens == 0:
                return Drawn(tokens=0, stage=stage, home=home)
            draw = self._record(partition, program, id, tokens, self.holder, home)
            is_appended = await self._append(partition, draw)
            if not is_known:
                self.contacts.met(not is_appended)
                is_known = True
            if is_appended:
                return Drawn(tokens=tokens, stage=stage, home=home)
        raise LogUnavailable(f"{_TRIES} appends met others' in between.")

    async def _meet(self, partition: Partition) -> bool:
        """Read an unknown partition if that saves calls; return whether it did."""
        if partition.fold.end > 0 or not self.contacts.reads_first:
            return False
        await self._read(partition)
        self.contacts.met(partition.fold.end > 0)
        return True

    def _record(
        self,
        partition: Partition,
        program: str,
        id: str,
        tokens: int,
        holder: str,
        home: str = "",
    ) -> Draw:
        return Draw(
            program=program,
            id=id,
            holder=holder,
            tokens=tokens,
            total=partition.fold.budget(program).total + tokens,
            home=home,
        )

    async def _append(self, partition: Partition, draw: Draw) -> bool:
        """Append a draw; return whether the partition holds it.

        An append whose answer was lost can only be done late while nothing
        else was appended, so that the same append, sent again, decides.
        """
        fold = partition.fold
        data = encode(draw)
        for is_second in (False, True):
            try:
                end = await self.log.append_at(
                    partition.topic, partition.number, [data], fold.end
                )
            except EndMoved:
                await self._read(partition)
                return draw.id in fold.budget(draw.program).ids
            except AppendUnresolved:
                if is_second:
                    raise
                _log.bind(program=draw.program, draw=draw.id).info(
                    "The answer to a draw was lost; it is sent again."
                )
            except LogUnavailable as error:
                if is_second:
                    raise AppendUnresolved(str(error)) from error
                raise
            else:
                fold.end = end
                fold.apply(draw, self.clock.monotonic())
                return True
        raise AssertionError("The second try always decides.")

    async def _read(self, partition: Partition) -> None:
        """Take in what was appended since the last look."""
        fold = partition.fold
        while True:
            try:
                read = await self.log.read_from(
                    partition.topic, partition.number, fold.end
                )
            except RecordsExpired as error:
                fold.end = error.first
                continue
            for data in read.records:
                self._apply(partition, data)
            fold.end = read.offset
            if not read.records or read.offset >= read.end:
                return

    def _apply(self, partition: Partition, data: bytes) -> None:
        try:
            partition.fold.apply(decode(data), self.clock.monotonic())
        except RecordError as error:
            place = f"{partition.topic}/{partition.number}"
            _log.warning("Skipped a record of {}: {}", place, error)
