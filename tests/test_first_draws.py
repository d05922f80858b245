"""The first draw for a program at a daemon, and what it tells."""

import asyncio

import pytest

from eelgrasslock.allowances.contacts import Contacts
from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.allowances.ledger import Ledger
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.load_shedding import ProgramStage
from memory_log import RETENTION, WORST, MemoryLog, daemon, nothing_drawn, run_turn


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

    def daemon(self, log, name):
        clock = ManualClock()
        return Allowances(Ledger(log, 1_000, name, clock, RETENTION), clock)

    async def test_each_needs_two_calls_once_that_is_learnt(self, log):
        other = self.daemon(log, "one")
        for number in range(self.MEETINGS):
            await run_turn(other, 900, 20, program=f"p{number}")
        calls = await self.meet(log, self.daemon(log, "two"), self.MEETINGS)
        assert calls == pytest.approx(2.0, abs=0.1)

    async def test_programs_that_nobody_met_need_one(self, log):
        calls = await self.meet(log, self.daemon(log, "one"), self.MEETINGS)
        assert calls == pytest.approx(1.0, abs=0.1)

    async def test_a_log_that_is_away_is_told_from_an_unused_partition(self, log):
        one = self.daemon(log, "one")
        one.ledger.contacts.used_share = 1.0
        log.up = False
        with pytest.raises(Refusal):
            await run_turn(one, 900, 20)
        assert one.ledger.contacts.used_share == 1.0

    def test_it_follows_what_is_met(self):
        contacts = Contacts()
        assert not contacts.reads_first
        for _ in range(10):
            contacts.met(True)
        assert contacts.reads_first
        for _ in range(20):
            contacts.met(False)
        assert not contacts.reads_first


class TestProgramStage:
    """What the log tells of a program before a draw."""

    async def test_a_program_that_nobody_drew_for_is_fresh(self, log):
        reservation = await daemon(log, "one").reserve("p", 600, WORST)
        assert reservation.stage is ProgramStage.FRESH

    async def test_one_with_draws_of_any_daemon_is_under_way(self, log):
        one, two = daemon(log, "one"), daemon(log, "two")
        await run_turn(one, 900, 20)
        assert (await one.reserve("p", 900, WORST)).stage is ProgramStage.UNDER_WAY
        assert (await two.reserve("p", 900, WORST)).stage is ProgramStage.UNDER_WAY

    async def test_one_that_was_given_up_has_returned(self, log):
        one, two = daemon(log, "one"), daemon(log, "two")
        one.give_up(await one.reserve("p", WORST, WORST))
        await nothing_drawn(log)
        again = await two.reserve("p", WORST, WORST)
        assert again.stage is ProgramStage.RETURNED
        two.give_up(again)
        await nothing_drawn(log)
        assert (await one.reserve("p", WORST, WORST)).stage is ProgramStage.RETURNED

    async def test_what_a_turn_under_way_needs_is_not_given_back(self, log):
        one = daemon(log, "one")
        kept = await one.reserve("p", 900, WORST)
        one.give_up(await one.reserve("p", 900, WORST))
        await asyncio.sleep(0)
        assert one.accounts["p"].reserved == kept.tokens
        assert log.drawn() >= kept.tokens

    async def test_a_lost_answer_to_giving_back_is_told(self, log):
        one = daemon(log, "one")
        reservation = await one.reserve("p", 600, WORST)
        log.up = False
        one.give_up(reservation)
        await asyncio.sleep(0.01)
        assert one.accounts["p"].free == 0
        assert log.drawn() > 0
