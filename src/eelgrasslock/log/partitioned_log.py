"""Interface of a partitioned log with conditional appends."""

from typing import Protocol

from attrs import frozen

from eelgrasslock.exceptions import LogError

# As the expected end: append wherever the partition ends.
ANY_END = -1
# As a limit of bytes: as much as the log gives with one answer.
NO_LIMIT = 0


class AppendConflict(LogError):
    """The partition does not end at the expected offset; nothing was appended.

    Parameters
    ----------
    end : int
        The offset at which the partition ends.
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
        Records in order.
    offset : int
        The offset after the last of these records.
    end : int
        The offset at which the partition ends.
    """

    records: tuple[bytes, ...]
    offset: int
    end: int


class PartitionedLog(Protocol):
    """Topics with numbered partitions, whose offsets have no gaps."""

    async def append_at(
        self, topic: str, partition: int, records: list[bytes], expected_end: int
    ) -> int:
        """Append if the partition ends at `expected_end`; return its new end.

        With `ANY_END` the records are appended in any case. The result is then the
        offset after them.

        Raises
        ------
        AppendConflict
            If the partition ends at another offset.
        LogUnavailable
            If nothing was appended, and nothing will be.
        AppendUnresolved
            If the records may have been appended, or may be appended later.
        """

    async def read_from(
        self, topic: str, partition: int, offset: int, max_kilobytes: int = NO_LIMIT
    ) -> PartitionRead:
        """Return the records from an offset on, a first one at least.

        Raises
        ------
        LogUnavailable
            If the log did not answer.
        RecordsExpired
            If the log no longer has the records from this offset on.
        """
