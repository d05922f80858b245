"""Several daemons: budgets, peers, and what they know of each other."""

import asyncio
import json

import pytest

from eelgrasslock.allowances.ledger import DrawOrder
from eelgrasslock.gateway.application import CONFIGURATION_WAIT_SECONDS
from eelgrasslock.gateway.deployment import build_configuration
from eelgrasslock.gateway.directory import (
    EndpointRecord,
)
from eelgrasslock.platform.records import PlatformRecords
from eelgrasslock_standins.platform_engine import Fault
from platform_fleet import POSTS, PlatformFleet, configuration, until


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


def order(budget, worst):
    return DrawOrder(program="p", budget=budget, needed=worst, worst=worst)


def record(id="i", **more):
    values = {"service": "s", "address": "1.2.3.4:5", "domain": "a", **more}
    return EndpointRecord(id=id, **values)


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
        daemon_registries = [one.application.daemon_registry for one in daemons]
        await until(lambda: all(len(one.entries) == 1 for one in daemon_registries))
        return daemons

    @pytest.mark.parametrize("refusing", ["busy", "many", "reset"])
    async def test_a_peer_appends_for_a_daemon_that_is_turned_away(
        self, fleet, refusing
    ):
        one, two = await self.pair(fleet)
        one.faults.refusing = refusing
        for program in ("p", "q"):
            assert (await fleet.turn(one, program))[0] == 200
        assert one.application.log.relayed_calls >= 2
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
        await ledger.draw(order(10 * 220, 220))
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
        await ledger.draw(order(budget, 440))
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
        monkeypatch.setattr(
            "eelgrasslock.peers.load_exchange.SILENCE_TIMEOUT_SECONDS", 0.3
        )
        one, two = await self.pair(fleet)
        loads = one.application.loads
        await until(lambda: loads.live_peers)
        await two.application.stop()
        await until(lambda: not loads.live_peers)
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
        await until(lambda: len(loads.last_contact) == 2)
        await three.application.stop()
        await asyncio.sleep(CONFIGURATION_WAIT_SECONDS + 1.0)
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
        daemon_registries = [one.application.daemon_registry for one in daemons]
        await until(lambda: all(len(one.entries) == 2 for one in daemon_registries))
        await until(lambda: len(daemons[0].application.loads.last_contact) == 2)
        for daemon in daemons:
            daemon.faults.refusing = "silent"
        async with asyncio.timeout(1.9):
            assert (await fleet.turn(daemons[0], "p"))[0] == 200
        async with asyncio.timeout(0.9):
            assert (await fleet.turn(daemons[0], "q"))[0] == 200
