"""Interface of the platform's append-only log of streams."""

from typing import Protocol

from attrs import frozen


@frozen
class Entry:
    """The data of one append, with its offset.

    Attributes
    ----------
    offset : int
        Position in the stream; offsets increase, but may have gaps.
    data : bytes
        The encoded records of the append (see `record_codec.encode_batch`).
    time : float
        When the entry was appended, in seconds since the epoch.
    """

    offset: int
    data: bytes
    time: float


class Log(Protocol):
    """The platform's log; it guarantees no more than is stated here."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset.

        Raises
        ------
        LogUnavailable
            If the entry was not appended.
        AppendUnresolved
            If the response was lost; only a read shows whether it was appended.
        """

    async def read(self, stream: str, offset: int, limit: int) -> list[Entry]:
        """Return up to `limit` entries from `offset` on, in order.

        Raises
        ------
        LogUnavailable
            If the log can't be read.
        RecordsExpired
            If `offset` is older than the oldest entry in the log.
        """
