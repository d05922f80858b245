import random

import pytest

from eelgrasslock.endpoints.release import UNKNOWN_SAFE_SECONDS, ReleaseController
from eelgrasslock.exceptions import EndpointError, Ran
from fleet import Fleet, start

URLS = {"engine-1": "http://e1", "engine-2": "http://e2"}


class FakeSessions:
    """Engines' sessions by URL; `deaf` orders get no confirmation."""

    def __init__(self):
        self.held = {url: set() for url in URLS.values()}
        self.deaf = 0
        self.orders = []

    async def release(self, url, program, fence):
        self.orders.append((url, program, fence))
        if self.deaf:
            self.deaf -= 1
            raise EndpointError("lost", Ran.UNKNOWN)
        self.held[url].discard(program)
        return True

    async def sessions(self, url):
        return sorted(self.held[url])


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
async def daemon(fleet):
    return await fleet.add("a1")


@pytest.fixture
def engine():
    return FakeSessions()


@pytest.fixture
async def release(fleet, daemon, engine):
    controller = controller_of(fleet, daemon, engine)
    await controller.start()
    yield controller
    await controller.stop()


def controller_of(fleet, daemon, engine):
    return ReleaseController(
        "riga-a",
        daemon.programs,
        daemon.membership,
        engine,
        lambda: URLS,
        fleet.clock,
        random.Random(1),
    )


class TestEndedPrograms:
    @pytest.mark.parametrize("deaf", [0, 3])
    async def test_session_is_released_until_confirmed(
        self, fleet, daemon, engine, release, deaf
    ):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        engine.held["http://e1"].add(caller.program)
        engine.deaf = deaf
        await fleet.run(daemon.programs.end(caller.program, "finished"))
        await fleet.settle(20.0)
        assert not engine.held["http://e1"]
        assert len(engine.orders) == deaf + 1
        assert not release.orders

    async def test_expired_program_is_released(self, fleet, daemon, engine, release):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        engine.held["http://e1"].add(caller.program)
        fleet.clock.advance(30_000.0)
        await fleet.settle(20.0, step=0.5)
        assert not engine.held["http://e1"]

    async def test_order_of_a_program_that_lives_there_is_dropped(
        self, fleet, daemon, engine, release
    ):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        release.release("engine-1", caller.program, 0)
        await fleet.settle(5.0)
        assert not engine.orders

    async def test_program_that_moved_is_released_where_it_was(
        self, fleet, daemon, engine, release
    ):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        fleet.engine.endpoint = "engine-2"
        await caller.ask(daemon, "two")
        await fleet.settle(5.0)
        fence = daemon.programs.journal.program(caller.program).fence
        assert engine.orders == [("http://e1", caller.program, fence)]

    async def test_fresh_daemon_orders_nothing_for_what_ended_long_ago(
        self, fleet, daemon, engine
    ):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        await fleet.run(daemon.programs.end(caller.program, "finished"))
        await daemon.kill()
        fleet.retire("a1")
        fleet.clock.advance(1_000.0)
        fresh = await fleet.add("a2")
        controller = controller_of(fleet, fresh, engine)
        await fleet.settle(2.0)
        assert fresh.programs.journal.program(caller.program).ended
        assert not controller.orders


class TestReconciler:
    async def test_session_of_an_unknown_program_goes_after_a_safe_time(
        self, fleet, daemon, engine, release
    ):
        stray = "riga-a~gone~1"
        engine.held["http://e2"].add(stray)
        await fleet.settle(UNKNOWN_SAFE_SECONDS / 2, step=0.5)
        assert not engine.orders
        await fleet.settle(3 * UNKNOWN_SAFE_SECONDS, step=0.5)
        assert not engine.held["http://e2"]

    @pytest.mark.parametrize("program", ["riga-b~gone~1", "single-call"])
    async def test_sessions_of_others_are_left_alone(
        self, fleet, daemon, engine, release, program
    ):
        engine.held["http://e1"].add(program)
        await fleet.settle(4 * UNKNOWN_SAFE_SECONDS, step=0.5)
        assert not engine.orders

    async def test_live_programs_are_left_alone(self, fleet, daemon, engine, release):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        engine.held["http://e1"].add(caller.program)
        await fleet.settle(4 * UNKNOWN_SAFE_SECONDS, step=0.5)
        assert not engine.orders

    async def test_nothing_unknown_is_released_while_the_log_is_down(
        self, fleet, daemon, engine, release
    ):
        engine.held["http://e1"].add("riga-a~gone~1")
        fleet.log.down = True
        await fleet.settle(4 * UNKNOWN_SAFE_SECONDS, step=0.5)
        assert not engine.orders

    async def test_only_one_daemon_answers_for_a_program(
        self, fleet, daemon, engine, release
    ):
        other = await fleet.add("a2")
        second = controller_of(fleet, other, engine)
        await second.start()
        strays = {f"riga-a~gone~{number}" for number in range(20)}
        engine.held["http://e1"] |= strays
        await fleet.settle(4 * UNKNOWN_SAFE_SECONDS, step=0.5)
        await second.stop()
        assert not engine.held["http://e1"]
        assert len(engine.orders) == len(strays)
