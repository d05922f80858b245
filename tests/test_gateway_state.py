"""Configurations, registrations and the life of a daemon."""

import asyncio
import json

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.gateway.directory import (
    LAPSE_GRACE_SECONDS,
    EndpointDirectory,
    EndpointRecord,
)
from platform_fleet import LOOKUPS, POSTS, PlatformFleet, configuration, route, until


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


def record(id="i", **more):
    values = {"service": "s", "address": "1.2.3.4:5", "domain": "a", **more}
    return EndpointRecord(id=id, **values)


class TestDirectory:
    def test_an_entry_that_goes_is_gone_at_once(self):
        directory = EndpointDirectory(ManualClock())
        directory.put(record())
        assert directory.remove("i")
        assert not directory.entries

    def test_an_entry_that_lapses_in_an_outage_may_come_back(self):
        clock = ManualClock()
        directory = EndpointDirectory(clock)
        directory.put(record())
        directory.set_log_unavailable(unavailable=True)
        directory.set_log_unavailable(unavailable=False)
        assert not directory.remove("i")
        clock.advance(LAPSE_GRACE_SECONDS / 2)
        directory.put(record())
        clock.advance(LAPSE_GRACE_SECONDS)
        assert directory.sweep() == []
        assert "i" in directory.entries

    def test_an_entry_that_does_not_come_back_is_gone(self):
        clock = ManualClock()
        directory = EndpointDirectory(clock)
        directory.put(record())
        directory.set_log_unavailable(unavailable=True)
        directory.set_log_unavailable(unavailable=False)
        directory.replace([])
        clock.advance(LAPSE_GRACE_SECONDS + 0.1)
        assert directory.sweep() == ["i"]
        assert not directory.entries

    def test_one_that_had_said_it_leaves_gets_no_grace(self):
        directory = EndpointDirectory(ManualClock())
        directory.put(record(leaving=True))
        directory.set_log_unavailable(unavailable=True)
        directory.set_log_unavailable(unavailable=False)
        assert directory.remove("i")


class TestRegistrations:
    @pytest.mark.parametrize(
        "value",
        [
            b"\xff\x00",
            b"[]",
            b"null",
            b"{}",
            b'{"service": 7, "address": "127.0.0.1:1", "zone": "a"}',
            b'{"service": "desk", "address": "nowhere", "zone": "a", "slots": 1,'
            b' "state": "ready"}',
            b'{"service": "desk", "address": "127.0.0.1:1", "zone": "a", "slots": 1,'
            b' "state": "dancing"}',
        ],
    )
    async def test_unreadable_entries_name_no_endpoint(self, fleet, value):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        fleet.store.put("keyed.servers", "other", value)
        fleet.store.append("keyed.servers", 0, [b"", b"\xff"])
        late = await fleet.endpoint()
        directory = daemon.application.directory
        await until(lambda: late.id in directory.entries)
        assert set(directory.entries) == {engine.id, late.id}

    async def test_an_endpoint_that_leaves_gets_no_new_request(self, fleet):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        fleet.register(engines[0], state="draining")
        directory = daemon.application.directory
        await until(lambda: directory.entries[engines[0].id].leaving)
        for _ in range(4):
            assert (await fleet.call(daemon, f"{POSTS}x", "POST"))[0] == 200
        assert engines[0].ids() == []

    async def test_dropped_history_is_read_anew(self, fleet):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        daemon.faults.refusing = "busy"
        fleet.unregister(engines[0])
        fleet.store.compact("keyed.servers")
        daemon.faults.refusing = ""
        directory = daemon.application.directory
        await until(lambda: engines[0].id not in directory.entries)
        assert engines[1].id in directory.entries

    async def test_requests_are_served_while_the_store_is_away(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        for refusing in ("busy", "many", "reset", "silent"):
            daemon.faults.refusing = refusing
            await asyncio.sleep(0.1)
            assert (await fleet.call(daemon, f"{LOOKUPS}x"))[0] == 200


class TestConfigurations:
    async def test_versions_never_go_back(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        routing = daemon.application.routing
        fleet.configure(version=9, routes=[])
        await until(lambda: routing.current.version == 9)
        fleet.configure(version=3)
        fleet.configure(version=12)
        await until(lambda: routing.current.version == 12)
        assert (await fleet.call(daemon, f"{LOOKUPS}x"))[0] == 200

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff",
            b"[]",
            b"{}",
            json.dumps({**configuration(7), "routes": [{"name": "r"}]}).encode(),
            json.dumps({**configuration(7), "version": "7"}).encode(),
        ],
    )
    async def test_an_unreadable_one_leaves_the_former_in_force(self, fleet, value):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        fleet.configure_raw(value)
        fleet.store.put("keyed.op", "another", b"record")
        await asyncio.sleep(0.2)
        assert daemon.application.routing.current.version == 1
        assert (await fleet.call(daemon, f"{LOOKUPS}x"))[0] == 200

    async def test_the_longest_prefix_wins(self, fleet):
        desk = await fleet.endpoint()
        other = await fleet.endpoint("models")
        daemon = await fleet.ready_daemon([desk, other])
        routes = [
            route("all", "/", "safe", "desk"),
            route("some", "/a/b/", "safe", "models"),
        ]
        fleet.configure(version=2, routes=routes)
        await until(lambda: daemon.application.routing.current.version == 2)
        for path in ("/a/b/c", "/a/b/", "/a/b/c/d?/e"):
            await fleet.call(daemon, path)
        for path in ("/a/b", "/a/bc/", "/", "/x?/a/b/"):
            await fleet.call(daemon, path)
        assert (len(other.ids()), len(desk.ids())) == (3, 4)

    async def test_an_unknown_route_is_answered_404(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        assert (await fleet.call(daemon, "/nowhere/x"))[0] == 404
        assert (await fleet.call(daemon, f"{LOOKUPS}x", Host="other"))[0] == 404

    async def test_a_daemon_without_configuration_says_so(self, fleet):
        fleet.store.newest.clear()
        daemon = await fleet.daemon()
        status, head, _ = await fleet.call(daemon, f"{LOOKUPS}x")
        assert status == 503
        assert float(head.header("retry-after")) > 0

    async def test_the_routes_timeout_is_kept(self, fleet):
        engine = await fleet.endpoint(work_seconds=5.0)
        daemon = await fleet.ready_daemon([engine])
        routes = [route("slow", POSTS, "unsafe", "desk", timeoutMs=200)]
        fleet.configure(version=2, routes=routes)
        await until(lambda: daemon.application.routing.current.version == 2)
        async with asyncio.timeout(1.0):
            status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert status == 504

    async def test_a_body_over_the_limit_is_refused(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST", b"z" * 100_001)
        assert status == 413
        assert engine.runs == []


class TestReadiness:
    async def ask(self, fleet, daemon):
        connection = await fleet.pool.acquire(daemon.ready)
        try:
            status, _, _ = await fleet.send(connection, "/eelgrasslock/readyz")
        finally:
            connection.close()
        return status

    async def test_a_daemon_is_ready_once_it_can_serve(self, fleet):
        daemon = await fleet.daemon()
        assert await self.ask(fleet, daemon) == 503
        engine = await fleet.endpoint()
        await until(lambda: engine.id in daemon.application.directory.entries)
        assert await self.ask(fleet, daemon) == 200

    async def test_a_draining_daemon_is_not_ready(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        daemon.application.draining = True
        assert await self.ask(fleet, daemon) == 503


class TestDrain:
    async def drain(self, daemon, monkeypatch, serving=0.2):
        module = "eelgrasslock.gateway.drainer"
        monkeypatch.setattr(f"{module}.SERVING_SECONDS", serving)
        return asyncio.create_task(daemon.application.drain())

    async def test_requests_in_flight_are_finished(self, fleet, monkeypatch):
        engine = await fleet.endpoint(work_seconds=0.6)
        daemon = await fleet.ready_daemon([engine])
        call = asyncio.create_task(fleet.call(daemon, f"{POSTS}x", "POST"))
        await until(engine.ids)
        await (await self.drain(daemon, monkeypatch))
        assert (await call)[0] == 200

    async def test_new_requests_are_served_for_a_while(self, fleet, monkeypatch):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        drained = await self.drain(daemon, monkeypatch, serving=0.5)
        await asyncio.sleep(0.05)
        status, head, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert status == 200
        assert head.header("connection").lower() == "close"
        await drained

    async def test_idle_connections_are_closed_not_left_unread(
        self, fleet, monkeypatch
    ):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        kept = await fleet.connect(daemon)
        assert (await fleet.send(kept, f"{LOOKUPS}x"))[0] == 200
        drained = await self.drain(daemon, monkeypatch, serving=0.1)
        await until(lambda: not kept.reusable, 1.0)
        await drained

    async def test_requests_that_still_come_get_an_answer(self, fleet, monkeypatch):
        engine = await fleet.endpoint(work_seconds=0.8)
        daemon = await fleet.ready_daemon([engine])
        first = asyncio.create_task(fleet.call(daemon, f"{POSTS}x", "POST"))
        await until(engine.ids)
        drained = await self.drain(daemon, monkeypatch, serving=0.1)
        await until(lambda: daemon.application.handler.closed)
        status, head, _ = await fleet.call(daemon, f"{POSTS}late", "POST")
        assert status == 503
        assert float(head.header("retry-after")) > 0
        assert (await first)[0] == 200
        await drained
        assert len(engine.ids()) == 1
