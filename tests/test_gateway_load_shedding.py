"""Refusal of new programs while engines report overload."""

import pytest

from eelgrasslock.scheduling.load_shedding import MIN_OBSERVATIONS
from eelgrasslock.scheduling.workspace_demand import WorkspaceDemand
from platform_fleet import (
    MAX_TURN_TOKENS,
    TURNS,
    PlatformFleet,
    configuration,
    route,
    wait_until,
)

SLOTS = 4


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


async def overloaded_daemon(fleet, engine, name, **more):
    """Return a daemon that served a program and received reports of overload."""
    daemon = await fleet.ready_daemon([engine], name=name, **more)
    assert (await fleet.turn(daemon, "old"))[0] == 200
    for _ in range(MIN_OBSERVATIONS):
        daemon.application.load_shedder.record_load("models", SLOTS, 3 * SLOTS, SLOTS)
    return daemon


class TestOverloadedEngines:
    async def test_load_in_response_headers_is_recorded(self, fleet):
        engine = await fleet.endpoint("models", events=3, load=f"{SLOTS},2,{SLOTS}")
        daemon = await fleet.ready_daemon([engine])
        assert (await fleet.turn(daemon, "p"))[0] == 200
        observations = daemon.application.load_shedder.service_loads[
            "models"
        ].observations
        assert [one.ratio for one in observations] == [1.5]

    async def test_a_new_program_is_refused_at_once_and_has_not_run(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await overloaded_daemon(fleet, engine, "a-1")
        before = len(engine.runs)
        status, head, _ = await fleet.call(
            daemon,
            f"{TURNS}x",
            "POST",
            b"prompt",
            Program_Id="new",
            Token_Budget=10 * MAX_TURN_TOKENS,
            Token_Usage=f"100,{MAX_TURN_TOKENS}",
        )
        assert status == 429
        assert "retry-after" in {name.lower() for name, _ in head.headers}
        assert len(engine.runs) == before

    async def test_a_started_program_is_served(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await overloaded_daemon(fleet, engine, "a-1")
        assert (await fleet.turn(daemon, "old"))[0] == 200

    async def test_a_program_that_another_daemon_served_is_served(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        other = await fleet.ready_daemon([engine], name="a-2")
        assert (await fleet.turn(other, "elsewhere"))[0] == 200
        daemon = await overloaded_daemon(fleet, engine, "a-1")
        assert (await fleet.turn(daemon, "elsewhere"))[0] == 200

    async def test_a_refused_program_keeps_its_whole_budget(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await overloaded_daemon(fleet, engine, "a-1")
        assert (await fleet.turn(daemon, "new", budget=MAX_TURN_TOKENS))[0] == 429
        allowances = daemon.application.allowances
        await wait_until(lambda: allowances.ledger.total_drawn("new") == 0)
        other = await fleet.ready_daemon([engine], name="a-2")
        assert (await fleet.turn(other, "new", budget=MAX_TURN_TOKENS))[0] == 200

    async def test_without_the_log_no_program_counts_as_new(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        first = {"is_first_start": True}
        daemon = await overloaded_daemon(fleet, engine, "a-1", **first)
        other = await fleet.ready_daemon([engine], name="a-2", **first)
        await wait_until(lambda: daemon.application.load_exchange.live_peers)
        await wait_until(lambda: other.application.draw_keepers.transfer.is_informed)
        for one in fleet.daemons:
            one.faults.refusing = "busy"
        assert (await fleet.turn(daemon, "new"))[0] == 200

    async def test_only_the_highest_priority_route_has_top_priority(self, fleet):
        turns = {"retainsContext": False, "retentionS": 60.0, "maxAttempts": 1}
        routes = [
            route("now", "/now/", "streaming", "models", **turns, priority=0),
            route("later", "/later/", "streaming", "models", **turns, priority=1),
        ]
        document = configuration(routes=routes)
        daemon = await fleet.daemon()
        fleet.configure(routes=document["routes"], version=2)
        await wait_until(lambda: daemon.application.routing.current is not None)
        await wait_until(lambda: daemon.application.routing.current.version == 2)
        table = daemon.application.routing.table
        top_priority = {
            one.name: table.has_top_priority(one, "models")
            for one in daemon.application.routing.current.routes
        }
        assert top_priority == {"now": True, "later": False}


class TestWorkspaces:
    NAMES = ("hot", "small", "quiet", "calm")

    def demand(self, now):
        """Return the demand of workspaces of which one asks for ten times its usual."""
        demand = WorkspaceDemand()
        for tenth in range(200):
            time = now - 20 + tenth / 10
            demand.excesses(time)
            for name in self.NAMES:
                times = 10 if name == "hot" and tenth > 180 else 1
                for _ in range(times):
                    demand.record(name, time, is_new=tenth % 5 == 0)
        return demand

    async def test_new_programs_of_a_hot_workspace_are_refused_first(self, fleet):
        tenants = [{"name": name, "apiKeys": [f"key-{name}"]} for name in self.NAMES]
        fleet.configure(tenants=tenants)
        engine = await fleet.endpoint("models", events=3)
        daemon = await fleet.ready_daemon([engine])
        shedder = daemon.application.load_shedder
        shedder.demands["models"] = self.demand(shedder.clock.monotonic())

        async def new_programs(name):
            found = []
            for number in range(25):
                for _ in range(MIN_OBSERVATIONS):
                    shedder.record_load("models", 100, 60, 100)
                key = f"Token key-{name}"
                turn = await fleet.turn(daemon, f"{name}{number}", Authorization=key)
                found.append(turn)
            return found

        hot, small = await new_programs("hot"), await new_programs("small")
        assert [status for status, _ in small] == [200] * 25
        refused = [body for status, body in hot if status == 429]
        assert len(refused) >= 3
        assert shedder.workspaces_beyond_share() == 1
