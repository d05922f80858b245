"""A partitioned log with conditional appends, as allowances need it."""

from typing import Protocol

from attrs import frozen

from eelgrasslock.exceptions import LogError


class AppendConflict(LogError):
    """A partition does not end where the append expected; nothing was done.

    Parameters
    ----------
    end : int
        Where it ends.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"The partition ends at {end}.")
        self.end = end


@frozen(kw_only=True)
class PartitionRead:
    """Records of a partition.

    Attributes
    ----------
    records : tuple of bytes
        In their order.
    offset : int
        The offset after the last of them.
    end : int
        Where the partition ends.
    """

    records: tuple[bytes, ...]
    offset: int
    end: int


class PartitionedLog(Protocol):
    """Topics with numbered partitions, whose records have dense offsets."""

    async def append_at(
        self, topic: str, partition: int, records: list[bytes], expected_end: int
    ) -> int:
        """Append if the partition ends at an offset; return its new end.

        Raises
        ------
        AppendConflict
            If it ends elsewhere.
        LogUnavailable
            If nothing was done, and nothing will be.
        AppendUnresolved
            If it may have been done, or may be done later.
        """

    async def read_from(self, topic: str, partition: int, offset: int) -> PartitionRead:
        """Return records from an offset on.

        Raises
        ------
        LogUnavailable
            If the log gave no answer.
        RecordsExpired
            If records from this offset on were dropped.
        """
