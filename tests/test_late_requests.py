"""Requests that come late in the grace of a planned stop.

Those of other systems were taken, passed on, and cut at its end with no answer.
"""

import asyncio
import contextlib
from collections import Counter

import pytest

from builds import THIS_BUILD
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.pool import ConnectFailed
from eelgrasslock.running_timeout import RunningTimeout
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet
from test_upgrades import start_daemons

GRACE_SECONDS = 8.0
SEND_SECONDS = 0.22
EVENTS = 10
CLIENT_SECONDS = 5.0
LATE_SECONDS = 2.9


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


class Stop:
    """Clients of a daemon that stops as planned."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.outcomes = []
        self.desk = None
        self.engine = None

    async def start(self, work_seconds):
        await self.start_endpoints(work_seconds)
        self.daemon = await self.fleet.ready_daemon(
            [self.desk, self.engine], drain_seconds=GRACE_SECONDS
        )

    async def start_process(self, work_seconds, folder):
        """Use a daemon as a process of its own, with a peer."""
        await self.start_endpoints(work_seconds)
        daemons = await start_daemons(
            self.fleet, folder, THIS_BUILD, drain_seconds=GRACE_SECONDS
        )
        self.daemon = daemons[0]

    async def start_endpoints(self, work_seconds):
        self.desk = await self.fleet.endpoint(work_seconds=work_seconds)
        self.fleet.register(self.desk, slots=200)
        self.engine = await self.fleet.endpoint(
            "models", events=EVENTS, event_seconds=work_seconds / EVENTS
        )
        self.fleet.register(self.engine, "models", slots=200)

    async def send(self, path, connection=None):
        """Send a request, and keep what became of it."""
        id = f"q{next(self.fleet.ids)}"
        body = b"" if path == LOOKUPS else b"x"
        headers = {"Request_Id": id, "Deadline_Ms": 4_000}
        if path == TURNS:
            headers |= {"Program_Id": id, "Session_Id": "s", "Prompt_Prefix": "5c1e:9"}
            headers |= {"Token_Budget": 9_000, "Token_Usage": "100,220"}
        method = "GET" if path == LOOKUPS else "POST"
        try:
            async with RunningTimeout(CLIENT_SECONDS):
                if connection is None:
                    connection = await self.fleet.connect(self.daemon)
                answer = await self.fleet.send(
                    connection, f"{path}x", method, body, **headers
                )
            status = answer[0]
        except (ConnectionBroken, ConnectFailed, TimeoutError):
            status = 0
        self.outcomes.append((id, status))

    async def send_slowly(self, path, seconds):
        """Send a body whose last byte comes some seconds later."""
        id = f"q{next(self.fleet.ids)}"
        host, _, port = self.daemon.front_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST {path}x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: {id}\r\n"
            "Deadline-Ms: 3900\r\nContent-Length: 2\r\n\r\nx"
        )
        writer.write(head.encode())
        await asyncio.sleep(seconds)
        status = 0
        try:
            writer.write(b"y")
            async with RunningTimeout(CLIENT_SECONDS):
                line = await reader.readline()
            status = int(line.split()[1]) if line else 0
        except (ConnectionError, IndexError, TimeoutError):
            status = 0
        writer.close()
        self.outcomes.append((id, status))

    async def send_until_ended(self, stopping):
        """Send requests of all kinds, on new and kept connections, during a stop."""
        kept = [await self.fleet.connect(self.daemon) for _ in range(3)]
        draining = asyncio.create_task(stopping)
        sent = [
            asyncio.create_task(self.send_slowly(POSTS, seconds))
            for seconds in (1.0, 2.0, 2.9, 3.1, 4.5, 6.0)
        ]
        while not draining.done():
            for path in (LOOKUPS, POSTS, TURNS):
                sent.append(asyncio.create_task(self.send(path)))
                if kept:
                    sent.append(asyncio.create_task(self.send(path, kept.pop())))
            await asyncio.sleep(SEND_SECONDS)
        await draining
        await asyncio.gather(*sent)

    def repeated(self):
        """Return the requests that may not be repeated and ran more than once."""
        counts = Counter([*self.desk.ids(), *self.engine.ids()])
        return [id for id, count in counts.items() if count > 1]

    def cut(self):
        """Return the requests that ran and have no answer."""
        ran = {*self.desk.ids(), *self.engine.ids()}
        return [id for id, status in self.outcomes if not status and id in ran]


class TestPlannedStop:
    @pytest.mark.parametrize("path", [LOOKUPS, POSTS, TURNS])
    async def test_a_long_request_that_comes_late_is_not_cut(self, fleet, path):
        """Nothing else is sent, so that the daemon ends as soon as it may."""
        stop = Stop(fleet)
        await stop.start(3.9)
        draining = asyncio.create_task(self.stop(stop.daemon))
        await asyncio.sleep(LATE_SECONDS)
        await asyncio.gather(*(stop.send(path) for _ in range(3)))
        await draining
        assert len(stop.outcomes) == 3
        assert stop.cut() == []

    @pytest.mark.parametrize("work_seconds", [0.4, 2.5, 3.8])
    async def test_nothing_that_was_passed_on_is_cut(self, fleet, work_seconds):
        stop = Stop(fleet)
        await stop.start(work_seconds)
        await stop.send_until_ended(self.stop(stop.daemon))
        assert len(stop.outcomes) > 40
        assert [status for _, status in stop.outcomes].count(200) > 10
        assert stop.cut() == []

    async def stop(self, daemon):
        await daemon.application.drain()
        await daemon.application.stop()


class TestPlannedStopOfAProcess:
    @pytest.mark.parametrize("work_seconds", [0.4, 2.5, 3.8])
    async def test_nothing_that_was_passed_on_is_cut(
        self, fleet, tmp_path, work_seconds
    ):
        stop = Stop(fleet)
        await stop.start_process(work_seconds, tmp_path)
        await stop.send_until_ended(stop.daemon.terminate())
        assert stop.daemon.process.returncode == 0
        assert [status for _, status in stop.outcomes].count(200) > 10
        assert stop.cut() == []
        assert stop.repeated() == []

    async def test_a_signal_that_is_repeated_cuts_nothing(self, fleet, tmp_path):
        stop = Stop(fleet)
        await stop.start_process(2.5, tmp_path)
        await stop.send_until_ended(self.stop_again_and_again(stop.daemon))
        assert [status for _, status in stop.outcomes].count(200) > 10
        assert stop.cut() == []

    async def stop_again_and_again(self, daemon):
        ending = asyncio.create_task(daemon.terminate())
        while not ending.done():
            await asyncio.sleep(0.5)
            with contextlib.suppress(ProcessLookupError):
                daemon.process.terminate()
        await ending
