"""Topics of a log whose newest record of each key is kept for good."""

from typing import Protocol

from attrs import frozen


@frozen(kw_only=True)
class KeyedRecord:
    """The newest record of a key.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        Empty if the key was dropped.
    """

    key: str
    value: bytes


@frozen(kw_only=True)
class KeyedSnapshot:
    """The newest record of each key of a topic.

    Attributes
    ----------
    records : tuple of KeyedRecord
        One a key.
    end : int
        From where to follow the topic.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@frozen(kw_only=True)
class KeyedChanges:
    """Records that came after an offset, in order.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Unreadable ones are left out.
    end : int
        From where to go on.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class KeyedLog(Protocol):
    """Topics whose newest record of each key is kept for good."""

    async def snapshot(self, topic: str) -> KeyedSnapshot:
        """Return the newest record of each key.

        Raises
        ------
        LogUnavailable
            If the log gave no answer.
        """

    async def changes(
        self, topic: str, offset: int, wait_seconds: float
    ) -> KeyedChanges:
        """Return what came from an offset on, waiting for a first record.

        Raises
        ------
        LogUnavailable
            If the log gave no answer.
        RecordsExpired
            If records from this offset on were dropped.
        """

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key; an empty value drops the key.

        Raises
        ------
        LogUnavailable
            If the log gave no answer; the record may have been written.
        """
