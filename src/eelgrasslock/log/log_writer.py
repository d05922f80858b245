"""Appends to the log: batched, in order, safe against lost answers and outages."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import AppendUnresolved, LogError, LogUnavailable
from eelgrasslock.log.append_queue import AppendQueue, PendingAppend
from eelgrasslock.log.record_codec import encode_batch
from eelgrasslock.log.records import Record
from eelgrasslock.log.stream_log import Log
from eelgrasslock.rate import TokenBucket

_QUEUE_LIMIT_RECORDS = 20_000
_RECORD_LIMIT_BYTES = 16_777_216
_ANSWER_GRACE_SECONDS = 0.25

log = logger.bind(part="log")


class LogWriter:
    """Appends records by group commit.

    Each stream has a queue of its own with one append in flight, so that the
    records of a stream keep their order; what gathers meanwhile goes into the
    next entry. An append whose answer was lost is resolved by reading before
    anything else is appended to that stream.

    Parameters
    ----------
    log : Log
        The platform's log.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter of the back-off.
    appends_per_second : float
        This daemon's share of the log's rate, over all streams.
    linger : float
        Seconds to wait for company before an entry is appended.

    Attributes
    ----------
    available : bool
        False while the log refuses or times out.
    position_source : callable
        Gives the last offset known to be in a stream; reading starts behind
        it when a lost answer is resolved.
    appends, appended_records, appended_bytes : int
        Counted since the start.
    """

    def __init__(
        self,
        log: Log,
        clock: Clock,
        rng: random.Random,
        appends_per_second: float = 20.0,
        linger_seconds: float = 0.005,
    ) -> None:
        self.log = log
        self.clock = clock
        self.rng = rng
        self.linger_seconds = linger_seconds
        self.available = True
        self.position_source: Callable[[str], int] = lambda stream: -1
        self.appends = 0
        self.appended_records = 0
        self.appended_bytes = 0
        self.bucket = TokenBucket(clock, appends_per_second, appends_per_second)
        self._queues: dict[str, AppendQueue] = {}
        self._stopped = False

    @property
    def pending(self) -> int:
        """The number of records that wait or are in flight."""
        return sum(len(queue) for queue in self._queues.values())

    async def start(self) -> None:
        """Accept appends; queues start with their first record."""
        self._stopped = False

    async def stop(self) -> None:
        """Give up on what is pending; its callers are told."""
        self._stopped = True
        queues = list(self._queues.values())
        self._queues.clear()
        await asyncio.gather(*(queue.close() for queue in queues))

    async def flush(self, timeout: float | None = None) -> None:
        """Wait until nothing is pending.

        Raises
        ------
        LogUnavailable
            If something still is when the timeout passes.
        """
        waits = [queue.wait_until_empty() for queue in self._queues.values()]
        try:
            async with asyncio.timeout(timeout):
                await asyncio.gather(*waits)
        except TimeoutError:
            message = f"{self.pending} records are still pending."
            raise LogUnavailable(message) from None

    async def append(
        self, stream: str, record: Record, timeout: float | None = None
    ) -> int:
        """Append a record and return its entry's offset, once it is in the log.

        A caller that is cancelled withdraws its record, unless that is in
        flight; then it is not appended a second time.

        Parameters
        ----------
        stream : str
            The stream.
        record : Record
            The record; an append that is tried again keeps its id.
        timeout : float or None
            Seconds to wait; None waits for as long as the log is down. An
            append in flight at the end gets a moment more to be answered.

        Raises
        ------
        LogUnavailable
            If the record surely is not in the log and won't be.
        AppendUnresolved
            If the record may be in the log, or may yet appear there.
        """
        pending = self._enqueue(stream, record)
        if timeout is None:
            return await pending.future
        timer = asyncio.create_task(self._expire(pending, timeout))
        try:
            return await pending.future
        finally:
            timer.cancel()

    def _enqueue(self, stream: str, record: Record) -> PendingAppend:
        if self._stopped:
            raise LogUnavailable("The log writer has stopped.")
        if self.pending >= _QUEUE_LIMIT_RECORDS:
            raise LogUnavailable("The append queue is full.")
        size = len(encode_batch([record]))
        if size > _RECORD_LIMIT_BYTES:
            raise LogUnavailable(f"A record of {size} bytes is too large.")
        queue = self._queues.get(stream)
        if queue is None:
            queue = self._queues[stream] = AppendQueue(self, stream)
        return queue.put(record, size)

    async def _expire(self, pending: PendingAppend, timeout: float) -> None:
        await self.clock.sleep(timeout)
        if pending.in_flight:
            pending.expired = True
            await self.clock.sleep(_ANSWER_GRACE_SECONDS)
        pending.fail()

    def note_success(self) -> None:
        """Note that the log answered."""
        if not self.available:
            log.info("The log answers again.")
        self.available = True

    def note_failure(self, stream: str, error: LogError) -> None:
        """Note that the log refused, or that an answer was lost."""
        if self.available:
            log.warning("Appends to {} fail: {}", stream, error)
        self.available = False

    async def append_entry(self, stream: str, data: bytes, records: int) -> int:
        """Append one entry, with every surprise taken as a lost answer."""
        try:
            offset = await self.log.append(stream, data)
        except LogError:
            raise
        except Exception as error:
            raise AppendUnresolved(f"An append failed: {error!r}.") from error
        self.appends += 1
        self.appended_records += records
        self.appended_bytes += len(data)
        return offset
