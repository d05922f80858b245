"""Whether it is worth trying the log for work that can't wait."""

from typing import Protocol

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.records import Record

RETRY_AFTER_SECONDS = 5.0
_PROBE_SECONDS = 1.0
_UNAVAILABLE = 503


class Writer(Protocol):
    """Appends records; see `log_writer.LogWriter`."""

    available: bool

    async def append(
        self, stream: str, record: Record, timeout: float | None = None
    ) -> int:
        """Return the record's offset, once it is known to be in the log."""


class Tail(Protocol):
    """Follows streams; see `log_tail.LogTail`."""

    async def reached(
        self, stream: str, offset: int, timeout: float | None = None
    ) -> None:
        """Wait until everything up to an offset has been folded."""

    async def caught_up(self, stream: str, timeout: float | None = None) -> None:
        """Wait until the stream's end as of now has been folded."""

    def position(self, stream: str) -> int:
        """Return the last offset folded, -1 for none."""


class LogGate:
    """Lets work that needs the log through, or refuses it at once.

    While the writer says that the log is down, one try a second still goes
    through, so that its return is noticed without other traffic.

    Parameters
    ----------
    writer : Writer
        Tells whether the log takes appends.
    clock : Clock
        The source of time.
    """

    def __init__(self, writer: Writer, clock: Clock) -> None:
        self.writer = writer
        self.clock = clock
        self._next_probe = 0.0

    def check(self) -> None:
        """Raise a `Refusal` if the log is down."""
        if self.writer.available:
            return
        now = self.clock.monotonic()
        if now < self._next_probe:
            raise journal_unavailable()
        self._next_probe = now + _PROBE_SECONDS


def journal_unavailable() -> Refusal:
    """Return the final answer to a request that needs the log now."""
    return Refusal(
        "journal_unavailable",
        "The platform's log does not answer; the request did not run.",
        _UNAVAILABLE,
        Ran.NO,
        RETRY_AFTER_SECONDS,
    )
