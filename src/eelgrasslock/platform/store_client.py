"""Client of the platform's store, a log of topics and partitions."""

import base64
import contextlib
import json
import struct
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import quote

from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogError,
    LogUnavailable,
    RecordsExpired,
)
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import OutgoingRequest
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool
from eelgrasslock.log.keyed_log import (
    ANSWER_SECONDS,
    KeyedChanges,
    KeyedRecord,
    KeyedSnapshot,
)
from eelgrasslock.log.partitioned_log import (
    ANY_END,
    NO_LIMIT,
    AppendConflict,
    PartitionRead,
)
from eelgrasslock.running_timeout import RunningTimeout

STORE_TIMEOUT_SECONDS = 0.6
MAX_READ_KILOBYTES = 1_024

_APPEND_PATH = "/eelgrasslock/log-append"
_READ_PATH = "/eelgrasslock/log-read"
_SNAPSHOT_PATH = "/eelgrasslock/log-newest"
_TRIM_PATH = "/eelgrasslock/log-trim"
_LENGTH_PREFIX = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_REJECTED_STATUSES = frozenset({429, 503, 507})


class StoreResponse:
    """A complete response of the store."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class PlatformStoreClient:
    """Client of the store; implements `PartitionedLog` and `KeyedLog`.

    Parameters
    ----------
    address : str
        Address of the store, as ``ip:port``.
    partitions_per_topic : int
        How many partitions a topic has.
    pool : ConnectionPool
        Pool of connections.

    Attributes
    ----------
    calls : int
        Number of calls since the start.
    on_call : callable
        Called with the name, the result and the duration in seconds of each call.
    """

    def __init__(
        self, address: str, partitions_per_topic: int, pool: ConnectionPool
    ) -> None:
        self.address = address
        self.partitions_per_topic = partitions_per_topic
        self.pool = pool
        self.calls = 0
        self.on_call: Callable[[str, str, float], None] = _ignore_call

    async def snapshot(
        self, topic: str, answer_seconds: float = ANSWER_SECONDS
    ) -> KeyedSnapshot:
        """Return the newest record of each key."""
        records: list[KeyedRecord] = []
        after = ""
        end: int | None = None
        while True:
            target = f"{_SNAPSHOT_PATH}?topic={topic}&part=0{after}"
            response = await self._get(target, answer_seconds)
            with _decoding(LogUnavailable):
                page = response.json()
                end = page["end"] if end is None else end
                records += [_keyed_item(item) for item in page["items"]]
                has_more = bool(page.get("hasMore"))
            if not has_more or not page["items"]:
                return KeyedSnapshot(records=tuple(records), end=end)
            before, after = after, f"&after={quote(records[-1].key, safe='')}"
            if after == before:
                raise LogUnavailable(f"A page of topic {topic} was sent twice.")

    async def changes(
        self,
        topic: str,
        offset: int,
        wait_seconds: float,
        answer_seconds: float = ANSWER_SECONDS,
    ) -> KeyedChanges:
        """Return the records from an offset on, waiting for a first one."""
        response = await self._read(topic, 0, offset, wait_seconds, answer_seconds)
        log_end, records = _decode_read(response.body)
        keyed = tuple(
            record for record in map(_keyed_record, records) if record is not None
        )
        end = offset + len(records)
        return KeyedChanges(records=keyed, end=end, is_behind=end < log_end)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key; an empty value deletes the key."""
        await self.put_all(topic, [(key, value)])

    async def put_all(self, topic: str, items: list[tuple[str, bytes]]) -> None:
        """Write the newest records of several keys in one call."""
        records = [_encode_keyed(key, value) for key, value in items]
        target = f"{_APPEND_PATH}?topic={topic}&part=0"
        try:
            response = await self._call(
                "POST", target, _frame_records(records), STORE_TIMEOUT_SECONDS
            )
        except (ConnectFailed, ConnectionBroken, TimeoutError) as error:
            raise LogUnavailable(f"The store did not answer: {error!r}.") from error
        if response.status != _OK:
            raise LogUnavailable(f"The store returned status {response.status}.")

    async def append_at(
        self, topic: str, partition: int, records: list[bytes], expected_end: int
    ) -> int:
        """Append if the partition ends at `expected_end`; return its new end."""
        target = f"{_APPEND_PATH}?topic={topic}&part={partition}"
        if expected_end != ANY_END:
            target += f"&asOf={expected_end}"
        try:
            response = await self._call(
                "POST", target, _frame_records(records), STORE_TIMEOUT_SECONDS
            )
        except ConnectFailed as error:
            raise LogUnavailable(str(error)) from error
        except (ConnectionBroken, TimeoutError) as error:
            raise AppendUnresolved("The response to an append was lost.") from error
        if response.status in (_OK, _PRECONDITION_FAILED):
            with _decoding(AppendUnresolved):
                answer = response.json()
                if response.status == _PRECONDITION_FAILED:
                    raise AppendConflict(answer["end"])
                if expected_end == ANY_END:
                    return answer["offset"] + len(records)
                return answer["end"]
        if response.status in _REJECTED_STATUSES:
            raise LogUnavailable(f"The store returned status {response.status}.")
        raise AppendUnresolved(f"The store returned status {response.status}.")

    async def read_from(
        self, topic: str, partition: int, offset: int, max_kilobytes: int = NO_LIMIT
    ) -> PartitionRead:
        """Return the records from an offset on, a first one at least."""
        response = await self._read(
            topic, partition, offset, 0.0, STORE_TIMEOUT_SECONDS, max_kilobytes
        )
        end, records = _decode_read(response.body)
        return PartitionRead(
            records=tuple(records), offset=offset + len(records), end=end
        )

    async def trim(self, topic: str, partition: int, offset: int) -> None:
        """Delete the records of a partition before an offset."""
        target = f"{_TRIM_PATH}?topic={topic}&part={partition}&before={offset}"
        try:
            response = await self._call("POST", target, b"", STORE_TIMEOUT_SECONDS)
        except (ConnectFailed, ConnectionBroken, TimeoutError) as error:
            raise LogUnavailable(f"The store did not answer: {error!r}.") from error
        if response.status != _OK:
            raise LogUnavailable(f"The store returned status {response.status}.")

    async def _read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_seconds: float,
        answer_seconds: float,
        max_kilobytes: int = NO_LIMIT,
    ) -> StoreResponse:
        kilobytes = min(max_kilobytes or MAX_READ_KILOBYTES, MAX_READ_KILOBYTES)
        target = f"{_READ_PATH}?topic={topic}&part={partition}&from={offset}"
        target += f"&maxKb={kilobytes}&waitMs={int(wait_seconds * 1_000)}"
        return await self._get(target, wait_seconds + answer_seconds)

    async def _get(self, target: str, timeout_seconds: float) -> StoreResponse:
        try:
            response = await self._call("GET", target, b"", timeout_seconds)
        except (ConnectFailed, ConnectionBroken, TimeoutError) as error:
            name = type(error).__name__
            raise LogUnavailable(f"The store did not answer: {name}.") from error
        if response.status == _GONE:
            with _decoding(LogUnavailable):
                first = response.json()["first"]
            raise RecordsExpired(first)
        if response.status != _OK:
            raise LogUnavailable(f"The store returned status {response.status}.")
        return response

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_seconds: float,
    ) -> StoreResponse:
        """Make one call; without a complete response its connection is closed."""
        self.calls += 1
        clock = self.pool.clock
        started = clock.monotonic()
        name = target.partition("?")[0].rpartition("/")[2]
        result = "lost"
        try:
            response = await self._exchange(method, target, body, timeout_seconds)
            result = str(response.status)
            return response
        finally:
            self.on_call(name, result, clock.monotonic() - started)

    async def _exchange(
        self, method: str, target: str, body: bytes, timeout_seconds: float
    ) -> StoreResponse:
        """Send a request; the time limit includes opening a connection."""
        limit = RunningTimeout(timeout_seconds)
        request = OutgoingRequest(
            method=method,
            target=target,
            headers=(("Host", self.address),),
            body=body,
        )
        connection = await self._connect(limit)
        try:
            async with limit:
                head = await connection.send(request)
                response_body = await connection.read_all()
        except BaseException:
            connection.close()
            raise
        self.pool.release(self.address, connection, None)
        return StoreResponse(head.status, response_body)

    async def _connect(self, limit: RunningTimeout) -> HTTPConnection:
        try:
            async with limit:
                return await self.pool.acquire(self.address)
        except TimeoutError as error:
            message = f"Could not connect to {self.address} in time."
            raise ConnectFailed(message) from error


def _ignore_call(name: str, result: str, seconds: float) -> None:
    """Do nothing."""


def _encode_keyed(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


def _keyed_item(item: dict[str, Any]) -> KeyedRecord:
    return KeyedRecord(key=item["key"], value=base64.b64decode(item["value"]))


def _keyed_record(record: bytes) -> KeyedRecord | None:
    """Decode a record of a keyed topic; return None if it is invalid."""
    if not record or len(record) < 1 + record[0]:
        return None
    start = 1 + record[0]
    try:
        key = record[1:start].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key=key, value=record[start:])


def _frame_records(records: list[bytes]) -> bytes:
    return b"".join(_LENGTH_PREFIX.pack(len(record)) + record for record in records)


def _decode_read(body: bytes) -> tuple[int, list[bytes]]:
    """Return the end of a partition and the records of a read."""
    with _decoding(LogUnavailable):
        end, _ = _READ_HEAD.unpack_from(body)
        return end, _split_records(body[_READ_HEAD.size :])


def _split_records(data: bytes) -> list[bytes]:
    """Return framed records.

    Raises
    ------
    ValueError
        If the data ends inside a record.
    """
    records = []
    start = 0
    while start < len(data):
        (length,) = _LENGTH_PREFIX.unpack_from(data, start)
        start += _LENGTH_PREFIX.size
        if start + length > len(data):
            raise ValueError("The data ends inside a record.")
        records.append(data[start : start + length])
        start += length
    return records


@contextlib.contextmanager
def _decoding(error_type: type[LogError]) -> Iterator[None]:
    """Raise an error of a type if a response can't be decoded."""
    try:
        yield
    except (KeyError, TypeError, ValueError, RecursionError, struct.error) as error:
        message = f"The store's response can't be decoded: {error!r}."
        raise error_type(message) from error
