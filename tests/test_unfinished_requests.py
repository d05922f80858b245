"""Requests whose bodies have not come when their daemon ends.

A stop waited without limit for a body that never came, until the process was killed,
and the requests with such bodies had no answer.
"""

import asyncio
import time

import pytest

from builds import DRAIN_SECONDS, THIS_BUILD
from hold_ups import running_seconds
from platform_fleet import POSTS, TURNS, PlatformFleet, route, wait_until
from test_upgrades import start_daemons

# What a process takes to end after its last request.
EXIT_SECONDS = 1.0


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


class UnfinishedRequest:
    """A request of which the last byte is not sent."""

    def __init__(self, path, id):
        self.path = path
        self.id = id

    async def send(self, daemon):
        host, _, port = daemon.front_address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST {self.path}x HTTP/1.1\r\nHost: fleet.example\r\n"
            f"Request-Id: {self.id}\r\nDeadline-Ms: 3900\r\nProgram-Id: p\r\n"
            "Session-Id: s\r\nToken-Budget: 9000\r\nToken-Usage: 100,220\r\n"
            "Prompt-Prefix: 5c1e:9\r\nContent-Length: 2\r\n\r\nx"
        )
        self.writer.write(head.encode())
        await self.writer.drain()

    async def answer(self):
        """Return what the daemon sends until it closes the connection."""
        async with asyncio.timeout(DRAIN_SECONDS):
            return await self.reader.read()


class TestPlannedStop:
    @pytest.mark.parametrize("path", [POSTS, TURNS])
    async def test_an_unfinished_request_is_refused_before_the_end(self, fleet, path):
        desk = await fleet.endpoint()
        engine = await fleet.endpoint("models")
        daemon = await fleet.ready_daemon([desk, engine], drain_seconds=DRAIN_SECONDS)
        request = UnfinishedRequest(path, "late")
        await request.send(daemon)
        started_at = time.monotonic()
        stopping = asyncio.create_task(self.stop(daemon))
        answer = await request.answer()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRequest-Id: late\r\n" in answer
        assert b'"ran": "no"' in answer
        async with asyncio.timeout(DRAIN_SECONDS):
            await stopping
        assert running_seconds(started_at) < DRAIN_SECONDS
        assert desk.ids() + engine.ids() == []

    async def test_a_request_has_the_whole_grace(self, fleet):
        """It was sent before the stop, and outlasts what its daemon writes."""
        posts = route("posts", POSTS, "unsafe", "desk", maxAttempts=1, timeoutMs=9_000)
        fleet.configure(version=2, routes=[posts])
        desk = await fleet.endpoint(work_seconds=DRAIN_SECONDS - 0.8)
        daemon = await fleet.ready_daemon([desk], drain_seconds=DRAIN_SECONDS)
        call = asyncio.create_task(
            fleet.call(daemon, f"{POSTS}x", "POST", b"x", Deadline_Ms=9_000)
        )
        await wait_until(lambda: desk.runs)
        await self.stop(daemon)
        status, *_ = await call
        assert status == 200

    async def stop(self, daemon):
        await daemon.application.drain()
        await daemon.application.stop()


class TestProcess:
    async def test_it_ends_while_callers_neither_send_nor_read(self, fleet, tmp_path):
        """One sends no whole body, one reads nothing of a stream without end."""
        await fleet.endpoint()
        await fleet.endpoint("models", events=100_000, event_seconds=0.0)
        daemon, *_ = await start_daemons(fleet, tmp_path, THIS_BUILD)
        unfinished = UnfinishedRequest(POSTS, "late")
        await unfinished.send(daemon)
        unread = UnfinishedRequest(TURNS, "stream")
        await unread.send(daemon)
        unread.writer.write(b"y")
        await asyncio.sleep(0.5)
        started_at = time.monotonic()
        daemon.process.terminate()
        async with asyncio.timeout(2 * DRAIN_SECONDS):
            await daemon.process.wait()
        assert running_seconds(started_at) < DRAIN_SECONDS + EXIT_SECONDS
        assert daemon.process.returncode == 0
        assert (await unfinished.answer()).startswith(b"HTTP/1.1 503 ")
