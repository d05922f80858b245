"""Sound responses without an end mark, and ends that the check takes for sound."""

import asyncio
import json
import socket

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import define, field

from eelgrasslock.clock import SystemClock
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.endpoints.service_client import PlainRequest, ServiceClient
from eelgrasslock.http.caller_body import CallerBody
from eelgrasslock_standins.bare_server import BareServer, read_request, reset
from eelgrasslock_standins.platform_engine import Fault
from engine_process import EngineProcess
from platform_fleet import POSTS, TURNS, PlatformFleet, configuration, route
from test_ended_engines import EVENTS, EngineFleet, events_of

HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\n\r\n"
ALL = [*range(1, EVENTS + 1)]


@define(eq=False, kw_only=True)
class UnframedEngine(BareServer):
    """Answers turns and posts in full, without a length or chunks.

    Attributes
    ----------
    event_seconds : float
        The pause before each event.
    idle_seconds : float
        How long a connection may wait for a request.
    health_seconds : float
        How long a question after its state waits for a slot.
    max_connections : int
        How many connections it takes at once; more are reset.
    is_full_after : int
        How many turns and posts it takes before it is full.
    preamble : str
        What comes before the first event of each stream.
    second_seconds : float
        How long it says nothing to a stream that is resumed, unless the caller leaves.
    """

    event_seconds: float = 0.0
    idle_seconds: float = 60.0
    health_seconds: float = 0.0
    max_connections: int = 100
    is_full_after: int = 1_000
    preamble: str = ""
    second_seconds: float = 0.0
    turns: int = 0
    open: int = 0
    seen: list = field(factory=list)

    async def serve_one(self, reader, writer):
        self.open += 1
        try:
            return await self._serve_one(reader, writer)
        finally:
            self.open -= 1

    async def _serve_one(self, reader, writer):
        if self.open > self.max_connections:
            reset(writer)
            return False
        try:
            async with asyncio.timeout(self.idle_seconds):
                run = await read_request(reader)
        except TimeoutError:
            return False
        self.seen.append((run.method, run.target, run.headers.get("last-event-id")))
        if run.method == "GET":
            await asyncio.sleep(self.health_seconds)
            writer.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {run.id}\r\nServer-Stamp: s\r\n"
                f"Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        self.turns += 1
        if self.turns > self.is_full_after:
            writer.write(
                f"HTTP/1.1 503 Full\r\nRequest-Id: {run.id}\r\nNot-Run: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if self.turns > 1 and self.second_seconds:
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({gone}, timeout=self.second_seconds)
            self.seen.append(("gone", gone.done(), None))
            gone.cancel()
            return False
        writer.write(HEAD.format(run.id).encode())
        if not run.target.startswith(TURNS):
            writer.write(b"whole")
            return False
        writer.write(self.preamble.encode())
        for number in range(int(run.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            await asyncio.sleep(self.event_seconds)
            writer.write(f"id: {number}\ndata: x\n\n".encode())
        return False


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


async def engines_of(fleet, service="models", **shape):
    engine = UnframedEngine(id="i-1", **shape)
    await engine.start()
    fleet.stack.push_async_callback(engine.stop)
    fleet.register(engine, service)
    engines = EngineFleet(fleet)
    engines.engines.append(engine)
    engines.daemon = await fleet.ready_daemon([engine])
    return engines


class TestSoundResponses:
    async def test_a_sound_stream_is_whole(self, fleet):
        engines = await engines_of(fleet)
        body, is_whole = await engines.stream()
        assert (events_of(body), is_whole) == (ALL, True)

    async def test_a_stream_that_outlasts_idle_connections_is_whole(self, fleet):
        engines = await engines_of(fleet, event_seconds=0.15, idle_seconds=0.5)
        body, is_whole = await engines.stream()
        assert (events_of(body), is_whole) == (ALL, True)

    async def test_a_stream_of_an_engine_that_is_full_afterwards_is_whole(self, fleet):
        engines = await engines_of(fleet, is_full_after=1)
        body, is_whole = await engines.stream()
        assert (events_of(body), is_whole) == (ALL, True)

    async def test_a_stream_resumed_after_its_last_event_is_whole(self, fleet):
        engines = await engines_of(fleet)
        fleet.make_known(engines.daemon, "one")
        body, is_whole = await engines.stream(Resumes="one", Last_Event_Id=EVENTS)
        assert (events_of(body), is_whole) == ([], True)

    async def test_a_stream_of_an_engine_at_its_connections_is_whole(self, fleet):
        engines = await engines_of(fleet, max_connections=1, event_seconds=0.02)
        body, is_whole = await engines.stream()
        assert (events_of(body), is_whole) == (ALL, True)

    async def test_a_stream_with_a_comment_first_is_whole(self, fleet):
        engines = await engines_of(fleet, preamble=": hello\n\n")
        body, is_whole = await engines.stream()
        assert (events_of(body), is_whole) == (ALL, True)

    @pytest.mark.parametrize("seconds", [0.5, 1.5])
    async def test_a_post_of_a_busy_engine_is_answered_once(self, fleet, seconds):
        engines = await engines_of(fleet, "desk", health_seconds=seconds)
        status, _, body = await fleet.call(engines.daemon, f"{POSTS}x", "POST", b"x")
        posts = [one for one in engines.engines[0].seen if one[0] == "POST"]
        assert len(posts) == 1
        assert (status, body) == (200, b"whole")

    async def test_no_connection_stays_behind(self, fleet):
        engines = await engines_of(fleet)
        for _ in range(40):
            await engines.stream()
        await asyncio.sleep(0.3)
        assert engines.engines[0].open == 0
        assert not [one for one in asyncio.all_tasks() if "Pool.connect" in repr(one)]

    async def test_nothing_goes_on_after_the_caller_has_left(self, fleet):
        engines = await engines_of(fleet, event_seconds=0.02)
        engine = engines.engines[0]
        engine.second_seconds = 2.0
        asking = asyncio.create_task(engines.stream())
        await asyncio.sleep(0.6)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await asyncio.sleep(0.3)
        assert engine.seen[-1][0] == "gone"
        assert engine.open == 0


class TestEndsTakenForSound:
    async def test_a_plain_body_of_a_killed_service_is_no_answer(self, fleet):
        engine = EngineProcess("i-p", usual_fault="unframed", body_seconds=0.5)
        fleet.stack.push_async_callback(engine.kill)
        await engine.start()
        client = ServiceClient(SystemClock())
        await client.start()
        fleet.stack.push_async_callback(client.stop)
        request = PlainRequest(method="GET", path="/x", headers={"Request-Id": "a"})
        asking = asyncio.create_task(
            client.send(f"http://{engine.address}", request, 3.0, lambda: None)
        )
        await asyncio.sleep(0.25)
        await engine.kill()
        with pytest.raises(EndpointFailure):
            await asking

    async def test_a_stream_that_may_not_be_resumed_ends_early(self, fleet):
        turns = route(
            "turns",
            TURNS,
            "streaming",
            "models",
            maxAttempts=1,
            retentionS=60.0,
            resumable=False,
            gapAimMs=400,
        )
        fleet.configure_raw(json.dumps(configuration(routes=[turns])).encode())
        engine = await fleet.endpoint("models", events=EVENTS)
        engine.faults.append(Fault.UNFRAMED_ENDED)
        engines = EngineFleet(fleet)
        engines.daemon = await fleet.ready_daemon([engine])
        body, is_whole = await engines.stream()
        assert not is_whole or events_of(body) == ALL


class TestSlowCallers:
    async def test_no_body_counts_as_sent_while_a_part_of_it_waits(self):
        # A caller of HTTP/1.0 takes the end of a killed daemon for the body's.
        seen = []

        async def handle(request):
            connected = request.transport.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            body = CallerBody(request, web.StreamResponse())
            await body.start()
            await body.write(b"x" * 50_000)
            finishing = asyncio.create_task(body.finish())
            await asyncio.wait({finishing}, timeout=0.3)
            option = connected.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
            seen.append((request.transport.get_write_buffer_size(), option[0]))
            await finishing
            return body.response

        application = web.Application()
        application.router.add_get("/", handle)
        async with TestServer(application) as server:
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(caller, (server.host, server.port))
            await loop.sock_sendall(caller, b"GET / HTTP/1.0\r\n\r\n")
            await asyncio.sleep(0.6)
            while await loop.sock_recv(caller, 65_536):
                pass
            caller.close()
        [(waiting, is_reset_on_close)] = seen
        assert waiting == 0 or is_reset_on_close
