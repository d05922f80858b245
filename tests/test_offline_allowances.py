"""Programs that begin while the log is away."""

import asyncio
import contextlib
import random

import pytest

from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.allowances.ledger import Ledger
from eelgrasslock.allowances.offline import (
    OfflineAnswers,
    OfflineWord,
    may_spend_offline,
    missing_members,
    offline_limit,
    offline_room,
)
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import AppendUnresolved, Refusal
from memory_log import RETENTION, WORST, MemoryLog, run_turn


class Group:
    """Daemons that reach each other, with one log."""

    def __init__(self, log, count):
        self.log = log
        self.may_decide = True
        self.missing = 0
        self.daemons = {}
        for number in range(count):
            self.add(f"d{number}")

    def add(self, name):
        async def ask_offline(program):
            if not self.may_decide:
                return None
            await asyncio.sleep(0)
            others = [one for key, one in self.daemons.items() if key != name]
            words = [one.offline_word(program) for one in others]
            words = [
                OfflineWord(domain="a", spent=spent, drawn=drawn)
                for spent, drawn in words
            ]
            return OfflineAnswers(words=words, missing=self.missing)

        ledger = Ledger(self.log, 4, name, ManualClock(), RETENTION)
        self.daemons[name] = Allowances(ledger, ManualClock(), ask_offline=ask_offline)

    def accounts(self, program):
        everyone = self.daemons.values()
        return [one.accounts[program] for one in everyone if program in one.accounts]

    def __getitem__(self, number):
        return list(self.daemons.values())[number]


@pytest.fixture
def log():
    return MemoryLog()


async def turns_until_refused(group, budget, used, program="p", most=100):
    """Run turns on the daemons by turns; return the tokens that were spent."""
    spent = 0
    for turn in range(most):
        try:
            await run_turn(group[turn % len(group.daemons)], budget, used, program)
        except Refusal:
            return spent
        spent += used
    return spent


class TestLimits:
    def test_a_small_budget_gets_one_turn(self):
        assert offline_limit(2 * WORST, WORST) == WORST
        assert offline_limit(3 * WORST, WORST) == WORST

    def test_a_larger_one_gets_half(self):
        assert offline_limit(8 * WORST, WORST) == 4 * WORST

    def test_what_is_known_to_be_drawn_counts(self):
        word = OfflineWord(domain="a", spent=0, drawn=750)
        assert offline_room(800, WORST, 50, 0, [word], 0) == 0

    @pytest.mark.parametrize(
        ("answered", "allowed"),
        [
            ("aabbcc", True),
            ("abc", True),
            ("aa", True),
            ("", False),
            ("bbcc", False),
            ("ab", False),
            ("aabb", False),
        ],
    )
    def test_only_one_group_of_daemons_may_decide(self, answered, allowed):
        assert may_spend_offline("a", "aabbcc", answered) is allowed

    def test_members_of_the_domains_in_reach_may_be_missing(self):
        assert missing_members("aabbcc", "aa") == 0
        assert missing_members("aaabbcc", "aab") == 2


class TestOutage:
    async def test_a_program_that_begins_in_it_is_served(self, log):
        group = Group(log, 3)
        log.up = False
        for turns in range(2, 12):
            budget = int(1.55 * turns * WORST)
            for turn in range(turns):
                program = f"p{turns}"
                await run_turn(group[turn % 2], budget, 45, program)

    async def test_its_share_holds_over_all_daemons_in_reach(self, log):
        group = Group(log, 3)
        log.up = False
        spent = await turns_until_refused(group, 1_000, WORST)
        assert spent == 500

    async def test_what_it_spent_is_recorded_afterwards(self, log):
        group = Group(log, 3)
        log.up = False
        spent = await turns_until_refused(group, 1_000, WORST)
        log.up = True
        for one in group.daemons.values():
            await one.record_offline()
        assert log.drawn() == spent
        spent += await turns_until_refused(group, 1_000, WORST)
        assert spent <= log.drawn() <= 1_000

    async def test_a_daemon_alone_serves_only_what_it_drew(self, log):
        group = Group(log, 1)
        group.may_decide = False
        log.up = False
        with pytest.raises(Refusal):
            await run_turn(group[0], 1_000, 45)

    async def test_a_program_that_had_spent_its_budget_gets_nothing(self, log):
        group = Group(log, 2)
        await turns_until_refused(group, 1_000, WORST)
        log.up = False
        assert await turns_until_refused(group, 1_000, WORST) == 0

    @pytest.mark.parametrize("turns", [2, 3])
    async def test_a_looping_program_stays_within_a_turn_of_its_budget(
        self, log, turns
    ):
        """All daemons die in the outage, before anything could be recorded."""
        budget = turns * WORST
        log.up = False
        spent = await turns_until_refused(Group(log, 4), budget, WORST)
        log.up = True
        spent += await turns_until_refused(Group(log, 4), budget, WORST)
        assert spent <= budget + WORST

    async def test_turns_that_ask_at_once_count_each_other(self, log):
        """A looping program started 113 turns at once on nine daemons."""
        group = Group(log, 5)
        online = await group[0].reserve("p", 220, 20)
        group[0].settle(online, 0)
        log.up = False
        rng = random.Random(3)

        async def turn(number):
            try:
                await run_turn(group[number % 5], 220, 100, worst=110)
            except Refusal:
                return 0
            return 100

        spent = 0
        for _ in range(20):
            numbers = [rng.randrange(5) for _ in range(8)]
            spent += sum(await asyncio.gather(*map(turn, numbers)))
        assert all(account.offline >= 0 for account in group.accounts("p"))
        assert spent <= 110

    async def test_a_record_of_unknown_fate_still_counts(self, log):
        """A looping program got 2,244 of 1,122 tokens in an outage by resets."""
        group = Group(log, 2)
        log.up = False
        assert await turns_until_refused(group, 2 * WORST, WORST) == WORST
        log.up = True
        log.late_answers = 4
        for one in group.daemons.values():
            with contextlib.suppress(AppendUnresolved):
                await one.record_offline()
        log.up = False
        assert await turns_until_refused(group, 2 * WORST, WORST) == 0

    async def test_a_daemon_that_ended_may_have_served_a_turn(self, log):
        """A looping program got 2,310 of 1,683 tokens over a restart in a cut."""
        group = Group(log, 3)
        log.up = False
        await run_turn(group[0], 3 * WORST, WORST)
        del group.daemons["d0"]
        group.missing = 1
        assert await turns_until_refused(group, 3 * WORST, WORST) == 0

    async def test_it_counts_while_it_is_being_recorded(self, log):
        """A looping program got 1,815 of 1,122 tokens while a record hung."""
        group = Group(log, 2)
        log.up = False
        await run_turn(group[0], 2 * WORST, WORST)
        log.hangs = asyncio.Event()
        recording = asyncio.create_task(group[0].record_offline())
        await asyncio.sleep(0)
        assert group[0].offline_word("p") == (WORST, 0)
        log.up = True
        log.hangs.set()
        await recording
        assert group[0].offline_word("p") == (0, WORST)


class TestUpkeepInAnOutage:
    """A looping program got 2,662 of 1,716 tokens, and one turn more of 572.

    The upkeep of a daemon dropped the program's account, which no turn had used
    yet, while the daemon asked the others; their questions then found nothing.
    """

    async def asking(self, group, budget):
        """Return a turn that waits for its answers, and what lets it go on."""
        answers = asyncio.Event()
        ask = group[0].ask_offline

        async def ask_slowly(program):
            found = await ask(program)
            await answers.wait()
            return found

        group[0].ask_offline = ask_slowly
        turn = asyncio.create_task(run_turn(group[0], budget, WORST))
        async with asyncio.timeout(5.0):
            while not any(one.asked for one in group.accounts("p")):  # noqa: ASYNC110
                await asyncio.sleep(0)
        return turn, answers

    async def test_an_account_is_kept_while_others_are_asked(self, log):
        group = Group(log, 2)
        log.up = False
        turn, answers = await self.asking(group, 2 * WORST)
        await group[0].keep()
        with pytest.raises(Refusal):
            await run_turn(group[1], 2 * WORST, WORST)
        answers.set()
        await turn

    async def test_what_is_not_recorded_yet_outlives_the_retention(self, log):
        group = Group(log, 1)
        log.up = False
        turn, answers = await self.asking(group, 2 * WORST)
        answers.set()
        await turn
        group[0].clock.advance(2 * RETENTION)
        await group[0].keep()
        assert group.accounts("p")[0].offline == WORST
