"""Configurations, registrations, readiness and shutdown of a daemon."""

import asyncio
import json

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.registry.endpoint_registry import (
    REREGISTRATION_GRACE_SECONDS,
    EndpointRecord,
    EndpointRegistry,
)
from platform_fleet import (
    LOOKUPS,
    POSTS,
    PlatformFleet,
    configuration,
    route,
    wait_until,
)


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


def record(id="i", **more):
    values = {"service": "s", "address": "1.2.3.4:5", "domain": "a", **more}
    return EndpointRecord(id=id, **values)


def end_outage(endpoint_registry, hung_seconds=0.0):
    """Let one read fail after some seconds, and the next one succeed at once."""
    clock = endpoint_registry.clock
    sent_at = clock.monotonic()
    clock.advance(hung_seconds)
    endpoint_registry.set_log_unavailable(True, sent_at)
    endpoint_registry.set_log_unavailable(False, clock.monotonic())


class TestEndpointRegistry:
    def test_a_removed_registration_is_gone_at_once(self):
        endpoint_registry = EndpointRegistry(ManualClock())
        endpoint_registry.put(record())
        assert endpoint_registry.remove("i")
        assert not endpoint_registry.entries

    def test_a_registration_that_expires_in_an_outage_may_return(self):
        clock = ManualClock()
        endpoint_registry = EndpointRegistry(clock)
        endpoint_registry.put(record())
        end_outage(endpoint_registry)
        assert not endpoint_registry.remove("i")
        clock.advance(REREGISTRATION_GRACE_SECONDS / 2)
        endpoint_registry.put(record())
        clock.advance(REREGISTRATION_GRACE_SECONDS)
        assert endpoint_registry.remove_expired() == []
        assert "i" in endpoint_registry.entries

    def test_a_registration_is_gone_after_the_grace_period(self):
        clock = ManualClock()
        endpoint_registry = EndpointRegistry(clock)
        endpoint_registry.put(record())
        end_outage(endpoint_registry)
        endpoint_registry.replace([])
        clock.advance(REREGISTRATION_GRACE_SECONDS + 0.1)
        assert [one.id for one in endpoint_registry.remove_expired()] == ["i"]
        assert not endpoint_registry.entries

    def test_the_grace_period_ends_before_the_log_is_stable(self):
        clock = ManualClock()
        endpoint_registry = EndpointRegistry(clock, stable_window_seconds=3.0)
        endpoint_registry.put(record())
        end_outage(endpoint_registry, hung_seconds=2.1)
        assert not endpoint_registry.remove("i")
        clock.advance(0.8)
        assert [one.id for one in endpoint_registry.remove_expired()] == ["i"]

    def test_a_removal_in_a_stable_log_is_final(self):
        clock = ManualClock()
        endpoint_registry = EndpointRegistry(clock, stable_window_seconds=3.0)
        endpoint_registry.put(record())
        end_outage(endpoint_registry, hung_seconds=2.9)
        assert endpoint_registry.remove("i")

    def test_a_leaving_endpoint_gets_no_grace_period(self):
        endpoint_registry = EndpointRegistry(ManualClock())
        endpoint_registry.put(record(leaving=True))
        end_outage(endpoint_registry)
        assert endpoint_registry.remove("i")


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
    async def test_invalid_registrations_are_ignored(self, fleet, value):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        fleet.store.put("keyed.servers", "other", value)
        fleet.store.append("keyed.servers", 0, [b"", b"\xff"])
        late = await fleet.endpoint()
        endpoint_registry = daemon.application.endpoint_registry
        await wait_until(lambda: late.id in endpoint_registry.entries)
        assert set(endpoint_registry.entries) == {engine.id, late.id}

    async def test_an_endpoint_that_leaves_gets_no_new_request(self, fleet):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        fleet.register(engines[0], state="draining")
        endpoint_registry = daemon.application.endpoint_registry
        await wait_until(lambda: endpoint_registry.entries[engines[0].id].leaving)
        for _ in range(4):
            assert (await fleet.call(daemon, f"{POSTS}x", "POST"))[0] == 200
        assert engines[0].ids() == []

    async def test_compacted_records_are_read_from_a_snapshot(self, fleet):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        daemon.faults.refusing = "busy"
        fleet.unregister(engines[0])
        fleet.store.compact("keyed.servers")
        daemon.faults.refusing = ""
        endpoint_registry = daemon.application.endpoint_registry
        await wait_until(lambda: engines[0].id not in endpoint_registry.entries)
        assert engines[1].id in endpoint_registry.entries

    @pytest.mark.parametrize("prefix", ["+", "%41", "&part=1#"])
    async def test_a_page_may_end_with_any_key(self, fleet, prefix):
        """The next page was the same one, or one far behind."""
        daemon = await fleet.daemon()
        keys = [f"{prefix}{number:04}" for number in range(1_001)]
        for key in keys:
            fleet.store.put("keyed.other", key, b"x")
        async with asyncio.timeout(5.0):
            read = await daemon.application.platform.log.snapshot("keyed.other")
        assert [record.key for record in read.records] == keys

    async def test_requests_are_served_while_the_store_is_unavailable(self, fleet):
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
        await wait_until(lambda: routing.current.version == 9)
        fleet.configure(version=3)
        fleet.configure(version=12)
        await wait_until(lambda: routing.current.version == 12)
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
    async def test_an_invalid_configuration_is_ignored(self, fleet, value):
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
        await wait_until(lambda: daemon.application.routing.current.version == 2)
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

    async def test_a_daemon_without_configuration_refuses_requests(self, fleet):
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
        await wait_until(lambda: daemon.application.routing.current.version == 2)
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
    async def probe(self, fleet, daemon):
        connection = await fleet.pool.acquire(daemon.ready_address)
        try:
            status, _, _ = await fleet.send(connection, "/eelgrasslock/readyz")
        finally:
            connection.close()
        return status

    async def test_a_daemon_is_ready_once_it_can_serve(self, fleet):
        daemon = await fleet.daemon()
        assert await self.probe(fleet, daemon) == 503
        engine = await fleet.endpoint()
        await wait_until(
            lambda: engine.id in daemon.application.endpoint_registry.entries
        )
        assert await self.probe(fleet, daemon) == 200

    async def test_a_draining_daemon_is_not_ready(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        daemon.application.draining = True
        assert await self.probe(fleet, daemon) == 503


class TestDrain:
    async def drain(self, daemon, monkeypatch, serving=0.2):
        module = "eelgrasslock.gateway.drainer"
        monkeypatch.setattr(f"{module}.READINESS_PROPAGATION_SECONDS", serving)
        return asyncio.create_task(daemon.application.drain())

    async def test_requests_in_flight_are_finished(self, fleet, monkeypatch):
        engine = await fleet.endpoint(work_seconds=0.6)
        daemon = await fleet.ready_daemon([engine])
        call = asyncio.create_task(fleet.call(daemon, f"{POSTS}x", "POST"))
        await wait_until(engine.ids)
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
        await wait_until(lambda: not kept.reusable, 1.0)
        await drained

    async def test_late_requests_get_a_response(self, fleet, monkeypatch):
        engine = await fleet.endpoint(work_seconds=0.8)
        daemon = await fleet.ready_daemon([engine])
        first = asyncio.create_task(fleet.call(daemon, f"{POSTS}x", "POST"))
        await wait_until(engine.ids)
        drained = await self.drain(daemon, monkeypatch, serving=0.1)
        await wait_until(lambda: daemon.application.handler.stopping)
        status, head, _ = await fleet.call(daemon, f"{POSTS}late", "POST")
        assert status == 503
        assert float(head.header("retry-after")) > 0
        assert (await first)[0] == 200
        await drained
        assert len(engine.ids()) == 1
