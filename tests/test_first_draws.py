"""The first draw for a program at a daemon, and what it tells."""

import asyncio

import pytest

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.allowances.read_first_policy import ReadFirstPolicy
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.crowding import Standing
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


class TestFirstContacts:
    """Programs that others have drawn for, at a daemon that is new to them."""

    MEETINGS = 60

    async def meet(self, log, allowances, programs):
        """Return the calls of the last half of the meetings, for each."""
        for number in range(programs):
            if number == programs // 2:
                before = log.appends + log.reads
            await run_turn(allowances, 900, 20, program=f"p{number}")
        return (log.appends + log.reads - before) / (programs - programs // 2)

    def make_manager(self, log, name):
        clock = ManualClock()
        return AllowanceManager(DrawLedger(log, 1_000, name, clock, RETENTION), clock)

    async def test_each_needs_two_calls_once_that_is_learnt(self, log):
        other = self.make_manager(log, "one")
        for number in range(self.MEETINGS):
            await run_turn(other, 900, 20, program=f"p{number}")
        calls = await self.meet(log, self.make_manager(log, "two"), self.MEETINGS)
        assert calls == pytest.approx(2.0, abs=0.1)

    async def test_programs_that_nobody_met_need_one(self, log):
        calls = await self.meet(log, self.make_manager(log, "one"), self.MEETINGS)
        assert calls == pytest.approx(1.0, abs=0.1)

    async def test_a_log_that_is_away_is_told_from_an_unused_partition(self, log):
        one = self.make_manager(log, "one")
        one.ledger.read_first_policy.used_share = 1.0
        log.up = False
        with pytest.raises(Refusal):
            await run_turn(one, 900, 20)
        assert one.ledger.read_first_policy.used_share == 1.0

    def test_it_follows_what_is_met(self):
        policy = ReadFirstPolicy()
        assert not policy.should_read_first
        for _ in range(10):
            policy.observe(True)
        assert policy.should_read_first
        for _ in range(20):
            policy.observe(False)
        assert not policy.should_read_first


class TestStanding:
    """What the log tells of a program before a draw."""

    async def test_a_program_that_nobody_drew_for_is_fresh(self, log):
        reservation = await make_manager(log, "one").reserve("p", 600, TURN_TOKENS)
        assert reservation.standing is Standing.FRESH

    async def test_one_with_draws_of_any_daemon_is_under_way(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        await run_turn(one, 900, 20)
        assert (await one.reserve("p", 900, TURN_TOKENS)).standing is Standing.UNDER_WAY
        assert (await two.reserve("p", 900, TURN_TOKENS)).standing is Standing.UNDER_WAY

    async def test_one_that_was_given_up_has_returned(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        one.cancel(await one.reserve("p", TURN_TOKENS, TURN_TOKENS))
        await wait_until_nothing_drawn(log)
        again = await two.reserve("p", TURN_TOKENS, TURN_TOKENS)
        assert again.standing is Standing.RETURNED
        two.cancel(again)
        await wait_until_nothing_drawn(log)
        assert (
            await one.reserve("p", TURN_TOKENS, TURN_TOKENS)
        ).standing is Standing.RETURNED

    async def test_what_a_turn_under_way_needs_is_not_given_back(self, log):
        one = make_manager(log, "one")
        kept = await one.reserve("p", 900, TURN_TOKENS)
        one.cancel(await one.reserve("p", 900, TURN_TOKENS))
        await asyncio.sleep(0)
        assert one.accounts["p"].reserved == kept.tokens
        assert log.total_drawn() >= kept.tokens

    async def test_a_lost_answer_to_giving_back_is_told(self, log):
        one = make_manager(log, "one")
        reservation = await one.reserve("p", 600, TURN_TOKENS)
        log.up = False
        one.cancel(reservation)
        await asyncio.sleep(0.01)
        assert one.accounts["p"].available == 0
        assert log.total_drawn() > 0
