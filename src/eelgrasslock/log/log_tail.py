"""Follows streams of the log and passes their records to handlers."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable
from eelgrasslock.log.records import PositionedRecord
from eelgrasslock.log.stream_log import Log
from eelgrasslock.log.stream_reader import StreamReader

Handler = Callable[[PositionedRecord], None]

log = logger.bind(part="log")


class LogTail:
    """Follows streams of the log.

    Each record reaches its handlers once and in the stream's order. Invalid
    records and those of a newer version are logged and skipped.

    Parameters
    ----------
    log : Log
        The platform's log.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter of waits.
    poll_seconds : float
        Interval in seconds between reads of a stream for which nobody waits.
    """

    def __init__(
        self,
        log: Log,
        clock: Clock,
        rng: random.Random,
        poll_seconds: float = 0.2,
    ) -> None:
        self.log = log
        self.clock = clock
        self.rng = rng
        self.poll_seconds = poll_seconds
        self.readers: dict[str, StreamReader] = {}
        self._started = False

    async def start(self) -> None:
        """Start reading the streams that are followed."""
        self._started = True
        for reader in self.readers.values():
            reader.start()

    async def stop(self) -> None:
        """Stop reading; waiters get `LogUnavailable`."""
        self._started = False
        readers = self.readers.values()
        await asyncio.gather(*(reader.stop() for reader in readers))

    def follow(
        self,
        stream: str,
        handler: Handler,
        start: int = 0,
        poll_seconds: float | None = None,
    ) -> None:
        """Pass a stream's records to a handler.

        Parameters
        ----------
        stream : str
            Name of the stream.
        handler : callable
            Called with each record; its exceptions are logged.
        start : int
            The offset to start at.
        poll_seconds : float or None
            Read interval of this stream, None for the default.

        Raises
        ------
        ValueError
            If reading of the stream has already started.
        """
        reader = self.readers.get(stream)
        if reader is None:
            interval = self.poll_seconds if poll_seconds is None else poll_seconds
            reader = StreamReader(
                self.log, self.clock, self.rng, stream, start, interval
            )
            self.readers[stream] = reader
        reader.add(handler)
        if self._started:
            reader.start()

    def on_gap(self, stream: str, handler: Callable[[int], None]) -> None:
        """Add a handler that is called when expired entries are skipped.

        Parameters
        ----------
        stream : str
            A stream that is followed.
        handler : callable
            Called with the first available offset, before the records after the
            gap are passed on.
        """
        self.readers[stream].gap_handlers.append(handler)

    async def wait_for_offset(
        self, stream: str, offset: int, timeout: float | None = None
    ) -> None:
        """Wait until a stream's records up to an offset have reached the handlers.

        Raises
        ------
        LogUnavailable
            If they have not before the timeout.
        """
        reader = self.readers[stream]
        if reader.position >= offset:
            return
        await self._wait(reader.offset_future(offset), stream, timeout)

    async def wait_until_caught_up(
        self, stream: str, timeout: float | None = None
    ) -> None:
        """Wait until a stream has been read to its end as of this call.

        Raises
        ------
        LogUnavailable
            If it has not before the timeout.
        """
        reader = self.readers[stream]
        await self._wait(reader.end_future(), stream, timeout)

    def position(self, stream: str) -> int:
        """Return the last offset that has reached the handlers, -1 for none."""
        reader = self.readers.get(stream)
        return -1 if reader is None else reader.position

    def failing(self, stream: str) -> bool:
        """Return whether the last read of a stream failed, or no read has ended."""
        reader = self.readers.get(stream)
        return reader is None or reader.failing

    async def _wait(
        self, future: asyncio.Future[None], stream: str, timeout: float | None
    ) -> None:
        if timeout is None:
            await future
            return
        timer = asyncio.create_task(self.clock.sleep(timeout))
        try:
            await asyncio.wait({future, timer}, return_when=asyncio.FIRST_COMPLETED)
            if not future.done():
                raise LogUnavailable(f"Stream {stream} was not read in time.")
            await future
        finally:
            timer.cancel()
            future.cancel()
