"""A program's turns keep to one engine though they meet several daemons."""

import random

import pytest

from eelgrasslock.allowances.draws import decode
from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.allowances.ledger import Ledger
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import RecordError
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.scheduler import Scheduler
from memory_log import MemoryLog
from platform_fleet import WORST, PlatformFleet, until
from scheduler_factory import make_call, make_configuration, make_scheduler, start

BUDGET = 100 * WORST
DAEMONS = 5
ENGINES = 22
TURNS = 12


@pytest.fixture
def log():
    return MemoryLog()


def daemon(log, name):
    clock = ManualClock()
    return Allowances(Ledger(log, 4, name, clock, 300.0), clock)


async def reserve(allowances, suggestion, program="p"):
    return await allowances.reserve(
        program, BUDGET, WORST, suggest_home=lambda: suggestion
    )


class TestHomeInTheLog:
    async def test_the_first_draw_names_what_is_suggested(self, log):
        reservation = await reserve(daemon(log, "one"), "e1")
        assert reservation.account.home == "e1"

    async def test_other_daemons_learn_it_with_their_first_draw(self, log):
        await reserve(daemon(log, "one"), "e1")
        reservation = await reserve(daemon(log, "two"), "e2")
        assert reservation.account.home == "e1"

    async def test_a_program_that_moved_is_found_at_its_new_engine(self, log):
        one, two = daemon(log, "one"), daemon(log, "two")
        reservation = await reserve(one, "e1")
        reservation.account.ran_at("e7", "line")
        one.settle(reservation, reservation.account.drawn)
        await reserve(one, "e1")
        assert (await reserve(two, "e2")).account.home == "e7"

    async def test_side_lines_of_turns_do_not_move_it(self, log):
        account = (await reserve(daemon(log, "one"), "e1")).account
        account.ran_at("e1", "line")
        account.ran_at("e5", "side line")
        assert account.home == "e1"

    async def test_what_is_given_back_keeps_it(self, log):
        one, two = daemon(log, "one"), daemon(log, "two")
        await reserve(one, "e1")
        await one.give_back_all()
        assert (await reserve(two, "e2")).account.home == "e1"

    def test_records_of_earlier_versions_name_none(self):
        assert decode(b'[1,"p","1","h",3,7]').home == ""

    @pytest.mark.parametrize("home", ["7", "null", '"e1","e2"'])
    def test_a_home_that_is_none_is_no_draw(self, home):
        with pytest.raises(RecordError):
            decode(f'[1,"p","1","h",3,7,{home}]'.encode())


class TestPlacementAtHome:
    def long_call(self, **values):
        return make_call(keys=tuple(range(60)), prompt_tokens=60 * 256, **values)

    @pytest.mark.parametrize("engines", [3, ENGINES])
    def test_a_daemon_that_never_saw_the_program_sends_it_home(self, engines):
        for home in range(engines):
            scheduler, _ = make_scheduler(engines, batch_limit=8)
            call = self.long_call(preferred_endpoint=f"e{home}")
            assert start(scheduler, call).endpoint == f"e{home}"

    def test_a_home_that_leaves_is_left(self):
        scheduler, _ = make_scheduler(3, batch_limit=8)
        scheduler.mark_leaving("e1", True, "test")
        assert (
            start(scheduler, self.long_call(preferred_endpoint="e1")).endpoint != "e1"
        )

    def test_a_home_that_is_gone_is_ignored(self):
        scheduler, _ = make_scheduler(3, batch_limit=8)
        assert start(scheduler, self.long_call(preferred_endpoint="gone")) is not None

    def test_a_home_without_a_free_place_does_not_hold_up_others(self):
        scheduler, _ = make_scheduler(2, batch_limit=1)
        start(scheduler, self.long_call(preferred_endpoint="e0"))
        other = self.long_call(program="q", preferred_endpoint="e1")
        assert start(scheduler, other).endpoint == "e1"

    def test_what_is_suggested_is_where_the_call_then_runs(self):
        scheduler, _ = make_scheduler(ENGINES, batch_limit=8)
        call = self.long_call()
        suggested = scheduler.suggest(call)
        assert (
            start(scheduler, self.long_call(preferred_endpoint=suggested)).endpoint
            == suggested
        )

    def test_nothing_is_suggested_where_nothing_serves(self):
        scheduler, _ = make_scheduler(1)
        assert scheduler.suggest(make_call(service="none", model="none")) == ""


class TestTurnsThatMeetSeveralDaemons:
    """Each turn of a program reaches another daemon than the turn before."""

    def changes(self, knows_home):
        """Return how often turns of twenty programs changed their engine."""
        clock = ManualClock()
        configuration = make_configuration(ENGINES, batch_limit=8, cache_tokens=500_000)
        schedulers = [
            Scheduler(clock, random.Random(seed), configuration, "riga-a")
            for seed in range(DAEMONS)
        ]
        changes = 0
        for program in range(20):
            home = ""
            for turn in range(TURNS):
                call = make_call(
                    program=f"p{program}",
                    keys=tuple(program * 1_000 + key for key in range(50 + 4 * turn)),
                    prompt_tokens=256 * (50 + 4 * turn),
                    preferred_endpoint=home if knows_home else "",
                )
                scheduler = schedulers[turn % DAEMONS]
                endpoint = start(scheduler, call).endpoint
                scheduler.finish(call.id, CallOutcome.DONE)
                clock.advance(0.3)
                changes += bool(home) and endpoint != home
                home = endpoint
        return changes

    def test_they_keep_to_their_engine(self):
        assert self.changes(knows_home=True) == 0

    def test_without_the_log_s_word_they_do_not(self):
        assert self.changes(knows_home=False) > 20


class TestHomeOverSockets:
    async def test_turns_through_two_daemons_run_on_one_engine(self):
        async with PlatformFleet() as fleet:
            engines = [await fleet.endpoint("models", events=2) for _ in range(3)]
            daemons = [
                await fleet.ready_daemon(engines, name=f"a-{n}") for n in range(2)
            ]
            for turn in range(8):
                status, _ = await fleet.turn(daemons[turn % 2], "p")
                assert status == 200
            ran = [len(engine.runs) for engine in engines]
            assert sorted(ran) == [0, 0, 8]

    async def test_a_home_that_ended_is_replaced(self):
        async with PlatformFleet() as fleet:
            engines = [await fleet.endpoint("models", events=2) for _ in range(2)]
            daemons = [
                await fleet.ready_daemon(engines, name=f"a-{n}") for n in range(2)
            ]
            assert (await fleet.turn(daemons[0], "p"))[0] == 200
            home = next(engine for engine in engines if engine.runs)
            fleet.unregister(home)
            for one in daemons:
                entries = one.application.directory.entries
                await until(lambda known=entries: home.id not in known)
            assert (await fleet.turn(daemons[1], "p"))[0] == 200
