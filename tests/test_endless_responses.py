"""Bytes that never end cost an endpoint's request little memory and time."""

import socket
import time
from collections import Counter

import pytest

from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import Framing
from eelgrasslock_standins.raw_server import Ending, RawAnswer, frame
from hold_ups import running_seconds
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet, wait_until

STAMP = "Server-Stamp: s\r\n"
UNSIGNED_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = frame(b"", Framing.CHUNKED, more=STAMP).removesuffix(b"0\r\n\r\n")
LETTERS = b"a" * 4_096
# The bound on what is read, and what the sockets between two processes hold.
MAX_SENT_BYTES = 16 * 1_048_576
# What the daemon reads for a caller that does not: its socket to that caller holds
# 4 MiB at most. What the sockets to the endpoint hold is up to the kernel.
MAX_READ_BYTES = 8 * 1_048_576
CALLER_BUFFER_BYTES = 65_536

ENDLESS_HEADS = {
    "no HTTP": (b"", b"\x00" * 4_096),
    "status line": (b"HTTP/1.1 200 ", LETTERS),
    "header line": (UNSIGNED_HEAD + b"X-A: ", LETTERS),
    "header lines": (UNSIGNED_HEAD, b"X-A: b\r\n" * 512),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 128),
    "other responses": (b"", frame(LETTERS, Framing.LENGTH).replace(b"{id}", b"other")),
}
ENDLESS_FRAMING = {
    "chunk extension": (CHUNKED_HEAD + b"5;", LETTERS),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-A: b\r\n" * 512),
}
ENDLESS_BODIES = {
    "close": (frame(b"", Framing.CLOSE, more=STAMP), LETTERS),
    "chunks": (CHUNKED_HEAD, b"1000\r\n" + LETTERS + b"\r\n"),
    "length": (
        frame(b"", Framing.CLOSE, more=f"{STAMP}Content-Length: {10**15}\r\n"),
        LETTERS,
    ),
}


@pytest.fixture
def received(monkeypatch):
    """Count the bytes that are read of each server."""
    counts = Counter()
    data_received = HTTPConnection.data_received

    def count(connection, data):
        host, port = connection.transport.get_extra_info("peername")
        counts[f"{host}:{port}"] += len(data)
        data_received(connection, data)

    monkeypatch.setattr(HTTPConnection, "data_received", count)
    return counts


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


def endless(parts):
    data, filler = parts
    return RawAnswer(data=data, filler=filler, ending=Ending.ENDLESS)


@pytest.mark.parametrize(
    "parts",
    [pytest.param(parts, id=name) for name, parts in ENDLESS_HEADS.items()]
    + [pytest.param(parts, id=name) for name, parts in ENDLESS_FRAMING.items()],
)
class TestNoBody:
    async def test_a_post_gets_a_failure_at_once(self, fleet, parts):
        engine = await fleet.raw_endpoint(endless(parts))
        daemon = await fleet.ready_daemon([engine])
        started = time.monotonic()
        status, head, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert running_seconds(started) < 1.0
        assert status == 502
        assert not head.header("server-stamp")
        await wait_until(lambda: not engine.busy, 1.0)
        assert engine.sent_bytes < MAX_SENT_BYTES

    async def test_a_lookup_goes_to_another_endpoint(self, fleet, parts):
        engines = [await fleet.raw_endpoint(endless(parts)), await fleet.endpoint()]
        daemon = await fleet.ready_daemon(engines)
        for _ in range(3):
            status, _, _ = await fleet.call(daemon, f"{LOOKUPS}x")
            assert status == 200

    async def test_a_turn_gets_no_complete_response(self, fleet, parts):
        engine = await fleet.raw_endpoint(endless(parts), "models")
        daemon = await fleet.ready_daemon([engine])
        started = time.monotonic()
        try:
            status, _ = await fleet.turn(daemon, "p")
        except ConnectionBroken:
            status = 0
        assert status != 200
        assert running_seconds(started) < 1.0


@pytest.mark.parametrize(
    "parts", [pytest.param(parts, id=name) for name, parts in ENDLESS_BODIES.items()]
)
@pytest.mark.parametrize("path", [LOOKUPS, POSTS, TURNS])
class TestEndlessBody:
    async def test_it_is_broken_off_at_the_deadline(self, fleet, path, parts):
        engine = await fleet.raw_endpoint(
            endless(parts), "models" if path == TURNS else "desk"
        )
        daemon = await fleet.ready_daemon([engine])
        started = time.monotonic()
        with pytest.raises(ConnectionBroken):
            await fleet.call(daemon, f"{path}x", "POST", b"x", Deadline_Ms=1_000)
        assert running_seconds(started) < 2.0
        await wait_until(lambda: not engine.busy, 1.0)

    async def test_a_slow_caller_bounds_what_is_read(
        self, fleet, received, path, parts
    ):
        engine = await fleet.raw_endpoint(
            endless(parts), "models" if path == TURNS else "desk"
        )
        daemon = await fleet.ready_daemon([engine])
        connection = await fleet.connect(daemon)
        caller = connection.transport.get_extra_info("socket")
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        request = fleet.request(f"{path}x", "POST", b"x", Deadline_Ms=1_000)
        await connection.send(request)
        await wait_until(lambda: not engine.busy, 2.0)
        connection.close()
        assert 0 < received[engine.address] < MAX_READ_BYTES


async def assert_posts_are_served(fleet, daemon):
    started = time.monotonic()
    for _ in range(3):
        status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert status == 200
    assert running_seconds(started) < 2.0


class TestUnreadAnswers:
    @pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED])
    async def test_the_body_of_a_declined_request_is_not_awaited(self, fleet, framing):
        head = frame(b"", framing, status=503, more="Not-Run: 1\r\n")
        data = head.removesuffix(b"0\r\n\r\n")
        filler = b"1000\r\n" + LETTERS + b"\r\n"
        engines = [
            await fleet.raw_endpoint(endless((data, filler))),
            await fleet.endpoint(),
        ]
        daemon = await fleet.ready_daemon(engines)
        await assert_posts_are_served(fleet, daemon)
        assert engines[0].sent_bytes < MAX_SENT_BYTES

    @pytest.mark.parametrize("ending", [Ending.SILENCE, Ending.RESET, Ending.FIN])
    async def test_a_declined_request_whose_body_stops_goes_on(self, fleet, ending):
        more = "Not-Run: 1\r\nContent-Length: 90\r\n"
        data = frame(b"part", Framing.CLOSE, status=503, more=more)
        engines = [
            await fleet.raw_endpoint(RawAnswer(data=data, ending=ending)),
            await fleet.endpoint(),
        ]
        daemon = await fleet.ready_daemon(engines)
        await assert_posts_are_served(fleet, daemon)

    async def test_bytes_on_a_kept_connection_close_it(self, fleet):
        answer = frame(
            b"whole", Framing.LENGTH, more=f"{STAMP}Keep-Alive: timeout=9\r\n"
        )
        engine = await fleet.raw_endpoint(
            RawAnswer(data=answer, ending=Ending.ENDLESS, filler=LETTERS)
        )
        daemon = await fleet.ready_daemon([engine])
        status, _, body = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert (status, body) == (200, b"whole")
        await wait_until(lambda: not engine.busy, 0.5)
        assert engine.sent_bytes < MAX_SENT_BYTES


class TestEndlessRefusal:
    async def test_a_refusal_without_end_stays_a_refusal(self, fleet):
        head = frame(b"", Framing.CLOSE, status=503, more="Not-Run: 1\r\n")
        engine = await fleet.raw_endpoint(endless((head, LETTERS)))
        daemon = await fleet.ready_daemon([engine])
        started = time.monotonic()
        status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST", b"x")
        assert status in (429, 503)
        assert running_seconds(started) < 3.5
        await wait_until(lambda: not engine.busy, 1.0)
        assert engine.sent_bytes < MAX_SENT_BYTES
