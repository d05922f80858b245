"""Keyed (compacted) topics, which keep the newest record of each key forever."""

from typing import Protocol

from attrs import frozen

ANSWER_SECONDS = 0.6


@frozen(kw_only=True)
class KeyedRecord:
    """The newest record of a key.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        Empty if the key was deleted.
    """

    key: str
    value: bytes


@frozen(kw_only=True)
class KeyedSnapshot:
    """The newest record of each key of a topic.

    Attributes
    ----------
    records : tuple of KeyedRecord
        One record for each key.
    end : int
        The offset from which to follow the topic.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@frozen(kw_only=True)
class KeyedChanges:
    """Records after an offset, in order.

    Attributes
    ----------
    records : tuple of KeyedRecord
        The records; unreadable ones are left out.
    end : int
        The offset from which to continue.
    is_behind : bool
        Whether the log already had more records than the answer holds.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_behind: bool = False


class KeyedLog(Protocol):
    """Interface of a log with keyed topics."""

    async def snapshot(
        self, topic: str, answer_seconds: float = ANSWER_SECONDS
    ) -> KeyedSnapshot:
        """Return the newest record of each key.

        Parameters
        ----------
        topic : str
            Name of the topic.
        answer_seconds : float
            How long the log may take for each answer.

        Raises
        ------
        LogUnavailable
            If the log did not answer.
        """

    async def changes(
        self,
        topic: str,
        offset: int,
        wait_seconds: float,
        answer_seconds: float = ANSWER_SECONDS,
    ) -> KeyedChanges:
        """Return the records from an offset on, waiting for a first one.

        Parameters
        ----------
        topic : str
            Name of the topic.
        offset : int
            Offset of the first record to return.
        wait_seconds : float
            How long the log waits for a first record.
        answer_seconds : float
            How long the log may take for its answer beyond that.

        Raises
        ------
        LogUnavailable
            If the log did not answer.
        RecordsExpired
            If the log no longer has the records from this offset on.
        """

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key; an empty value deletes the key.

        Raises
        ------
        LogUnavailable
            If the log did not answer; the record may have been written.
        """

    async def put_all(self, topic: str, items: list[tuple[str, bytes]]) -> None:
        """Write the newest records of several keys in one call, all or none.

        Raises
        ------
        LogUnavailable
            If the log did not answer; the records may have been written.
        """
