"""The topics of the log in which turns are kept."""

import contextlib

from attrs import frozen

from eelgrasslock.conversations.turn import Turn, TurnLink, turn_key
from eelgrasslock.conversations.turn_codec import (
    decode_head,
    decode_turn,
    encode_turn,
)
from eelgrasslock.conversations.turn_index import TurnIndex, TurnPlace
from eelgrasslock.exceptions import LogUnavailable, RecordError, RecordsExpired
from eelgrasslock.log.partitioned_log import ANY_END, AppendConflict, PartitionedLog

TOPIC_COUNT = 12
_TOPIC_FORMAT = "turns-{}"
_MAX_CONFLICTS = 4
_KILOBYTE = 1_024
# What a record takes beside its bytes in an answer of the log.
_FRAME_BYTES = 64


@frozen
class TurnPartition:
    """A partition that keeps turns.

    Attributes
    ----------
    topic : str
        The topic.
    number : int
        The number of the partition in its topic.
    """

    topic: str
    number: int

    def __str__(self) -> str:
        return f"{self.topic}/{self.number}"


class TurnLog:
    """Appends turns to the log and reads them, each in the partition of its key.

    Parameters
    ----------
    log : PartitionedLog
        The log.
    partitions_per_topic : int
        How many partitions a topic has.
    """

    def __init__(self, log: PartitionedLog, partitions_per_topic: int) -> None:
        self.log = log
        self.partitions_per_topic = partitions_per_topic

    def partition(self, key: int) -> TurnPartition:
        """Return the partition of a key, the same one at all daemons."""
        index = key % (TOPIC_COUNT * self.partitions_per_topic)
        topic, number = divmod(index, self.partitions_per_topic)
        return TurnPartition(_TOPIC_FORMAT.format(topic), number)

    async def append(self, turn: Turn, now: float) -> TurnLink:
        """Append a turn wherever its partition ends, and return its place.

        Appending it twice does no harm: both records are the same turn.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not confirm it.
        """
        partition = self.partition(turn_key(turn.id))
        records = encode_turn(turn)
        end = await self._append(partition, records)
        return TurnLink(
            id=turn.id,
            offset=end - len(records),
            size=sum(len(one) for one in records),
            stored_at=now,
        )

    async def _append(self, partition: TurnPartition, records: list[bytes]) -> int:
        """Append at any end; a daemon of an older build wants to know the end."""
        expected = ANY_END
        for _ in range(_MAX_CONFLICTS):
            try:
                return await self.log.append_at(
                    partition.topic, partition.number, records, expected
                )
            except AppendConflict as conflict:
                expected = conflict.end
        raise LogUnavailable(f"{_MAX_CONFLICTS} appends in a row had conflicts.")

    async def read(self, link: TurnLink) -> Turn:
        """Return a turn from its place in the log.

        Raises
        ------
        LogUnavailable
            If the log did not answer.
        RecordsExpired
            If the log no longer has it.
        RecordError
            If another record is there.
        """
        partition = self.partition(turn_key(link.id))
        kilobytes = (link.size + _FRAME_BYTES) // _KILOBYTE + 1
        records: list[bytes] = []
        offset = link.offset
        parts = 1
        while len(records) < parts:
            read = await self.log.read_from(
                partition.topic, partition.number, offset, kilobytes
            )
            if not read.records:
                raise RecordError(f"{partition} has no whole turn at {link.offset}.")
            records += read.records
            offset = read.offset
            parts = decode_head(records[0]).parts
        turn = decode_turn(records)
        if turn.id != link.id:
            raise RecordError(f"{partition} has another turn at {link.offset}.")
        return turn

    async def probe(self, key: int) -> None:
        """Look whether the log answers for the partition of a key.

        Raises
        ------
        LogUnavailable
            If it does not.
        """
        partition = self.partition(key)
        with contextlib.suppress(RecordsExpired):
            await self.log.read_from(partition.topic, partition.number, 0, 1)

    async def catch_up(
        self, index: TurnIndex, partition: TurnPartition, now: float
    ) -> int:
        """Add all turns up to the end of a partition to its index.

        Returns
        -------
        int
            How many records could not be read as turns.

        Raises
        ------
        LogUnavailable
            If the log did not answer.
        """
        unreadable = 0
        while True:
            try:
                read = await self.log.read_from(
                    partition.topic, partition.number, index.read_to
                )
            except RecordsExpired as error:
                index.read_to = error.first
                continue
            unreadable += _add_records(index, index.read_to, read.records, now)
            index.read_to = read.offset
            if not read.records or read.offset >= read.end:
                return unreadable


def _add_records(
    index: TurnIndex, offset: int, records: tuple[bytes, ...], now: float
) -> int:
    """Add the turns that begin among some records; return the unreadable ones."""
    unreadable = 0
    for number, record in enumerate(records):
        try:
            head = decode_head(record)
        except RecordError:
            unreadable += 1
            continue
        if head.part:
            continue
        place = TurnPlace(
            key=head.key,
            offset=offset + number,
            size=len(record) * head.parts,
            holder="",
            stored_at=now,
        )
        index.put(place)
    return unreadable
