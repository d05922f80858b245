"""Log calls between daemons, with the encoding of their results.

A daemon that can't reach the log appends and reads through a peer.
"""

from typing import Any

from attrs import frozen

from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.log.partitioned_log import (
    NO_LIMIT,
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
    """Result of a log call that a peer made.

    Attributes
    ----------
    outcome : str
        A value of the schema's `Outcome`.
    end : int
        The partition's end; for expired records, the first offset kept.
    offset : int
        The offset after the last record that was read.
    records : tuple of bytes
        The records that were read.
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
    """Append for a peer, and return the outcome."""
    if log is None:
        return LogCallResult(outcome=UNAVAILABLE)
    try:
        end = await log.append_at(topic, partition, records, expected_end)
    except AppendConflict as conflict:
        return LogCallResult(outcome=MOVED, end=conflict.end)
    except LogUnavailable:
        return LogCallResult(outcome=UNAVAILABLE)
    except AppendUnresolved:
        return LogCallResult(outcome=UNRESOLVED)
    return LogCallResult(outcome=DONE, end=end)


async def read_for_peer(
    log: PartitionedLog | None,
    topic: str,
    partition: int,
    offset: int,
    max_kilobytes: int = NO_LIMIT,
) -> LogCallResult:
    """Read for a peer, and return the outcome."""
    if log is None:
        return LogCallResult(outcome=UNAVAILABLE)
    try:
        read = await log.read_from(topic, partition, offset, max_kilobytes)
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
        raise LogUnavailable("The log is not available to the peer either.")
    raise AppendUnresolved("The result of the peer's append is unknown.")


async def read_through(
    peer: Any, topic: str, partition: int, offset: int, max_kilobytes: int = NO_LIMIT
) -> PartitionRead:
    """Read through a peer; see `log.partitioned_log.PartitionedLog.read_from`."""
    answer = await peer.readFrom(
        topic=topic, partition=partition, offset=offset, maxKilobytes=max_kilobytes
    )
    outcome = str(answer.outcome)
    if outcome == MOVED:
        raise RecordsExpired(answer.end)
    if outcome != DONE:
        raise LogUnavailable("The log is not available to the peer either.")
    records = tuple(bytes(one) for one in answer.records)
    return PartitionRead(records=records, offset=answer.offset, end=answer.end)
