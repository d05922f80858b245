"""Writer of the log: batched, in order, safe in outages and lost responses."""

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
_RESPONSE_GRACE_SECONDS = 0.25

log = logger.bind(part="log")


class LogWriter:
    """Appends records by group commit.

    Each stream has its own queue with at most one append in flight, so that the
    records of a stream keep their order; records that arrive meanwhile go into the
    next entry. An append whose response was lost is resolved by a read before
    anything else is appended to that stream.

    Parameters
    ----------
    log : Log
        The platform's log.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter of the backoff.
    appends_per_second : float
        This daemon's share of the log's rate limit, over all streams.
    linger_seconds : float
        Seconds to wait for more records before an entry is appended.

    Attributes
    ----------
    available : bool
        False while appends are refused or time out.
    position_source : callable
        Returns the last known offset of a stream; reading starts after it when a
        lost response is resolved.
    appends, appended_records, appended_bytes : int
        Counters since the start.
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
        """The number of records that are queued or in flight."""
        return sum(len(queue) for queue in self._queues.values())

    async def start(self) -> None:
        """Accept appends; each queue starts with its first record."""
        self._stopped = False

    async def stop(self) -> None:
        """Stop all queues; callers of pending appends get an error."""
        self._stopped = True
        queues = list(self._queues.values())
        self._queues.clear()
        await asyncio.gather(*(queue.close() for queue in queues))

    async def flush(self, timeout: float | None = None) -> None:
        """Wait until no record is pending.

        Raises
        ------
        LogUnavailable
            If records are still pending at the timeout.
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

        If the caller is cancelled, its record is removed from the queue; a record
        that is in flight is not appended a second time.

        Parameters
        ----------
        stream : str
            Name of the stream.
        record : Record
            The record; a retry of the append keeps its id.
        timeout : float or None
            Seconds to wait; None waits until the log is available. An append that
            is in flight at the timeout gets a short grace period for its response.

        Raises
        ------
        LogUnavailable
            If the record is not in the log and never will be.
        AppendUnresolved
            If the record may be in the log, or may still appear there.
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
            raise LogUnavailable(f"The record is too large: {size} bytes.")
        queue = self._queues.get(stream)
        if queue is None:
            queue = self._queues[stream] = AppendQueue(self, stream)
        return queue.put(record, size)

    async def _expire(self, pending: PendingAppend, timeout: float) -> None:
        await self.clock.sleep(timeout)
        if pending.in_flight:
            pending.expired = True
            await self.clock.sleep(_RESPONSE_GRACE_SECONDS)
        pending.fail()

    def note_success(self) -> None:
        """Record that the log answered."""
        if not self.available:
            log.info("The log is available again.")
        self.available = True

    def note_failure(self, stream: str, error: LogError) -> None:
        """Record that the log refused a call, or that a response was lost."""
        if self.available:
            log.warning("Append to stream {} failed: {}", stream, error)
        self.available = False

    async def append_entry(self, stream: str, data: bytes, records: int) -> int:
        """Append one entry; an unexpected error counts as a lost response."""
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
