"""What callers see of responses that break off, and of their own requests."""

import asyncio
import logging

import pytest
from aiohttp import ClientConnectionResetError

from eelgrasslock.http.caller_body import CallerBody
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import Framing
from eelgrasslock.requests.front import Front
from eelgrasslock_standins.raw_server import Ending, RawAnswer, frame
from platform_fleet import (
    HOST,
    LOOKUPS,
    POSTS,
    TURNS,
    PlatformFleet,
    free_port,
    wait_until,
)

STAMP = "Server-Stamp: s\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
LONG = b"a" * 200_000
LAST_CHUNK = b"\r\n0\r\n\r\n"


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


async def exchange(address, version, path, body=b"x", length=None):
    """Return the response's head and body as far as they came, and how they ended."""
    reader, writer = await open_request(address, version, path, body, length)
    received = b""
    ending = "fin"
    try:
        while data := await reader.read(65_536):
            received += data
    except ConnectionResetError:
        ending = "reset"
    writer.close()
    head, _, rest = received.partition(b"\r\n\r\n")
    return head.lower(), rest, ending


async def open_request(address, version, path, body=b"x", length=None):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    length = len(body) if length is None else length
    head = (
        f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\nRequest-Id: r\r\n"
        f"Connection: close\r\nDeadline-Ms: 2000\r\nContent-Length: {length}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    return reader, writer


def is_complete(head, body, ending, whole):
    """Return whether HTTP takes a response for complete."""
    if b"transfer-encoding: chunked" in head:
        return body.endswith(LAST_CHUNK)
    if b"content-length" in head:
        return len(body) == len(whole)
    return ending == "fin"


BROKEN = [
    pytest.param(TURNS, Framing.CLOSE, Ending.FIN, EVENTS, 1, id="stream, FIN"),
    pytest.param(TURNS, Framing.CLOSE, Ending.RESET, EVENTS, 1, id="stream, reset"),
    pytest.param(TURNS, Framing.CLOSE, Ending.SILENCE, EVENTS, 1, id="stream, silence"),
    pytest.param(TURNS, Framing.LENGTH, Ending.FIN, EVENTS, 1, id="stream, length"),
    pytest.param(TURNS, Framing.CHUNKED, Ending.FIN, EVENTS, 7, id="stream, chunks"),
    pytest.param(POSTS, Framing.CLOSE, Ending.RESET, LONG, 9, id="plain, reset"),
    pytest.param(POSTS, Framing.CLOSE, Ending.SILENCE, LONG, 9, id="plain, silence"),
    pytest.param(POSTS, Framing.LENGTH, Ending.FIN, LONG, 9, id="plain, length"),
    pytest.param(POSTS, Framing.CHUNKED, Ending.FIN, LONG, 9, id="plain, chunks"),
]


@pytest.mark.parametrize("version", ["1.0", "1.1"])
class TestResponses:
    async def serve(self, fleet, path, answer):
        service = "models" if path == TURNS else "desk"
        engine = await fleet.raw_endpoint(answer, service)
        return await fleet.ready_daemon([engine])

    @pytest.mark.parametrize(("path", "framing", "ending", "body", "missing"), BROKEN)
    async def test_a_broken_off_response_is_not_complete(
        self, fleet, version, path, framing, ending, body, missing
    ):
        # The close of an HTTP/1.0 caller's connection completed what had broken off.
        data = frame(body, framing, more=STAMP)[:-missing]
        daemon = await self.serve(fleet, path, RawAnswer(data=data, ending=ending))
        head, received, end = await exchange(daemon.front_address, version, f"{path}x")
        assert head.startswith(f"http/{version} 200".encode())
        assert not is_complete(head, received, end, body)

    @pytest.mark.parametrize(("path", "body"), [(TURNS, EVENTS), (POSTS, LONG)])
    @pytest.mark.parametrize("framing", list(Framing))
    async def test_a_whole_response_is_complete(
        self, fleet, version, path, body, framing
    ):
        answer = RawAnswer(data=frame(body, framing, more=STAMP))
        daemon = await self.serve(fleet, path, answer)
        head, received, end = await exchange(daemon.front_address, version, f"{path}x")
        assert is_complete(head, received, end, body)
        if b"chunked" not in head:
            assert received == body

    async def test_a_response_that_a_stop_breaks_off_is_not_complete(
        self, fleet, version
    ):
        answer = RawAnswer(
            data=frame(EVENTS, Framing.CLOSE, more=STAMP), ending=Ending.SILENCE
        )
        daemon = await self.serve(fleet, TURNS, answer)
        call = asyncio.create_task(exchange(daemon.front_address, version, f"{TURNS}x"))
        handler = daemon.application.handler
        await wait_until(lambda: handler.in_flight.count)
        await asyncio.sleep(0.05)
        await daemon.application.stop()
        head, received, end = await call
        assert head.startswith(f"http/{version} 200".encode())
        assert not is_complete(head, received, end, EVENTS)


class TestRequests:
    @pytest.mark.parametrize("half_close", [False, True])
    async def test_a_request_that_ends_early_is_not_sent(self, fleet, half_close):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        _, writer = await open_request(
            daemon.front_address, "1.1", f"{POSTS}x", b"part", 90
        )
        await writer.drain()
        if half_close:
            writer.write_eof()
        else:
            writer.close()
        await asyncio.sleep(0.2)
        writer.close()
        assert engine.runs == []


@pytest.mark.parametrize("version", ["1.0", "1.1"])
class TestOwnInterface:
    async def serve(self, version, handle):
        front = Front(f"127.0.0.1:{free_port()}", handle, [])
        await front.start()
        try:
            return await exchange(front.address, version, "/v1/chat/completions")
        finally:
            await front.stop()

    @pytest.mark.parametrize("error", [RuntimeError, asyncio.CancelledError])
    async def test_a_broken_off_response_is_not_complete(self, version, error):
        async def handle(request, responder):
            await responder.start(200, {})
            await responder.write(EVENTS)
            await asyncio.sleep(0.05)
            raise error

        head, received, end = await self.serve(version, handle)
        assert EVENTS in received
        assert not is_complete(head, received, end, EVENTS)

    async def test_a_whole_response_is_complete(self, version):
        async def handle(request, responder):
            await responder.start(200, {})
            await responder.write(EVENTS)
            await responder.finish()

        head, received, end = await self.serve(version, handle)
        assert EVENTS in received
        assert is_complete(head, received, end, EVENTS)


class TestCallersThatLeave:
    async def test_a_caller_that_leaves_costs_one_line(self, fleet, monkeypatch):
        """Each left a traceback of twenty lines on the standard error."""
        errors = []
        monkeypatch.setattr(
            logging.getLogger("aiohttp.server"), "handle", errors.append
        )
        endpoint = await fleet.endpoint()
        daemon = await fleet.ready_daemon([endpoint])

        async def fail(body):
            raise ClientConnectionResetError("Cannot write to closing transport")

        with monkeypatch.context() as patch:
            patch.setattr(CallerBody, "finish", fail)
            with pytest.raises(ConnectionBroken):
                await fleet.call(daemon, f"{LOOKUPS}x")
        assert errors == []
        assert (await fleet.call(daemon, f"{LOOKUPS}x"))[0] == 200
