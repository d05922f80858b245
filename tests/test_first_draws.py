"""The first draw for a program at a daemon, and the program's state before it."""

import asyncio

import pytest

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.allowances.read_first_policy import ReadFirstPolicy
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.load_shedding import ProgramStage
from memory_log import (
    RETENTION,
    TURN_TOKENS,
    MemoryLog,
    make_manager,
    run_turn,
    wait_until_nothing_drawn,
)


@pytest.fixture
def log():
    return MemoryLog()


class TestReadFirstPolicy:
    """First draws at a daemon for programs of which others may hold draws."""

    PROGRAMS = 60

    async def calls_per_program(self, log, allowances, programs):
        """Return the mean number of log calls over the last half of the programs."""
        for number in range(programs):
            if number == programs // 2:
                before = log.appends + log.reads
            await run_turn(allowances, 900, 20, program=f"p{number}")
        return (log.appends + log.reads - before) / (programs - programs // 2)

    def make_manager(self, log, name):
        clock = ManualClock()
        return AllowanceManager(DrawLedger(log, 1_000, name, clock, RETENTION), clock)

    async def test_used_partitions_need_two_calls_after_learning(self, log):
        other = self.make_manager(log, "one")
        for number in range(self.PROGRAMS):
            await run_turn(other, 900, 20, program=f"p{number}")
        calls = await self.calls_per_program(
            log, self.make_manager(log, "two"), self.PROGRAMS
        )
        assert calls == pytest.approx(2.0, abs=0.1)

    async def test_unused_partitions_need_one_call(self, log):
        calls = await self.calls_per_program(
            log, self.make_manager(log, "one"), self.PROGRAMS
        )
        assert calls == pytest.approx(1.0, abs=0.1)

    async def test_an_unavailable_log_does_not_change_the_estimate(self, log):
        one = self.make_manager(log, "one")
        one.ledger.read_first_policy.used_share = 1.0
        log.up = False
        with pytest.raises(Refusal):
            await run_turn(one, 900, 20)
        assert one.ledger.read_first_policy.used_share == 1.0

    def test_it_follows_the_observations(self):
        policy = ReadFirstPolicy()
        assert not policy.should_read_first
        for _ in range(10):
            policy.observe(True)
        assert policy.should_read_first
        for _ in range(20):
            policy.observe(False)
        assert not policy.should_read_first


class TestProgramStage:
    """State of a program before a draw, by the records in the log."""

    async def test_a_program_without_draws_is_fresh(self, log):
        reservation = await make_manager(log, "one").reserve("p", 600, TURN_TOKENS)
        assert reservation.stage is ProgramStage.FRESH

    async def test_a_program_with_draws_of_any_daemon_is_under_way(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        await run_turn(one, 900, 20)
        assert (
            await one.reserve("p", 900, TURN_TOKENS)
        ).stage is ProgramStage.UNDER_WAY
        assert (
            await two.reserve("p", 900, TURN_TOKENS)
        ).stage is ProgramStage.UNDER_WAY

    async def test_a_program_whose_reservation_was_cancelled_has_returned(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        one.cancel(await one.reserve("p", TURN_TOKENS, TURN_TOKENS))
        await wait_until_nothing_drawn(log)
        again = await two.reserve("p", TURN_TOKENS, TURN_TOKENS)
        assert again.stage is ProgramStage.RETURNED
        two.cancel(again)
        await wait_until_nothing_drawn(log)
        assert (
            await one.reserve("p", TURN_TOKENS, TURN_TOKENS)
        ).stage is ProgramStage.RETURNED

    async def test_tokens_of_a_turn_in_flight_are_not_returned(self, log):
        one = make_manager(log, "one")
        kept = await one.reserve("p", 900, TURN_TOKENS)
        one.cancel(await one.reserve("p", 900, TURN_TOKENS))
        await asyncio.sleep(0)
        assert one.accounts["p"].reserved == kept.tokens
        assert log.total_drawn() >= kept.tokens

    async def test_tokens_are_not_spent_after_a_failed_return(self, log):
        one = make_manager(log, "one")
        reservation = await one.reserve("p", 600, TURN_TOKENS)
        log.up = False
        one.cancel(reservation)
        await asyncio.sleep(0.01)
        assert one.accounts["p"].available == 0
        assert log.total_drawn() > 0
