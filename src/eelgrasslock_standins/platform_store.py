"""The stand-in for the platform's store: topics, partitions and keyed topics.

Each daemon is given a door of its own, an address on which faults can be
switched for it alone.
"""

import asyncio
import base64
import contextlib
import enum
import json
import struct

from aiohttp import web
from attrs import define, field

from eelgrasslock_standins.control import add_control, use_up
from eelgrasslock_standins.serving import drop_connection

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")
_PAGE = 500
_SILENCE_SECONDS = 3_600.0
_MAX_READ_KILOBYTES = 1_024
_KILOBYTE = 1_024


class Refusing(enum.StrEnum):
    """How the store turns a caller away.

    Of the calls that are reset, each second one takes effect.
    """

    NOT = ""
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"


@define(kw_only=True)
class DoorFaults:
    """What can be switched for one caller.

    Attributes
    ----------
    refusing : str
        A value of `Refusing`.
    slow_seconds : float
        Added to each call.
    lose_answers : int
        So many appends take effect and lose their answer.
    late_answers : int
        So many appends lose their answer and take effect `late_seconds` later,
        if their condition still holds then.
    late_seconds : float
        See there.
    """

    refusing: str = ""
    slow_seconds: float = 0.0
    lose_answers: int = 0
    late_answers: int = 0
    late_seconds: float = 0.2


@define(eq=False)
class StoredPartition:
    """The records of one partition; the first one kept has offset `first`."""

    records: list[bytes] = field(factory=list)
    first: int = 0
    grown: asyncio.Event = field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        """The offset that comes next."""
        return self.first + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Take records and return the new end."""
        self.records += records
        self.grown.set()
        self.grown = asyncio.Event()
        return self.end

    def drop_history(self) -> None:
        """Forget all records, as retention does."""
        self.drop_before(self.end)

    def drop_before(self, offset: int) -> None:
        """Forget the records before an offset."""
        dropped = min(max(0, offset - self.first), len(self.records))
        self.first += dropped
        del self.records[:dropped]

    def read(self, offset: int, max_bytes: int) -> list[bytes]:
        """Return records from an offset on, a first one at least."""
        found: list[bytes] = []
        size = 0
        for record in self.records[max(0, offset - self.first) :]:
            size += len(record)
            if found and size > max_bytes:
                break
            found.append(record)
        return found


class PlatformStoreStandin:
    """What all doors share.

    Attributes
    ----------
    partitions : dict
        By topic and number.
    newest : dict
        Values of keyed topics, by topic and key.
    calls : dict of str to int
        Calls that were answered, by path.
    """

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], StoredPartition] = {}
        self.newest: dict[str, dict[str, bytes]] = {}
        self.calls: dict[str, int] = {}

    def partition(self, topic: str, number: int) -> StoredPartition:
        """Return a partition, made on first use."""
        return self.partitions.setdefault((topic, number), StoredPartition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record of a keyed topic, as the platform itself does."""
        name = key.encode()
        self.append(topic, 0, [bytes([len(name)]) + name + value])

    def append(self, topic: str, number: int, records: list[bytes]) -> int:
        """Append records and return the new end."""
        if topic.startswith("keyed."):
            for record in records:
                self._keep(topic, record)
        return self.partition(topic, number).append(records)

    def compact(self, topic: str) -> None:
        """Drop a topic's history; the newest record of each key stays."""
        for (name, _), partition in self.partitions.items():
            if name == topic:
                partition.drop_history()

    def door(self) -> "StoreDoor":
        """Return an application for one more caller."""
        return StoreDoor(self)

    def _keep(self, topic: str, record: bytes) -> None:
        if not record or len(record) < 1 + record[0]:
            return
        start = 1 + record[0]
        values = self.newest.setdefault(topic, {})
        key = record[1:start].decode("utf-8", "replace")
        if record[start:]:
            values[key] = record[start:]
        else:
            values.pop(key, None)


class StoreDoor:
    """One caller's way to the store."""

    def __init__(self, store: PlatformStoreStandin) -> None:
        self.store = store
        self.faults = DoorFaults()
        self.resets = 0
        self._late: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._pass], client_max_size=2**22)
        app.router.add_post("/eelgrasslock/log-append", self._append)
        app.router.add_get("/eelgrasslock/log-read", self._read)
        app.router.add_get("/eelgrasslock/log-newest", self._newest)
        app.router.add_post("/eelgrasslock/log-trim", self._trim)
        add_control(app, self.faults)
        return app

    @web.middleware
    async def _pass(self, request: web.Request, handler) -> web.StreamResponse:
        if not request.path.startswith("/eelgrasslock"):
            return await handler(request)
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        if self.faults.refusing == Refusing.BUSY:
            return web.json_response({}, status=503)
        if self.faults.refusing == Refusing.MANY:
            return web.json_response({}, status=429)
        if self.faults.refusing == Refusing.SILENT:
            await asyncio.sleep(_SILENCE_SECONDS)
        if self.faults.refusing == Refusing.RESET:
            drop_connection(request)
            self.resets += 1
            if self.resets % 2:
                return web.Response()
        name = request.path.rpartition("/")[2]
        self.store.calls[name] = self.store.calls.get(name, 0) + 1
        return await handler(request)

    async def _append(self, request: web.Request) -> web.Response:
        topic = request.query["topic"]
        number = int(request.query["part"])
        records = _split(await request.read())
        expected = request.query.get("asOf")
        if use_up(self.faults, "late_answers"):
            late = self._append_late(topic, number, records, expected)
            task = asyncio.create_task(late)
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            drop_connection(request)
        partition = self.store.partition(topic, number)
        if expected is not None and int(expected) != partition.end:
            return web.json_response({"end": partition.end}, status=412)
        end = self.store.append(topic, number, records)
        if use_up(self.faults, "lose_answers"):
            drop_connection(request)
        return web.json_response({"offset": end - len(records), "end": end})

    async def _append_late(
        self, topic: str, number: int, records: list[bytes], expected: str | None
    ) -> None:
        await asyncio.sleep(self.faults.late_seconds)
        partition = self.store.partition(topic, number)
        if expected is None or int(expected) == partition.end:
            self.store.append(topic, number, records)

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        partition = self.store.partition(query["topic"], int(query["part"]))
        offset = int(query["from"])
        if offset < partition.first:
            return web.json_response({"first": partition.first}, status=410)
        seconds = int(query.get("waitMs", "0")) / 1_000
        if offset >= partition.end and seconds:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.grown.wait(), seconds)
        max_bytes = int(query.get("maxKb", _MAX_READ_KILOBYTES)) * _KILOBYTE
        records = partition.read(offset, max_bytes)
        body = _HEAD.pack(partition.end, partition.first)
        body += b"".join(_LENGTH.pack(len(one)) + one for one in records)
        return web.Response(body=body)

    async def _trim(self, request: web.Request) -> web.Response:
        query = request.query
        partition = self.store.partition(query["topic"], int(query["part"]))
        partition.drop_before(int(query["before"]))
        return web.json_response({})

    async def _newest(self, request: web.Request) -> web.Response:
        topic = request.query["topic"]
        after = request.query.get("after", "")
        values = self.store.newest.get(topic, {})
        keys = sorted(key for key in values if key > after)
        items = [
            {"key": key, "value": base64.b64encode(values[key]).decode(), "offset": 0}
            for key in keys[:_PAGE]
        ]
        end = self.store.partition(topic, 0).end
        body = {"items": items, "hasMore": len(keys) > _PAGE, "end": end}
        return web.Response(text=json.dumps(body), content_type="application/json")


def _split(data: bytes) -> list[bytes]:
    records = []
    start = 0
    while start < len(data):
        (length,) = _LENGTH.unpack_from(data, start)
        start += _LENGTH.size
        records.append(data[start : start + length])
        start += length
    return records
