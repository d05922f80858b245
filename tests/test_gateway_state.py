"""Configurations, registrations and the life of a daemon."""

import asyncio
import json

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.gateway.deployment import build_configuration
from eelgrasslock.gateway.directory import (
    LAPSE_GRACE_SECONDS,
    EndpointDirectory,
    EndpointRecord,
)
from eelgrasslock.platform.records import PlatformRecords
from eelgrasslock_standins.platform_engine import Fault
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
        directory.note_log(away=True)
        directory.note_log(away=False)
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
        directory.note_log(away=True)
        directory.note_log(away=False)
        directory.replace([])
        clock.advance(LAPSE_GRACE_SECONDS + 0.1)
        assert directory.sweep() == ["i"]
        assert not directory.entries

    def test_one_that_had_said_it_leaves_gets_no_grace(self):
        directory = EndpointDirectory(ManualClock())
        directory.put(record(leaving=True))
        directory.note_log(away=True)
        directory.note_log(away=False)
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


class TestBudgetOverDaemons:
    async def test_a_program_that_meets_several_daemons_keeps_its_budget(self, fleet):
        engine = await fleet.endpoint("models", events=10)
        daemons = [await fleet.ready_daemon([engine], name=f"a-{n}") for n in range(3)]
        tokens = 0
        statuses = []
        for turn in range(15):
            daemon = daemons[turn % 3]
            status, body = await fleet.turn(daemon, "p", budget=1_500)
            statuses.append(status)
            tokens += body.count(b"\n\n") * 22
        assert tokens <= 1_500
        assert 402 in statuses

    async def test_a_broken_stream_counts_what_was_handed_on(self, fleet):
        engine = await fleet.endpoint("models", events=10)
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.TRUNCATED)
        with pytest.raises(Exception, match="ended early"):
            await fleet.turn(daemon, "p")
        account = daemon.application.allowances.accounts["p"]
        assert account.reserved == 0
        assert account.spent == 5 * 22

    async def test_the_store_is_asked_once_for_a_short_program(self, fleet):
        engine = await fleet.endpoint("models", events=5)
        daemon = await fleet.ready_daemon([engine])
        await until(lambda: "keyed.daemons" in fleet.store.newest)
        before = fleet.store.calls["log-append"]
        for _ in range(3):
            assert (await fleet.turn(daemon, "p", budget=1_500))[0] == 200
        assert fleet.store.calls["log-append"] == before + 1


class TestPeers:
    async def pair(self, fleet):
        engine = await fleet.endpoint("models", events=10)
        daemons = [await fleet.ready_daemon([engine], name=f"a-{n}") for n in range(2)]
        rosters = [one.application.roster for one in daemons]
        await until(lambda: all(len(one.entries) == 1 for one in rosters))
        return daemons

    @pytest.mark.parametrize("refusing", ["busy", "many", "reset"])
    async def test_a_peer_appends_for_a_daemon_that_is_turned_away(
        self, fleet, refusing
    ):
        one, two = await self.pair(fleet)
        one.faults.refusing = refusing
        for program in ("p", "q"):
            assert (await fleet.turn(one, program))[0] == 200
        assert one.application.log.relayed >= 2
        one.faults.refusing = ""
        totals = [daemon.application.allowances.ledger for daemon in (one, two)]
        assert (await fleet.turn(two, "p"))[0] == 200
        folds = [ledger.partition("p").fold.budget("p").total for ledger in totals]
        assert folds[1] > folds[0] > 0

    async def test_a_silent_log_is_passed_over_after_one_call(self, fleet, monkeypatch):
        monkeypatch.setattr("eelgrasslock.platform.store.ANSWER_SECONDS", 0.2)
        one, _ = await self.pair(fleet)
        one.faults.refusing = "silent"
        assert (await fleet.turn(one, "p"))[0] == 200
        async with asyncio.timeout(0.2):
            assert (await fleet.turn(one, "q"))[0] == 200

    async def test_daemons_in_reach_decide_while_the_log_is_away(self, fleet):
        one, two = await self.pair(fleet)
        one.faults.refusing = two.faults.refusing = "busy"
        assert (await fleet.turn(one, "p"))[0] == 200
        account = one.application.allowances.accounts["p"]
        assert account.offline > 0
        one.faults.refusing = two.faults.refusing = ""
        await until(lambda: not account.offline)
        ledger = two.application.allowances.ledger
        await ledger.draw("p", 10 * 220, 220, 220)
        assert ledger.drawn("p") > 220

    async def test_a_daemon_without_log_and_peers_refuses_new_programs(self, fleet):
        one, two = await self.pair(fleet)
        one.faults.refusing = "busy"
        await two.application.mesh.stop()
        status, _ = await fleet.turn(one, "p")
        assert status == 503

    async def test_what_another_daemon_holds_unspent_is_taken_back(self, fleet):
        one, two = await self.pair(fleet)
        budget = 3 * 220
        assert (await fleet.turn(one, "p", budget=budget, worst=220))[0] == 200
        first = one.application.allowances.accounts["p"]
        first.spent = 0
        first.drawn = budget
        ledger = one.application.allowances.ledger
        await ledger.draw("p", budget, 440, 440)
        assert (await fleet.turn(two, "p", budget=budget, worst=220))[0] == 200
        assert first.drawn == 0
        fold = two.application.allowances.ledger.partition("p").fold.budget("p")
        assert fold.total <= budget

    async def test_daemons_tell_each_other_of_their_load(self, fleet):
        engine = await fleet.endpoint(work_seconds=1.0)
        daemons = [await fleet.ready_daemon([engine], name=f"a-{n}") for n in range(2)]
        call = asyncio.create_task(fleet.call(daemons[0], f"{POSTS}x", "POST"))
        states = daemons[1].application.scheduler.fleet.states
        await until(lambda: states[engine.id].others == 1)
        await call
        await until(lambda: states[engine.id].others == 0)

    async def test_a_peer_that_fell_silent_counts_no_more(self, fleet, monkeypatch):
        monkeypatch.setattr("eelgrasslock.peers.load_exchange.GONE_SECONDS", 0.3)
        one, two = await self.pair(fleet)
        loads = one.application.loads
        await until(lambda: loads.heard)
        await two.application.stop()
        await until(lambda: not loads.heard)
        assert one.application.scheduler.slots.daemons == 1

    async def test_a_daemon_that_was_gone_before_an_outage_does_not_count(
        self, fleet, monkeypatch
    ):
        """Of ten machines one was replaced at another address before the outage."""
        monkeypatch.setattr("eelgrasslock.gateway.peering.SILENT_SECONDS", 0.1)
        engine = await fleet.endpoint("models", events=5)
        names = ("a-1", "a-2", "a-3")
        daemons = [await fleet.ready_daemon([engine], name=name) for name in names]
        one, two, three = daemons
        loads = one.application.loads
        await until(lambda: len(loads.last_heard) == 2)
        await three.application.stop()
        await asyncio.sleep(1.0)
        one.faults.refusing = two.faults.refusing = "busy"
        status, _ = await fleet.turn(one, "p", budget=220)
        assert status == 200


class TestManyDaemons:
    """82 daemons before 22 engines: each hears of the others seconds late."""

    def test_more_is_left_to_the_endpoints_own_queues(self):
        routing = PlatformRecords().decode_configuration(
            "config", json.dumps(configuration()).encode()
        )
        entries = [record(id="i", service="models", slots=8)]
        few = build_configuration(routing, entries, ["a"], daemons=10)
        many = build_configuration(routing, entries, ["a"], daemons=82)
        assert few.endpoints["i"].batch_limit == 12
        assert many.endpoints["i"].batch_limit >= 82


class TestManyPrograms:
    """63 programs a second of 14,000 tokens each, whose ends nobody tells."""

    async def test_new_programs_do_not_wait_for_old_ones_memory(self, fleet):
        engine = await fleet.endpoint("models", events=1)
        daemon = await fleet.ready_daemon([engine])
        async with asyncio.timeout(5.0):
            for number in range(30):
                status, _ = await fleet.turn(
                    daemon,
                    f"p{number}",
                    Token_Usage="14000,220",
                    Prompt_Prefix=f"{number:x}:14000",
                )
                assert status == 200


class TestSilentLog:
    async def test_turns_do_not_wait_for_a_silent_log_again_and_again(self, fleet):
        """A turn stood still for 1.9 s of its 2 s when its domain was cut off."""
        engine = await fleet.endpoint("models", events=5)
        daemons = [await fleet.ready_daemon([engine], name=f"a-{n}") for n in range(3)]
        rosters = [one.application.roster for one in daemons]
        await until(lambda: all(len(one.entries) == 2 for one in rosters))
        await until(lambda: len(daemons[0].application.loads.last_heard) == 2)
        for daemon in daemons:
            daemon.faults.refusing = "silent"
        async with asyncio.timeout(1.9):
            assert (await fleet.turn(daemons[0], "p"))[0] == 200
        async with asyncio.timeout(0.9):
            assert (await fleet.turn(daemons[0], "q"))[0] == 200
