"""The log's answers on their way between two daemons.

A daemon that the log turns away has a peer append and read for it.
"""

from typing import Any

from attrs import frozen

from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.log.partitioned_log import (
    AppendConflict,
    PartitionedLog,
    PartitionRead,
)

DONE = "done"
MOVED = "moved"
UNAVAILABLE = "unavailable"
UNRESOLVED = "unresolved"


@frozen(kw_only=True)
class LogCallResult:
    """What the log answered.

    Attributes
    ----------
    outcome : str
        A word of the schema's `Outcome`.
    end : int
        The partition's end; for expired records the first offset kept.
    offset : int
        After the last record that was read.
    records : tuple of bytes
        What was read.
    """

    outcome: str
    end: int = 0
    offset: int = 0
    records: tuple[bytes, ...] = ()


async def append_for_peer(
    log: PartitionedLog | None,
    topic: str,
    partition: int,
    records: list[bytes],
    expected_end: int,
) -> LogCallResult:
    """Append, and return the log's answer as words."""
    if log is None:
        return LogCallResult(outcome=UNAVAILABLE)
    try:
        end = await log.append_at(topic, partition, records, expected_end)
    except AppendConflict as moved:
        return LogCallResult(outcome=MOVED, end=moved.end)
    except LogUnavailable:
        return LogCallResult(outcome=UNAVAILABLE)
    except AppendUnresolved:
        return LogCallResult(outcome=UNRESOLVED)
    return LogCallResult(outcome=DONE, end=end)


async def read_for_peer(
    log: PartitionedLog | None, topic: str, partition: int, offset: int
) -> LogCallResult:
    """Read, and return the log's answer as words."""
    if log is None:
        return LogCallResult(outcome=UNAVAILABLE)
    try:
        read = await log.read_from(topic, partition, offset)
    except RecordsExpired as expired:
        return LogCallResult(outcome=MOVED, end=expired.first)
    except LogUnavailable:
        return LogCallResult(outcome=UNAVAILABLE)
    return LogCallResult(
        outcome=DONE, end=read.end, offset=read.offset, records=read.records
    )


async def append_through(
    peer: Any, topic: str, partition: int, records: list[bytes], expected_end: int
) -> int:
    """Append through a peer; see `log.partitioned_log.PartitionedLog.append_at`."""
    answer = await peer.appendAt(
        topic=topic, partition=partition, records=records, expectedEnd=expected_end
    )
    outcome = str(answer.outcome)
    if outcome == DONE:
        return answer.end
    if outcome == MOVED:
        raise AppendConflict(answer.end)
    if outcome == UNAVAILABLE:
        raise LogUnavailable("The peer's log is away as well.")
    raise AppendUnresolved("The peer's append has no answer.")


async def read_through(
    peer: Any, topic: str, partition: int, offset: int
) -> PartitionRead:
    """Read through a peer; see `log.partitioned_log.PartitionedLog.read_from`."""
    answer = await peer.readFrom(topic=topic, partition=partition, offset=offset)
    outcome = str(answer.outcome)
    if outcome == MOVED:
        raise RecordsExpired(answer.end)
    if outcome != DONE:
        raise LogUnavailable("The peer's log is away as well.")
    records = tuple(bytes(one) for one in answer.records)
    return PartitionRead(records=records, offset=answer.offset, end=answer.end)
