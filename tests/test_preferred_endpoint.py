"""A program's turns run at one engine, though they reach several daemons."""

import random

import pytest

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.draws import decode_draw
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import RecordError
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.scheduler import Scheduler
from memory_log import MemoryLog
from platform_fleet import MAX_TURN_TOKENS, PlatformFleet, wait_until
from scheduler_factory import make_call, make_configuration, make_scheduler, start

BUDGET = 100 * MAX_TURN_TOKENS
DAEMONS = 5
ENGINES = 22
TURNS = 12


@pytest.fixture
def log():
    return MemoryLog()


def make_manager(log, name):
    clock = ManualClock()
    return AllowanceManager(DrawLedger(log, 4, name, clock, 300.0), clock)


async def reserve(allowances, suggestion, program="p"):
    return await allowances.reserve(
        program, BUDGET, MAX_TURN_TOKENS, suggest_endpoint=lambda: suggestion
    )


class TestPreferredEndpointInTheLog:
    async def test_the_first_draw_records_the_suggested_endpoint(self, log):
        reservation = await reserve(make_manager(log, "one"), "e1")
        assert reservation.account.preferred_endpoint == "e1"

    async def test_other_daemons_read_it_with_their_first_draw(self, log):
        await reserve(make_manager(log, "one"), "e1")
        reservation = await reserve(make_manager(log, "two"), "e2")
        assert reservation.account.preferred_endpoint == "e1"

    async def test_a_program_that_moved_prefers_its_new_engine(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        reservation = await reserve(one, "e1")
        reservation.account.record_endpoint("e7", "line")
        one.settle(reservation, reservation.account.drawn)
        await reserve(one, "e1")
        assert (await reserve(two, "e2")).account.preferred_endpoint == "e7"

    async def test_other_sessions_do_not_change_it(self, log):
        account = (await reserve(make_manager(log, "one"), "e1")).account
        account.record_endpoint("e1", "line")
        account.record_endpoint("e5", "other session")
        assert account.preferred_endpoint == "e1"

    async def test_returned_tokens_keep_it(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        await reserve(one, "e1")
        await one.return_all()
        assert (await reserve(two, "e2")).account.preferred_endpoint == "e1"

    def test_records_of_earlier_versions_have_none(self):
        assert decode_draw(b'[1,"p","1","h",3,7]').preferred_endpoint == ""

    @pytest.mark.parametrize("endpoint", ["7", "null", '"e1","e2"'])
    def test_a_draw_with_an_invalid_endpoint_is_rejected(self, endpoint):
        with pytest.raises(RecordError):
            decode_draw(f'[1,"p","1","h",3,7,{endpoint}]'.encode())


class TestPlacementAtPreferredEndpoint:
    def long_call(self, **values):
        return make_call(keys=tuple(range(60)), prompt_tokens=60 * 256, **values)

    @pytest.mark.parametrize("engines", [3, ENGINES])
    def test_a_daemon_new_to_the_program_uses_it(self, engines):
        for number in range(engines):
            scheduler, _ = make_scheduler(engines, batch_limit=8)
            call = self.long_call(preferred_endpoint=f"e{number}")
            assert start(scheduler, call).endpoint == f"e{number}"

    def test_a_leaving_endpoint_is_not_used(self):
        scheduler, _ = make_scheduler(3, batch_limit=8)
        scheduler.mark_leaving("e1", True, "test")
        assert (
            start(scheduler, self.long_call(preferred_endpoint="e1")).endpoint != "e1"
        )

    def test_an_endpoint_that_is_gone_is_ignored(self):
        scheduler, _ = make_scheduler(3, batch_limit=8)
        assert start(scheduler, self.long_call(preferred_endpoint="gone")) is not None

    def test_a_full_endpoint_does_not_block_other_programs(self):
        scheduler, _ = make_scheduler(2, batch_limit=1)
        start(scheduler, self.long_call(preferred_endpoint="e0"))
        other = self.long_call(program="q", preferred_endpoint="e1")
        assert start(scheduler, other).endpoint == "e1"

    def test_the_call_runs_at_the_suggested_endpoint(self):
        scheduler, _ = make_scheduler(ENGINES, batch_limit=8)
        call = self.long_call()
        suggested = scheduler.suggest(call)
        assert (
            start(scheduler, self.long_call(preferred_endpoint=suggested)).endpoint
            == suggested
        )

    def test_nothing_is_suggested_without_an_endpoint(self):
        scheduler, _ = make_scheduler(1)
        assert scheduler.suggest(make_call(service="none", model="none")) == ""


class TestTurnsAtSeveralDaemons:
    """Each turn of a program reaches another daemon than the turn before."""

    def changes(self, uses_log):
        """Return how often turns of twenty programs changed their engine."""
        clock = ManualClock()
        configuration = make_configuration(ENGINES, batch_limit=8, cache_tokens=500_000)
        schedulers = [
            Scheduler(clock, random.Random(seed), configuration, "riga-a")
            for seed in range(DAEMONS)
        ]
        changes = 0
        for program in range(20):
            last_endpoint = ""
            for turn in range(TURNS):
                call = make_call(
                    program=f"p{program}",
                    keys=tuple(program * 1_000 + key for key in range(50 + 4 * turn)),
                    prompt_tokens=256 * (50 + 4 * turn),
                    preferred_endpoint=last_endpoint if uses_log else "",
                )
                scheduler = schedulers[turn % DAEMONS]
                endpoint = start(scheduler, call).endpoint
                scheduler.finish(call.id, CallOutcome.DONE)
                clock.advance(0.3)
                changes += bool(last_endpoint) and endpoint != last_endpoint
                last_endpoint = endpoint
        return changes

    def test_they_stay_at_their_engine(self):
        assert self.changes(uses_log=True) == 0

    def test_without_the_log_they_change_engines(self):
        assert self.changes(uses_log=False) > 20


class TestPreferredEndpointOverSockets:
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

    async def test_an_engine_that_ended_is_replaced(self):
        async with PlatformFleet() as fleet:
            engines = [await fleet.endpoint("models", events=2) for _ in range(2)]
            daemons = [
                await fleet.ready_daemon(engines, name=f"a-{n}") for n in range(2)
            ]
            assert (await fleet.turn(daemons[0], "p"))[0] == 200
            preferred = next(engine for engine in engines if engine.runs)
            fleet.unregister(preferred)
            for one in daemons:
                entries = one.application.endpoint_registry.entries
                await wait_until(lambda known=entries: preferred.id not in known)
            assert (await fleet.turn(daemons[1], "p"))[0] == 200
