"""Whether it is worth trying the log for work that can't wait."""

from typing import Protocol

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogError, Ran, Refusal
from eelgrasslock.log.records import Record

RETRY_AFTER_SECONDS = 5.0
_RETRY_SECONDS = 1.0
_UNAVAILABLE = 503

log = logger.bind(part="log")


class Writer(Protocol):
    """Appends records; see `log_writer.LogWriter`."""

    available: bool

    async def append(
        self, stream: str, record: Record, timeout: float | None = None
    ) -> int:
        """Return the record's offset, once it is known to be in the log."""


class Tail(Protocol):
    """Follows streams; see `log_tail.LogTail`."""

    async def wait_for_offset(
        self, stream: str, offset: int, timeout: float | None = None
    ) -> None:
        """Wait until everything up to an offset has been folded."""

    async def wait_until_caught_up(
        self, stream: str, timeout: float | None = None
    ) -> None:
        """Wait until the stream's end as of now has been folded."""

    def position(self, stream: str) -> int:
        """Return the last offset folded, -1 for none."""


class LogAvailabilityCheck:
    """Lets work that needs the log through, or refuses it at once.

    The writer finds out by itself when the log is back.

    Parameters
    ----------
    writer : Writer
        Tells whether the log takes appends.
    """

    def __init__(self, writer: Writer) -> None:
        self.writer = writer

    def check(self) -> None:
        """Raise a `Refusal` if the log is down."""
        if not self.writer.available:
            raise journal_unavailable()


async def append_until_stored(
    writer: Writer, clock: Clock, stream: str, record: Record
) -> int:
    """Append a record that must not be lost, however long it takes."""
    while True:
        try:
            return await writer.append(stream, record)
        except LogError as error:
            log.warning("The writer took no record: {}", error)
        await clock.sleep(_RETRY_SECONDS)


def journal_unavailable() -> Refusal:
    """Return the final answer to a request that needs the log now."""
    return Refusal(
        "journal_unavailable",
        "The platform's log does not answer; the request did not run.",
        _UNAVAILABLE,
        Ran.NO,
        RETRY_AFTER_SECONDS,
    )
