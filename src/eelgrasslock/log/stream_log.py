"""The platform's append-only log, as the rest of the package sees it."""

from typing import Protocol

from attrs import frozen


@frozen
class Entry:
    """One append, as read back.

    Attributes
    ----------
    offset : int
        The entry's place in its stream; offsets grow, without being dense.
    data : bytes
        The encoded records of the append (see `record_codec.encode_batch`).
    time : float
        When the log took it, in seconds since the epoch.
    """

    offset: int
    data: bytes
    time: float


class Log(Protocol):
    """What the brief promises of the platform's log, and no more."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset.

        Raises
        ------
        LogUnavailable
            If the log did not take the entry.
        AppendUnresolved
            If the answer was lost; only reading tells whether it was taken.
        """

    async def read(self, stream: str, offset: int, limit: int) -> list[Entry]:
        """Return up to `limit` entries from `offset` on, in order.

        Raises
        ------
        LogUnavailable
            If the log can't be read now.
        RecordsExpired
            If `offset` is older than what the log still holds.
        """
