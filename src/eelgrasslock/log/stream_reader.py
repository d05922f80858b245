"""Read loop of one stream of the log."""

import asyncio
import random
from collections.abc import Callable

from attrs import define
from loguru import logger

from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable, RecordError, RecordsExpired
from eelgrasslock.log.record_codec import decode_batch
from eelgrasslock.log.records import PositionedRecord, Record
from eelgrasslock.log.stream_log import Entry, Log

_READ_LIMIT_ENTRIES = 256
_MAX_RECENT_IDS = 65_536
_POLL_JITTER = 0.25

log = logger.bind(part="log")


class RecentIds:
    """Ids of the newest records of a stream, to detect duplicates.

    A duplicate comes from an append whose response was lost, and which its writer
    repeated after it had read to the stream's end without finding the record. The
    first copy therefore precedes the second by no more records than the fleet
    appends while one request is delayed in the network, far less than the limit.

    Parameters
    ----------
    limit : int
        How many ids are kept.
    """

    def __init__(self, limit: int = _MAX_RECENT_IDS) -> None:
        self.limit = limit
        self._hashes: dict[int, None] = {}

    def add(self, record_id: str) -> bool:
        """Add an id; return whether it is new."""
        key = hash(record_id)
        if key in self._hashes:
            return False
        self._hashes[key] = None
        if len(self._hashes) > self.limit:
            del self._hashes[next(iter(self._hashes))]
        return True


@define
class _Waiter:
    future: asyncio.Future[None]
    offset: int | None
    first_read: int


class StreamReader:
    """Reads one stream and passes its records to handlers.

    Parameters
    ----------
    log : Log
        The platform's log.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter of waits.
    stream : str
        Name of the stream.
    start : int
        The offset to start at.
    poll_seconds : float
        Interval in seconds between reads while nobody waits.

    Attributes
    ----------
    position : int
        The last offset that has reached the handlers, -1 for none.
    failing : bool
        Whether the last read failed; true until the first one succeeds.
    """

    def __init__(
        self,
        log: Log,
        clock: Clock,
        rng: random.Random,
        stream: str,
        start: int,
        poll_seconds: float,
    ) -> None:
        self.log = log
        self.clock = clock
        self.rng = rng
        self.stream = stream
        self.poll_seconds = poll_seconds
        self.position = start - 1
        self.failing = True
        self.backoff = Backoff(rng)
        self.handlers: list[Callable[[PositionedRecord], None]] = []
        self.gap_handlers: list[Callable[[int], None]] = []
        self._ids = RecentIds()
        self._reads = 0
        self._waiters: list[_Waiter] = []
        self._wake_up = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def add(self, handler: Callable[[PositionedRecord], None]) -> None:
        """Add a handler of the stream's records."""
        if self._reads:
            raise ValueError(f"Reading of stream {self.stream} has already started.")
        self.handlers.append(handler)

    def start(self) -> None:
        """Start reading, if not started yet."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop reading, and fail all waiters."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        for waiter in self._waiters:
            if not waiter.future.done():
                error = LogUnavailable("The reader of the log has stopped.")
                waiter.future.set_exception(error)
        self._waiters.clear()

    def offset_future(self, offset: int) -> asyncio.Future[None]:
        """Return a future that is done when an offset has reached the handlers."""
        return self._add_waiter(offset)

    def end_future(self) -> asyncio.Future[None]:
        """Return a future that is done when the current end has been read."""
        return self._add_waiter(None)

    def _add_waiter(self, offset: int | None) -> asyncio.Future[None]:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # A read in progress may miss records that were appended after it began.
        self._waiters.append(_Waiter(future, offset, self._reads + 1))
        self._wake_up.set()
        return future

    async def _run(self) -> None:
        while True:
            self._wake_up.clear()
            try:
                has_more = await self._read()
            except RecordsExpired as error:
                await self._skip_expired(error)
            except Exception as error:
                await self._note_failure(error)
            else:
                if not has_more:
                    await self._pause()

    async def _read(self) -> bool:
        self._reads += 1
        read_number = self._reads
        start = self.position + 1
        entries = await self.log.read(self.stream, start, _READ_LIMIT_ENTRIES)
        self._note_success()
        for entry in entries:
            self._apply_entry(entry)
        has_more = len(entries) >= _READ_LIMIT_ENTRIES
        self._resolve_waiters(None if has_more else read_number)
        return has_more

    def _apply_entry(self, entry: Entry) -> None:
        if entry.offset <= self.position:
            return
        for index, record in enumerate(decode_batch(entry.data)):
            if isinstance(record, RecordError):
                log.warning(
                    "Skipped a record at {}:{}: {}", self.stream, entry.offset, record
                )
            elif self._ids.add(record.id):
                self._dispatch(PositionedRecord(entry.offset, index, record))
        self.position = entry.offset

    def _dispatch(self, positioned: PositionedRecord) -> None:
        for handler in self.handlers:
            try:
                handler(positioned)
            except Exception:
                record: Record = positioned.record
                log.exception("A handler of {} failed.", type(record).__name__)

    def _resolve_waiters(self, ended_read: int | None) -> None:
        for waiter in self._waiters:
            if not waiter.future.done() and self._is_satisfied(waiter, ended_read):
                waiter.future.set_result(None)
        self._waiters = [waiter for waiter in self._waiters if not waiter.future.done()]

    def _is_satisfied(self, waiter: _Waiter, ended_read: int | None) -> bool:
        if waiter.offset is not None:
            return self.position >= waiter.offset
        return ended_read is not None and ended_read >= waiter.first_read

    async def _pause(self) -> None:
        if self._waiters:
            await self._pause_for_waiters()
            return
        jitter = self.rng.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
        await self._sleep_or_wake_up(self.poll_seconds * jitter)

    async def _pause_for_waiters(self) -> None:
        if not self._wake_up.is_set():
            await self._sleep_or_wake_up(self.poll_seconds / 4)

    async def _sleep_or_wake_up(self, seconds: float) -> None:
        timer = asyncio.create_task(self.clock.sleep(seconds))
        wake_up = asyncio.create_task(self._wake_up.wait())
        try:
            await asyncio.wait({timer, wake_up}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            wake_up.cancel()

    async def _note_failure(self, error: Exception) -> None:
        if self.backoff.failures == 0:
            log.warning("Read of stream {} failed: {}", self.stream, error)
        self.failing = True
        await self.clock.sleep(self.backoff.next())

    def _note_success(self) -> None:
        self.failing = False
        self.backoff.reset()

    async def _skip_expired(self, error: RecordsExpired) -> None:
        start = self.position + 1
        if error.first <= start:
            await self._note_failure(error)
            return
        log.warning(
            "Stream {}: skipped expired entries {} to {}.",
            self.stream,
            start,
            error.first - 1,
        )
        self.position = error.first - 1
        for handler in self.gap_handlers:
            handler(error.first)
