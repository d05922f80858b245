"""Appends draws to the log, each on condition that the partition is unchanged."""

import asyncio

import xxhash
from attrs import define, field
from loguru import logger

from eelgrasslock.allowances.draw_request import DrawRequest, DrawResult
from eelgrasslock.allowances.draw_size import tokens_to_draw
from eelgrasslock.allowances.draws import (
    Draw,
    PartitionState,
    ProgramDraws,
    decode_draw,
    encode_draw,
    make_id,
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
from eelgrasslock.scheduling.load_shedding import ProgramStage

TOPIC_COUNT = 80
_TOPIC_FORMAT = "allowances-{}"
_MAX_APPEND_ATTEMPTS = 6
REFRESH_AGE_RATIO = 0.5

_log = logger.bind(part="ledger")


@define(eq=False)
class Partition:
    """A partition of the log, with at most one append in flight.

    Attributes
    ----------
    topic : str
        The topic of the partition.
    number : int
        The partition's number in the topic.
    state : PartitionState
        The draws that were read or appended so far.
    lock : asyncio.Lock
        Held during an append.
    """

    topic: str
    number: int
    state: PartitionState = field(factory=PartitionState)
    lock: asyncio.Lock = field(factory=asyncio.Lock)


def _program_stage(before: ProgramDraws) -> ProgramStage:
    if before.total > 0:
        return ProgramStage.UNDER_WAY
    return ProgramStage.RETURNED if before.recent_ids else ProgramStage.FRESH


class DrawLedger:
    """Draws tokens from budgets for one daemon.

    Parameters
    ----------
    log : PartitionedLog
        The log that stores the draws.
    partitions_per_topic : int
        How many partitions a topic has.
    holder : str
        This daemon's incarnation.
    clock : Clock
        The time.
    retention_seconds : float
        How long the log keeps records.

    Attributes
    ----------
    known_partitions : dict of int to Partition
        Partitions used so far, by their index over all topics.
    read_first_policy : ReadFirstPolicy
        Decides whether to read a partition before the first append to it.
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
        index = xxhash.xxh64_intdigest(program.encode()) % (
            TOPIC_COUNT * self.partitions_per_topic
        )
        partition = self.known_partitions.get(index)
        if partition is None:
            topic, number = divmod(index, self.partitions_per_topic)
            partition = Partition(_TOPIC_FORMAT.format(topic), number)
            self.known_partitions[index] = partition
        return partition

    async def draw(self, request: DrawRequest) -> DrawResult:
        """Draw tokens for a turn.

        Raises
        ------
        LogUnavailable
            If the draw was not appended.
        AppendUnresolved
            If the outcome of the append is unknown; appended tokens are forfeited.
        """
        partition = self.partition(request.program)
        async with partition.lock:
            return await self._draw(partition, request)

    async def return_tokens(self, program: str, tokens: int) -> None:
        """Return tokens that this daemon will not spend.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the append failed; the tokens must not be spent in either case.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._append_return(partition, program, self.holder, tokens)

    def needs_refresh(self, program: str) -> bool:
        """Return whether the log will soon drop the newest draw of a program."""
        draws = self.partition(program).state.programs.get(program)
        age = REFRESH_AGE_RATIO * self.retention_seconds
        return draws is not None and draws.written_at < self.clock.monotonic() - age

    def drop_expired(self) -> None:
        """Drop programs whose newest draw is older than the log's retention."""
        oldest = self.clock.monotonic() - self.retention_seconds
        for partition in self.known_partitions.values():
            partition.state.drop_expired(oldest)

    def total_drawn(self, program: str) -> int:
        """Return the tokens that all daemons have drawn, by the records read so far."""
        return self.partition(program).state.draws(program).total

    async def record_draw(self, program: str, tokens: int) -> None:
        """Record tokens that were drawn without the log, even beyond the budget.

        With 0 tokens, the total is written again.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the append failed.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._append_return(partition, program, self.holder, -tokens)

    def other_holders(self, program: str) -> list[str]:
        """Return other incarnations that hold or have spent tokens of a program."""
        tokens_by_holder = self.partition(program).state.draws(program).tokens_by_holder
        return [
            holder
            for holder, tokens in tokens_by_holder.items()
            if tokens and holder != self.holder
        ]

    async def record_release(self, program: str, holder: str, tokens: int) -> None:
        """Record that another daemon has released tokens.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the append failed; the tokens are lost to the program.
        """
        partition = self.partition(program)
        async with partition.lock:
            await self._append_return(partition, program, holder, tokens)

    async def _append_return(
        self, partition: Partition, program: str, holder: str, tokens: int
    ) -> None:
        id = make_id(self.clock.now())
        for _ in range(_MAX_APPEND_ATTEMPTS):
            draw = self._make_draw(partition, program, id, -tokens, holder)
            if await self._append(partition, draw):
                return
        raise LogUnavailable(f"{_MAX_APPEND_ATTEMPTS} appends in a row had conflicts.")

    async def _draw(self, partition: Partition, request: DrawRequest) -> DrawResult:
        program = request.program
        id = make_id(self.clock.now())
        is_read = await self._read_before_append(partition)
        is_known = is_read or partition.state.end > 0
        for _ in range(_MAX_APPEND_ATTEMPTS):
            before = partition.state.draws(program)
            stage = _program_stage(before)
            preferred_endpoint = (
                request.preferred_endpoint
                or before.preferred_endpoint
                or request.suggested_endpoint
            )
            tokens = tokens_to_draw(
                request.budget,
                request.limit,
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
                    tokens=0, stage=stage, preferred_endpoint=preferred_endpoint
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
                    stage=stage,
                    preferred_endpoint=preferred_endpoint,
                )
        raise LogUnavailable(f"{_MAX_APPEND_ATTEMPTS} appends in a row had conflicts.")

    async def _read_before_append(self, partition: Partition) -> bool:
        """Read an unknown partition if that should save calls; return whether read."""
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

        An append whose response was lost can still take effect only while the
        partition's end is unchanged. The same append, sent a second time, settles
        the outcome: either it takes effect, or its conflict triggers a read.
        """
        state = partition.state
        data = encode_draw(draw)
        for is_retry in (False, True):
            try:
                end = await self.log.append_at(
                    partition.topic, partition.number, [data], state.end
                )
            except AppendConflict:
                await self._read(partition)
                return draw.id in state.draws(draw.program).recent_ids
            except AppendUnresolved:
                if is_retry:
                    raise
                _log.bind(program=draw.program, draw=draw.id).info(
                    "No response to the append of a draw; retrying it once."
                )
            except LogUnavailable as error:
                if is_retry:
                    raise AppendUnresolved(str(error)) from error
                raise
            else:
                state.end = end
                state.apply(draw, self.clock.monotonic())
                return True
        raise AssertionError("The retry returns or raises.")

    async def _read(self, partition: Partition) -> None:
        """Read and apply the records that were appended since the last read."""
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
            draw = decode_draw(data)
        except RecordError as error:
            name = f"{partition.topic}/{partition.number}"
            _log.warning("Skipped a record of partition {}: {}", name, error)
            return
        made_at = draw.made_at
        age_seconds = 0.0 if made_at is None else max(0.0, self.clock.now() - made_at)
        partition.state.apply(draw, self.clock.monotonic(), age_seconds)
