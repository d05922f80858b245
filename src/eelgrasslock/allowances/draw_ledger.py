"""Appends draws to the log, each under the condition that nothing came between."""

import asyncio
import secrets

import xxhash
from attrs import define, field, frozen
from loguru import logger

from eelgrasslock.allowances.draw_size import tokens_to_draw
from eelgrasslock.allowances.draws import (
    Draw,
    PartitionState,
    ProgramDraws,
    decode_draw,
    encode_draw,
)
from eelgrasslock.allowances.read_first_policy import ReadFirstPolicy
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
    RecordError,
    RecordsExpired,
)
from eelgrasslock.log.partitioned_log import AppendConflict, PartitionedLog
from eelgrasslock.scheduling.crowding import Standing

TOPIC_COUNT = 80
_TOPIC_FORMAT = "allowances-{}"
_DRAW_ID_BYTES = 8
_MAX_APPEND_ATTEMPTS = 6
REFRESH_AGE_RATIO = 0.5

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
    fold : PartitionState
        What it holds, as far as it was read.
    """

    topic: str
    number: int
    state: PartitionState = field(factory=PartitionState)
    lock: asyncio.Lock = field(factory=asyncio.Lock)


@frozen(kw_only=True)
class DrawRequest:
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
    suggested_endpoint : str
        The engine that would run it, if the log names none.
    """

    program: str
    budget: int
    needed_tokens: int
    max_generated_tokens: int
    preferred_endpoint: str = ""
    suggested_endpoint: str = ""


@frozen(kw_only=True)
class DrawResult:
    """What a draw came to.

    Attributes
    ----------
    tokens : int
        What was drawn, 0 if the budget can't give what is needed.
    standing : Standing
        What the log told of the program before the draw.
    home : str
        The engine that holds the program's context, empty if none is known.
    """

    tokens: int
    standing: Standing
    preferred_endpoint: str = ""


def _standing(before: ProgramDraws) -> Standing:
    if before.total > 0:
        return Standing.UNDER_WAY
    return Standing.RETURNED if before.recent_ids else Standing.FRESH


class DrawLedger:
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
        partitions_per_topic: int,
        holder: str,
        clock: Clock,
        retention_seconds: float,
    ) -> None:
        self.clock = clock
        self.retention_seconds = retention_seconds
        self.log = log
        self.partitions_per_topic = partitions_per_topic
        self.holder = holder
        self.known_partitions: dict[int, Partition] = {}
        self.read_first_policy = ReadFirstPolicy()

    def partition(self, program: str) -> Partition:
        """Return the partition that holds a program's draws."""
        place = xxhash.xxh64_intdigest(program.encode()) % (
            TOPIC_COUNT * self.partitions_per_topic
        )
        found = self.known_partitions.get(place)
        if found is None:
            topic, number = divmod(place, self.partitions_per_topic)
            found = Partition(_TOPIC_FORMAT.format(topic), number)
            self.known_partitions[place] = found
        return found

    async def draw(self, request: DrawRequest) -> DrawResult:
        """Draw for a turn.

        Raises
        ------
        LogUnavailable
            If the log does not take the draw.
        AppendUnresolved
            If it can't be told whether it did; what it took is forfeited.
        """
        partition = self.partition(request.program)
        async with partition.lock:
            return await self._draw(partition, request)

    async def return_tokens(self, program: str, tokens: int) -> None:
        """Give back tokens that this daemon will not spend.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not take it; the tokens must not be spent either way.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._append_return(partition, program, self.holder, tokens)

    def needs_refresh(self, program: str) -> bool:
        """Return whether the log would soon drop what is drawn for a program."""
        budget = self.partition(program).state.programs.get(program)
        age = REFRESH_AGE_RATIO * self.retention_seconds
        return budget is not None and budget.updated_at < self.clock.monotonic() - age

    def drop_expired(self) -> None:
        """Drop what the log no longer holds either."""
        oldest = self.clock.monotonic() - self.retention_seconds
        for partition in self.known_partitions.values():
            partition.state.drop_expired(oldest)

    def total_drawn(self, program: str) -> int:
        """Return what all daemons have drawn, as far as it is known here."""
        return self.partition(program).state.draws(program).total

    async def record_draw(self, program: str, tokens: int) -> None:
        """Record what was spent without the log, even beyond the budget.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not take it.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._append_return(partition, program, self.holder, -tokens)

    def other_holders(self, program: str) -> list[str]:
        """Return the incarnations that hold, or have spent, of a budget."""
        tokens_by_holder = self.partition(program).state.draws(program).tokens_by_holder
        return [
            one
            for one, tokens in tokens_by_holder.items()
            if tokens and one != self.holder
        ]

    async def record_release(self, program: str, holder: str, tokens: int) -> None:
        """Record that another daemon has given tokens up.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not take it; the tokens are lost to the program.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._append_return(partition, program, holder, tokens)

    async def _append_return(
        self, partition: Partition, program: str, holder: str, tokens: int
    ) -> None:
        id = secrets.token_hex(_DRAW_ID_BYTES)
        for _ in range(_MAX_APPEND_ATTEMPTS):
            draw = self._make_draw(partition, program, id, -tokens, holder)
            if await self._append(partition, draw):
                return
        raise LogUnavailable(f"{_MAX_APPEND_ATTEMPTS} appends met others' in between.")

    async def _draw(self, partition: Partition, request: DrawRequest) -> DrawResult:
        program = request.program
        id = secrets.token_hex(_DRAW_ID_BYTES)
        is_read = await self._read_before_append(partition)
        is_known = is_read or partition.state.end > 0
        for _ in range(_MAX_APPEND_ATTEMPTS):
            before = partition.state.draws(program)
            standing = _standing(before)
            preferred_endpoint = (
                request.preferred_endpoint
                or before.preferred_endpoint
                or request.suggested_endpoint
            )
            tokens = tokens_to_draw(
                request.budget,
                before.total,
                request.needed_tokens,
                request.max_generated_tokens,
            )
            if tokens == 0 and not is_read:
                await self._read(partition)
                is_read = True
                continue
            if tokens == 0:
                return DrawResult(
                    tokens=0, standing=standing, preferred_endpoint=preferred_endpoint
                )
            draw = self._make_draw(
                partition, program, id, tokens, self.holder, preferred_endpoint
            )
            is_appended = await self._append(partition, draw)
            if not is_known:
                self.read_first_policy.observe(not is_appended)
                is_known = True
            if is_appended:
                return DrawResult(
                    tokens=tokens,
                    standing=standing,
                    preferred_endpoint=preferred_endpoint,
                )
        raise LogUnavailable(f"{_MAX_APPEND_ATTEMPTS} appends met others' in between.")

    async def _read_before_append(self, partition: Partition) -> bool:
        """Read an unknown partition if that saves calls; return whether it did."""
        if partition.state.end > 0 or not self.read_first_policy.should_read_first:
            return False
        await self._read(partition)
        self.read_first_policy.observe(partition.state.end > 0)
        return True

    def _make_draw(
        self,
        partition: Partition,
        program: str,
        id: str,
        tokens: int,
        holder: str,
        preferred_endpoint: str = "",
    ) -> Draw:
        return Draw(
            program=program,
            id=id,
            holder=holder,
            tokens=tokens,
            total=partition.state.draws(program).total + tokens,
            preferred_endpoint=preferred_endpoint,
        )

    async def _append(self, partition: Partition, draw: Draw) -> bool:
        """Append a draw; return whether the partition holds it.

        An append whose answer was lost can only be done late while nothing
        else was appended, so that the same append, sent again, decides.
        """
        state = partition.state
        data = encode_draw(draw)
        for is_second in (False, True):
            try:
                end = await self.log.append_at(
                    partition.topic, partition.number, [data], state.end
                )
            except AppendConflict:
                await self._read(partition)
                return draw.id in state.draws(draw.program).recent_ids
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
                state.end = end
                state.apply(draw, self.clock.monotonic())
                return True
        raise AssertionError("The second try always decides.")

    async def _read(self, partition: Partition) -> None:
        """Take in what was appended since the last look."""
        state = partition.state
        while True:
            try:
                read = await self.log.read_from(
                    partition.topic, partition.number, state.end
                )
            except RecordsExpired as error:
                state.end = error.first
                continue
            for data in read.records:
                self._apply(partition, data)
            state.end = read.offset
            if not read.records or read.offset >= read.end:
                return

    def _apply(self, partition: Partition, data: bytes) -> None:
        try:
            partition.state.apply(decode_draw(data), self.clock.monotonic())
        except RecordError as error:
            place = f"{partition.topic}/{partition.number}"
            _log.warning("Skipped a record of {}: {}", place, error)
