"""New programs at a daemon whose engines say that they are crowded."""

import pytest

from eelgrasslock.scheduling.crowding import LEAST_WORDS
from platform_fleet import TURNS, WORST, PlatformFleet, configuration, route, until

SLOTS = 4


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


async def crowded_daemon(fleet, engine, name):
    """Return a daemon that served a program and heard of crowded engines."""
    daemon = await fleet.ready_daemon([engine], name=name)
    assert (await fleet.turn(daemon, "old"))[0] == 200
    for _ in range(LEAST_WORDS):
        daemon.application.gate.hear("models", SLOTS, 3 * SLOTS, SLOTS)
    return daemon


class TestCrowdedEngines:
    async def test_the_gate_hears_what_engines_say_with_their_answers(self, fleet):
        engine = await fleet.endpoint("models", events=3, load=f"{SLOTS},2,{SLOTS}")
        daemon = await fleet.ready_daemon([engine])
        assert (await fleet.turn(daemon, "p"))[0] == 200
        words = daemon.application.gate.services["models"].words
        assert [word.ratio for word in words] == [1.5]

    async def test_a_new_program_is_refused_at_once_and_has_not_run(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await crowded_daemon(fleet, engine, "a-1")
        before = len(engine.runs)
        status, head, _ = await fleet.call(
            daemon,
            f"{TURNS}x",
            "POST",
            b"prompt",
            Program_Id="new",
            Token_Budget=10 * WORST,
            Token_Usage=f"100,{WORST}",
        )
        assert status == 429
        assert "retry-after" in {name.lower() for name, _ in head.headers}
        assert len(engine.runs) == before

    async def test_a_program_under_way_is_served(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await crowded_daemon(fleet, engine, "a-1")
        assert (await fleet.turn(daemon, "old"))[0] == 200

    async def test_a_program_that_another_daemon_served_is_served(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        calm = await fleet.ready_daemon([engine], name="a-2")
        assert (await fleet.turn(calm, "elsewhere"))[0] == 200
        daemon = await crowded_daemon(fleet, engine, "a-1")
        assert (await fleet.turn(daemon, "elsewhere"))[0] == 200

    async def test_its_budget_is_whole_where_it_comes_next(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await crowded_daemon(fleet, engine, "a-1")
        assert (await fleet.turn(daemon, "new", budget=WORST))[0] == 429
        allowances = daemon.application.allowances
        await until(lambda: allowances.ledger.drawn("new") == 0)
        calm = await fleet.ready_daemon([engine], name="a-2")
        assert (await fleet.turn(calm, "new", budget=WORST))[0] == 200

    async def test_without_the_log_nobody_is_taken_for_new(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await crowded_daemon(fleet, engine, "a-1")
        await fleet.ready_daemon([engine], name="a-2")
        await until(lambda: daemon.application.loads.live_peers)
        for one in fleet.daemons:
            one.faults.refusing = "busy"
        assert (await fleet.turn(daemon, "new"))[0] == 200

    async def test_less_urgent_routes_are_told_from_urgent_ones(self, fleet):
        turns = {"retainsContext": False, "retentionS": 60.0, "maxAttempts": 1}
        routes = [
            route("now", "/now/", "streaming", "models", **turns, priority=0),
            route("later", "/later/", "streaming", "models", **turns, priority=1),
        ]
        document = configuration(routes=routes)
        daemon = await fleet.daemon()
        fleet.configure(routes=document["routes"], version=2)
        await until(lambda: daemon.application.routing.current is not None)
        await until(lambda: daemon.application.routing.current.version == 2)
        table = daemon.application.routing.table
        urgent = {
            one.name: table.is_urgent(one, "models")
            for one in daemon.application.routing.current.routes
        }
        assert urgent == {"now": True, "later": False}
