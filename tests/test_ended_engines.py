"""Engines as processes that end, in order for the kernel, before their response does.

The callers of streams without a length or chunks took what they had for the whole.
"""

import asyncio
import json
import time

import pytest

from conversation_fleet import ConversationFleet
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.running_timeout import RunningTimeout
from eelgrasslock_standins.platform_engine import Fault
from engine_process import EngineProcess
from link_faults import Cut, LinkFaults
from platform_fleet import (
    LOOKUPS,
    POSTS,
    TURNS,
    PlatformFleet,
    configuration,
    wait_until,
)

EVENTS = 8
EVENT_SECONDS = 0.02
SLOW_EVENT_SECONDS = 0.25  # so that news come before the end
WAIT_SECONDS = 5.0
STREAMS = 3
FRAMINGS = ["none", "unframed"]
ONCE_ONLY = configuration()
ONCE_ONLY["routes"][0]["resumable"] = False


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


def events_of(body):
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


class EngineFleet:
    """A daemon, or some, before engines that are processes."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.engines = []

    async def start(self, usual_fault, service="models", count=1, **shape):
        for _ in range(count):
            id = f"i-{next(self.fleet.ids)}"
            engine = EngineProcess(id, usual_fault=usual_fault, **shape)
            self.fleet.stack.push_async_callback(engine.kill)
            await engine.start()
            self.fleet.register(engine, service)
            self.engines.append(engine)
        self.daemon = await self.fleet.ready_daemon(self.engines)
        return self

    async def stream(self, until=EVENTS + 1, then=None, **headers):
        """Read a stream; do something once some events are there.

        Return what came and whether it came to a proper end.
        """
        fields = {"Program_Id": "p", "Session_Id": "s", "Prompt_Prefix": "5c1e:90"}
        fields |= {"Token_Budget": 90_000, "Token_Usage": "100,220", **headers}
        request = self.fleet.request(f"{TURNS}x", "POST", b"prompt", **fields)
        connection = await self.fleet.connect(self.daemon)
        body = b""
        try:
            async with RunningTimeout(WAIT_SECONDS):
                head = await connection.send(request)
                assert head.status == 200
                while (chunk := await connection.read()) is not None:
                    body += chunk
                    if then is not None and len(events_of(body)) >= until:
                        await then()
                        then = None
        except ConnectionBroken:
            return body, False
        finally:
            connection.close()
        return body, True


@pytest.mark.parametrize("framing", FRAMINGS)
class TestStreams:
    async def test_a_stream_of_an_engine_that_goes_on_is_whole(self, fleet, framing):
        engines = await EngineFleet(fleet).start(framing, events=EVENTS)
        for _ in range(STREAMS):
            body, is_whole = await engines.stream()
            assert (events_of(body), is_whole) == ([*range(1, EVENTS + 1)], True)

    @pytest.mark.parametrize("comes_back", [False, True])
    @pytest.mark.parametrize("until", [1, EVENTS - 1])
    async def test_a_stream_of_an_engine_killed_between_events_is_not_whole(
        self, fleet, framing, until, comes_back
    ):
        # The kernel ends the connections of a killed process in order.
        engines = await EngineFleet(fleet).start(
            framing, events=EVENTS, event_seconds=EVENT_SECONDS
        )
        engine = engines.engines[0]

        async def kill():
            await engine.kill()
            if comes_back:
                await engine.start()

        body, is_whole = await engines.stream(until, kill)
        assert len(events_of(body)) < EVENTS
        assert not is_whole


class TestStreamsThatMayNotBeResumed:
    async def test_only_that_of_a_killed_engine_is_broken_off(self, fleet):
        # Such a stream is not continued, so that the liveness check decides alone.
        fleet.configure_raw(json.dumps(ONCE_ONLY).encode())
        engines = await EngineFleet(fleet).start(
            "unframed", events=EVENTS, event_seconds=EVENT_SECONDS
        )
        body, is_whole = await engines.stream()
        assert (len(events_of(body)), is_whole) == (EVENTS, True)
        body, is_whole = await engines.stream(3, engines.engines[0].kill)
        assert not is_whole


class TestStreamsThatEndEarly:
    async def test_a_stream_that_its_live_engine_ends_early_goes_on(self, fleet):
        engine = await fleet.endpoint("models", events=EVENTS)
        engine.faults.append(Fault.UNFRAMED_ENDED)
        engines = EngineFleet(fleet)
        engines.daemon = await fleet.ready_daemon([engine])
        body, is_whole = await engines.stream()
        assert (events_of(body), is_whole) == ([*range(1, EVENTS + 1)], True)

    async def test_an_engine_that_drains_is_not_asked_for_more(self, fleet):
        """Guards against requests to an engine after its drain (review case 8)."""
        engine = await fleet.endpoint(
            "models",
            events=EVENTS,
            event_seconds=SLOW_EVENT_SECONDS,
            usual_fault=Fault.UNFRAMED,
        )
        engines = EngineFleet(fleet)
        engines.daemon = await fleet.ready_daemon([engine])
        registry = engines.daemon.application.endpoint_registry

        async def drain():
            fleet.register(engine, "models", state="draining")
            await wait_until(lambda: registry.find_usable(engine.id) is None)

        body, is_whole = await engines.stream(until=2, then=drain)
        assert (events_of(body), is_whole) == ([*range(1, EVENTS + 1)], False)
        turns = [run for run in engine.runs if run.method == "POST"]
        assert [run.headers.get("last-event-id") for run in turns] == [None]


class TestPassedOn:
    async def test_a_peer_passes_no_part_on_as_a_whole(self, fleet):
        engines = await EngineFleet(fleet).start(
            "unframed", events=EVENTS, event_seconds=EVENT_SECONDS
        )
        stranded = await fleet.ready_daemon(engines.engines, name="b-1", domain="b")
        live = stranded.application.load_exchange.live_peers
        await wait_until(lambda: live)
        links = LinkFaults(stranded, engines.engines)
        links.begin(Cut.REFUSE)
        stranded.application.links.lost_at = time.monotonic()
        engines.daemon = stranded
        body, is_whole = await engines.stream(3, engines.engines[0].kill)
        assert 3 <= len(events_of(body)) < EVENTS
        assert not is_whole


class TestStoredTurns:
    async def test_a_turn_that_broke_off_between_events_is_none(self, fleet):
        talks = ConversationFleet(fleet)
        fleet.configure_raw(talks.encoded())
        engine = EngineProcess(
            "i-talks",
            usual_fault="unframed",
            events=EVENTS,
            event_seconds=EVENT_SECONDS,
        )
        fleet.stack.push_async_callback(engine.kill)
        await engine.start()
        fleet.register(engine, "models")
        talks.engines.append(engine)
        daemon = await talks.add_daemon()
        await talks.meet()
        whole = await talks.say(daemon, b"a")
        assert whole.is_whole
        saying = asyncio.create_task(talks.say(daemon, b"b", whole))
        await asyncio.sleep(EVENTS * EVENT_SECONDS / 2)
        await engine.kill()
        broken = await saying
        assert not broken.is_whole
        await engine.start()
        after = await talks.say(daemon, b"c", broken)
        assert after.status in (404, 503)


class TestPlainResponses:
    @pytest.mark.parametrize("path", [POSTS, LOOKUPS])
    async def test_a_body_of_an_engine_that_goes_on_is_whole(self, fleet, path):
        engines = await EngineFleet(fleet).start("unframed", service="desk")
        method = "POST" if path == POSTS else "GET"
        status, _, body = await fleet.call(engines.daemon, f"{path}x", method)
        assert status == 200
        assert body.startswith(b"answer to r")

    async def test_a_body_of_an_engine_killed_within_it_is_no_answer(self, fleet):
        engines = await EngineFleet(fleet).start(
            "unframed", service="desk", body_seconds=0.5
        )
        engine = engines.engines[0]
        killing = asyncio.create_task(self.kill_soon(engine))
        status, _, _ = await fleet.call(engines.daemon, f"{POSTS}x", "POST", b"x")
        await killing
        assert status == 502

    async def kill_soon(self, engine):
        await asyncio.sleep(0.25)
        await engine.kill()
