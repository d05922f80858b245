"""Interfaces to the log, and the handling of an unavailable log."""

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
    """Interface for appending records; see `log_writer.LogWriter`."""

    available: bool

    async def append(
        self, stream: str, record: Record, timeout: float | None = None
    ) -> int:
        """Append a record; return its offset once it is known to be in the log."""


class Tail(Protocol):
    """Interface for following streams; see `log_tail.LogTail`."""

    async def wait_for_offset(
        self, stream: str, offset: int, timeout: float | None = None
    ) -> None:
        """Wait until all records up to an offset have been applied."""

    async def wait_until_caught_up(
        self, stream: str, timeout: float | None = None
    ) -> None:
        """Wait until all records up to the stream's current end have been applied."""

    def position(self, stream: str) -> int:
        """Return the last offset that has been applied, -1 for none."""


class LogAvailabilityCheck:
    """Refuses work that needs the log while appends fail.

    The writer probes the log itself, so recovery needs no further requests.

    Parameters
    ----------
    writer : Writer
        Its `available` shows whether the log accepts appends.
    """

    def __init__(self, writer: Writer) -> None:
        self.writer = writer

    def check(self) -> None:
        """Raise a `Refusal` if the log is unavailable."""
        if not self.writer.available:
            raise journal_unavailable_refusal()


async def append_until_stored(
    writer: Writer, clock: Clock, stream: str, record: Record
) -> int:
    """Append a record that must not be lost; retry until it is stored."""
    while True:
        try:
            return await writer.append(stream, record)
        except LogError as error:
            log.warning("Append failed, retrying: {}", error)
        await clock.sleep(_RETRY_SECONDS)


def journal_unavailable_refusal() -> Refusal:
    """Return the refusal of a request that needs the unavailable log."""
    return Refusal(
        "journal_unavailable",
        "The platform's log does not answer; the request did not run.",
        _UNAVAILABLE,
        Ran.NO,
        RETRY_AFTER_SECONDS,
    )
