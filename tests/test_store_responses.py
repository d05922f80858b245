"""A response of the store that broke off is never taken for a whole one."""

import asyncio
import json
import struct
import time

import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.http.messages import Framing
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.log.partitioned_log import AppendConflict
from eelgrasslock.platform.store_client import PlatformStoreClient
from eelgrasslock_standins.raw_server import Ending, RawAnswer, RawServer, frame
from hold_ups import running_seconds

RECORDS = struct.pack(">QQ", 9, 0) + b"\x00\x00\x00\x04\x01ka1\x00\x00\x00\x04\x01kb2"
ITEM = {"key": "k", "value": "YQ==", "offset": 1}
PAGE = json.dumps({"items": [ITEM], "hasMore": False, "end": 2}).encode()
APPENDED = json.dumps({"offset": 4, "end": 5}).encode()
LETTERS = b"a" * 4_096
MAX_SENT_BYTES = 32 * 1_048_576


@pytest.fixture
async def store():
    """Give a function that starts a store with one answer and returns its client."""
    pool = ConnectionPool(SystemClock())
    servers = []

    async def start(answer):
        server = RawServer(answer=answer)
        await server.start()
        servers.append(server)
        return PlatformStoreClient(server.address, 4, pool), server

    yield start
    await pool.stop()
    for server in servers:
        await server.stop()


def read(client):
    return client.read_from("t", 1, 3)


def changes(client):
    return client.changes("t", 3, 0.0)


def snapshot(client):
    return client.snapshot("t")


def append(client):
    return client.append_at("t", 1, [b"x"], 4)


def put(client):
    return client.put("t", "k", b"v")


CALLS = [
    pytest.param(read, RECORDS, LogUnavailable, id="read"),
    pytest.param(changes, RECORDS, LogUnavailable, id="changes"),
    pytest.param(snapshot, PAGE, LogUnavailable, id="snapshot"),
    pytest.param(append, APPENDED, AppendUnresolved, id="append"),
]
FRAMINGS = list(Framing)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(("call", "body", "error"), CALLS)
class TestBrokenOffResponses:
    @pytest.mark.parametrize("missing", [1, 5, 12])
    @pytest.mark.parametrize("ending", [Ending.FIN, Ending.HALF_CLOSE, Ending.RESET])
    async def test_a_body_that_is_short_is_an_error(
        self, store, call, body, error, framing, missing, ending
    ):
        # The part of a record before the connection's end was taken for a record.
        answer = RawAnswer(data=frame(body[:-missing], framing), ending=ending)
        client, _ = await store(answer)
        with pytest.raises(error):
            await call(client)

    async def test_an_empty_body_is_an_error(self, store, call, body, error, framing):
        client, _ = await store(RawAnswer(data=frame(b"", framing)))
        with pytest.raises(error):
            await call(client)

    async def test_a_whole_body_is_read(self, store, call, body, error, framing):
        client, _ = await store(RawAnswer(data=frame(body, framing)))
        assert await call(client)


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (read, LogUnavailable),
        (snapshot, LogUnavailable),
        (put, LogUnavailable),
        (append, AppendUnresolved),
    ],
)
class TestNoAnswer:
    @pytest.mark.parametrize(
        ("data", "ending", "filler"),
        [
            (b"", Ending.ENDLESS, LETTERS),
            (b"HTTP/1.1 200 OK\r\nX-A: ", Ending.ENDLESS, LETTERS),
            (frame(b"", Framing.CLOSE), Ending.ENDLESS, LETTERS),
            (frame(b"part", Framing.CLOSE), Ending.SILENCE, b""),
            (b"", Ending.SILENCE, b""),
        ],
    )
    async def test_it_is_an_error_in_bounded_time(
        self, store, call, error, data, ending, filler
    ):
        client, server = await store(RawAnswer(data=data, ending=ending, filler=filler))
        started = time.monotonic()
        with pytest.raises(error):
            await call(client)
        assert running_seconds(started) < 1.5
        assert server.sent_bytes < MAX_SENT_BYTES


class TestStatuses:
    @pytest.mark.parametrize(
        ("status", "body", "error"),
        [
            (410, b'{"first": 7}', RecordsExpired),
            (410, b'{"fir', LogUnavailable),
            (503, b"{", LogUnavailable),
        ],
    )
    async def test_of_a_read(self, store, status, body, error):
        answer = RawAnswer(data=frame(body, Framing.CLOSE, status=status))
        client, _ = await store(answer)
        with pytest.raises(error):
            await read(client)

    @pytest.mark.parametrize(
        ("status", "body", "error"),
        [
            (412, b'{"end": 7}', AppendConflict),
            (412, b'{"en', AppendUnresolved),
            (503, b"{", LogUnavailable),
            (500, b"{", AppendUnresolved),
        ],
    )
    async def test_of_an_append(self, store, status, body, error):
        answer = RawAnswer(data=frame(body, Framing.CLOSE, status=status))
        client, _ = await store(answer)
        with pytest.raises(error):
            await append(client)


class TestPages:
    async def test_a_page_that_comes_again_is_an_error(self, store):
        page = json.dumps({"items": [ITEM], "hasMore": True, "end": 2}).encode()
        client, _ = await store(
            RawAnswer(data=frame(page, Framing.LENGTH), ending=Ending.NEXT)
        )
        async with asyncio.timeout(5.0):
            with pytest.raises(LogUnavailable):
                await snapshot(client)


class TestKeptConnections:
    async def test_a_second_answer_is_not_the_next_calls(self, store):
        client, server = await store(
            RawAnswer(data=frame(APPENDED, Framing.LENGTH), ending=Ending.NEXT)
        )
        other = frame(b'{"offset": 70, "end": 71}', Framing.LENGTH)
        twice = server.answer.data + other
        server.queued.append(RawAnswer(data=twice, ending=Ending.NEXT))
        assert [await append(client) for _ in range(3)] == [5, 5, 5]
