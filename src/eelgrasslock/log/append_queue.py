"""Queue of the records to be appended to one stream."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from attrs import define, field
from loguru import logger

from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogError,
    LogUnavailable,
    RecordsExpired,
)
from eelgrasslock.log.record_codec import encode_batch, readable_records
from eelgrasslock.log.records import Record
from eelgrasslock.log.stream_log import Entry, Log
from eelgrasslock.rate import TokenBucket

_ENTRY_LIMIT_RECORDS = 512
_ENTRY_LIMIT_BYTES = 1_048_576
_READ_LIMIT_ENTRIES = 256

log = logger.bind(part="log")


@define(eq=False)
class PendingAppend:
    """A record to be appended to the log.

    Attributes
    ----------
    record : Record
        The record.
    size : int
        Length of the record in bytes when encoded alone.
    future : asyncio.Future
        Resolved with the entry's offset.
    in_flight : bool
        Whether an append with this record has no response yet.
    unresolved : bool
        Whether the response to such an append was lost. It is never reset, since
        a late request may still take effect.
    expired : bool
        Whether the caller's timeout has passed, so that the record is not appended
        again.
    """

    record: Record
    size: int
    future: asyncio.Future[int] = field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    in_flight: bool = False
    unresolved: bool = False
    expired: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the caller has a result or no longer waits."""
        return self.future.done()

    def resolve(self, offset: int) -> None:
        """Give the offset to the caller, unless it no longer waits."""
        if not self.future.done():
            self.future.set_result(offset)

    def fail(self) -> None:
        """Raise `AppendUnresolved` or `LogUnavailable` in the caller."""
        if self.future.done():
            return
        if self.in_flight or self.unresolved:
            message = "It is unknown whether the record was appended to the log."
            self.future.set_exception(AppendUnresolved(message))
        else:
            self.future.set_exception(
                LogUnavailable("The record was not appended in time.")
            )


class QueueWriter(Protocol):
    """The part of a `LogWriter` that its queues use."""

    log: Log
    clock: Clock
    rng: random.Random
    linger_seconds: float
    available: bool
    bucket: TokenBucket
    position_source: Callable[[str], int]

    def note_success(self) -> None:
        """Record that the log answered."""

    def note_failure(self, stream: str, error: LogError) -> None:
        """Record that the log refused a call, or that a response was lost."""

    async def append_entry(self, stream: str, data: bytes, records: int) -> int:
        """Append one entry."""


class AppendQueue:
    """Queue of one stream, with at most one append in flight.

    Parameters
    ----------
    writer : QueueWriter
        The writer, with the log, the clock, the rate limit and the counters.
    stream : str
        Name of the stream.
    """

    def __init__(self, writer: QueueWriter, stream: str) -> None:
        self.writer = writer
        self.stream = stream
        self.backoff = Backoff(writer.rng)
        self._waiting: deque[PendingAppend] = deque()
        self._batch: list[PendingAppend] = []
        self._known_offset = -1
        self._has_records = asyncio.Event()
        self._empty = asyncio.Event()
        self._empty.set()
        self._task = asyncio.create_task(self._run())

    def __len__(self) -> int:
        return len(self._waiting) + len(self._batch)

    def put(self, record: Record, size: int) -> PendingAppend:
        """Add a record to the end of the queue."""
        pending = PendingAppend(record, size)
        self._waiting.append(pending)
        self._empty.clear()
        self._has_records.set()
        return pending

    async def wait_until_empty(self) -> None:
        """Wait until no record is pending."""
        await self._empty.wait()

    async def close(self) -> None:
        """Stop, and fail the pending appends."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for pending in [*self._batch, *self._waiting]:
            pending.fail()
        self._empty.set()

    async def _run(self) -> None:
        while True:
            await self._wait_for_records()
            await self.writer.clock.sleep(self.writer.linger_seconds)
            await self._commit()

    async def _wait_for_records(self) -> None:
        while not self._waiting:
            self._empty.set()
            if self.writer.available:
                self._has_records.clear()
                await self._has_records.wait()
            else:
                await self._probe()

    async def _probe(self) -> None:
        # Callers that check `available` append nothing while it is false, so only
        # this read detects that the log answers again.
        await self.writer.clock.sleep(self.backoff.next())
        try:
            await self.writer.log.read(self.stream, max(0, self._known_offset), 1)
        except RecordsExpired:
            pass
        except LogError:
            return
        self._note_success()

    async def _commit(self) -> None:
        """Append one batch, with retries until all of it is resolved or failed."""
        await self.writer.bucket.take()
        self._advance_known_offset(self.writer.position_source(self.stream))
        self._fill_batch()
        while self._batch:
            try:
                await self._append_batch()
            except AppendUnresolved as error:
                self.writer.note_failure(self.stream, error)
                await self._resolve_batch()
            except LogError as error:
                self.writer.note_failure(self.stream, error)
            self._drop_done()
            if self._batch:
                await self.writer.clock.sleep(self.backoff.next())
                await self.writer.bucket.take()
                self._drop_done()

    def _drop_done(self) -> None:
        for pending in self._batch:
            if pending.expired:
                pending.fail()
        self._batch = [pending for pending in self._batch if not pending.is_done]

    def _fill_batch(self) -> None:
        size = 0
        while self._waiting and len(self._batch) < _ENTRY_LIMIT_RECORDS:
            pending = self._waiting[0]
            if self._batch and size + pending.size > _ENTRY_LIMIT_BYTES:
                return
            self._waiting.popleft()
            if not pending.is_done:
                self._batch.append(pending)
                size += pending.size

    async def _append_batch(self) -> None:
        batch = self._batch
        data = encode_batch([pending.record for pending in batch])
        for pending in batch:
            pending.in_flight = True
        try:
            offset = await self.writer.append_entry(self.stream, data, len(batch))
        except LogUnavailable:
            raise
        except BaseException:
            for pending in batch:
                pending.unresolved = True
            raise
        finally:
            for pending in batch:
                pending.in_flight = False
        for pending in batch:
            pending.resolve(offset)
        self._advance_known_offset(offset)
        self._note_success()

    async def _resolve_batch(self) -> None:
        """Read to the stream's end and resolve the records found there."""
        backoff = Backoff(self.writer.rng)
        at_end = False
        while self._batch and not at_end:
            try:
                at_end = await self._read_page()
            except RecordsExpired as error:
                log.warning(
                    "Stream {} no longer has entries before {}.",
                    self.stream,
                    error.first,
                )
                self._known_offset = error.first - 1
            except LogError:
                await self.writer.clock.sleep(backoff.next())
                self._drop_done()

    async def _read_page(self) -> bool:
        start = self._known_offset + 1
        entries = await self.writer.log.read(self.stream, start, _READ_LIMIT_ENTRIES)
        for entry in entries:
            self._resolve_from_entry(entry)
            self._advance_known_offset(entry.offset)
        return len(entries) < _READ_LIMIT_ENTRIES

    def _resolve_from_entry(self, entry: Entry) -> None:
        ids = {record.id for record in readable_records(entry.data)}
        for pending in self._batch:
            if pending.record.id in ids:
                pending.resolve(entry.offset)

    def _advance_known_offset(self, offset: int) -> None:
        self._known_offset = max(self._known_offset, offset)

    def _note_success(self) -> None:
        self.backoff.reset()
        self.writer.note_success()
