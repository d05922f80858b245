"""Programs that start while the log is unavailable."""

import asyncio
import contextlib
import random

import pytest

from eelgrasslock.allowances.offline import (
    OfflineUsage,
    OfflineUsageReport,
    may_spend_offline,
    missing_members,
    offline_limit,
    offline_remaining,
)
from eelgrasslock.exceptions import AppendUnresolved, Refusal
from memory_log import RETENTION, TURN_TOKENS, MemoryLog, run_turn
from offline_group import (
    Group,
    PartitionedFromLog,
    turns_until_refused,
)


@pytest.fixture
def log():
    return MemoryLog()


class TestLimits:
    @pytest.mark.parametrize("turns", [2, 3])
    def test_a_small_budget_gets_one_turn_from_those_that_know_of_another(self, turns):
        assert offline_limit(turns * TURN_TOKENS, TURN_TOKENS, True) == TURN_TOKENS
        assert offline_limit(turns * TURN_TOKENS, TURN_TOKENS, False) == 0

    @pytest.mark.parametrize("has_full_history", [True, False])
    def test_a_larger_budget_gets_half(self, has_full_history):
        limit = offline_limit(8 * TURN_TOKENS, TURN_TOKENS, has_full_history)
        assert limit == 4 * TURN_TOKENS

    def test_draws_that_a_peer_has_read_count(self):
        usage = OfflineUsage(domain="a", spent=0, drawn=750)
        report = OfflineUsageReport(usages=[usage])
        assert offline_remaining(800, TURN_TOKENS, 50, 0, report) == 0

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
    def test_only_one_group_of_daemons_may_spend(self, answered, allowed):
        assert may_spend_offline("a", "aabbcc", answered) is allowed

    def test_members_of_reachable_domains_may_be_missing(self):
        assert missing_members("aabbcc", "aa") == 0
        assert missing_members("aaabbcc", "aab") == 2


class TestOutage:
    async def test_a_program_that_starts_during_it_is_served(self, log):
        group = Group(log, 3)
        log.up = False
        for turns in range(2, 12):
            budget = int(1.55 * turns * TURN_TOKENS)
            for turn in range(turns):
                program = f"p{turns}"
                await run_turn(group[turn % 2], budget, 45, program)

    async def test_the_offline_share_holds_across_reachable_daemons(self, log):
        group = Group(log, 3)
        log.up = False
        spent = await turns_until_refused(group, 1_000, TURN_TOKENS)
        assert spent == 500

    async def test_offline_tokens_are_recorded_afterwards(self, log):
        group = Group(log, 3)
        log.up = False
        spent = await turns_until_refused(group, 1_000, TURN_TOKENS)
        log.up = True
        for one in group.daemons.values():
            await one.unrecorded.record()
        assert log.total_drawn() == spent
        spent += await turns_until_refused(group, 1_000, TURN_TOKENS)
        assert spent <= log.total_drawn() <= 1_000

    async def test_an_isolated_daemon_spends_only_its_draws(self, log):
        group = Group(log, 1)
        group.may_spend = False
        log.up = False
        with pytest.raises(Refusal):
            await run_turn(group[0], 1_000, 45)

    async def test_a_spent_budget_gets_no_offline_tokens(self, log):
        group = Group(log, 2)
        await turns_until_refused(group, 1_000, TURN_TOKENS)
        log.up = False
        assert await turns_until_refused(group, 1_000, TURN_TOKENS) == 0

    @pytest.mark.parametrize("turns", [2, 3])
    async def test_a_looping_program_stays_within_a_turn_of_its_budget(
        self, log, turns
    ):
        """All daemons die during the outage, before any offline draw is recorded."""
        budget = turns * TURN_TOKENS
        log.up = False
        spent = await turns_until_refused(Group(log, 4), budget, TURN_TOKENS)
        log.up = True
        spent += await turns_until_refused(Group(log, 4), budget, TURN_TOKENS)
        assert spent <= budget + TURN_TOKENS

    async def test_concurrent_queries_count_each_others_tokens(self, log):
        """Pending tokens of other daemons count.

        A looping program started 113 turns at once at nine daemons.
        """
        group = Group(log, 5)
        online = await group[0].reserve("p", 220, 20)
        group[0].settle(online, 0)
        log.up = False
        rng = random.Random(3)

        async def turn(number):
            try:
                await run_turn(group[number % 5], 220, 100, max_generated_tokens=110)
            except Refusal:
                return 0
            return 100

        spent = 0
        for _ in range(20):
            numbers = [rng.randrange(5) for _ in range(8)]
            spent += sum(await asyncio.gather(*map(turn, numbers)))
        assert all(account.offline_drawn >= 0 for account in group.accounts("p"))
        assert spent <= 110

    async def test_a_record_of_unknown_outcome_still_counts(self, log):
        """Tokens stay counted while the outcome of their append is unknown.

        A looping program spent 2,244 of 1,122 tokens in an outage with resets.
        """
        group = Group(log, 2)
        log.up = False
        assert (
            await turns_until_refused(group, 2 * TURN_TOKENS, TURN_TOKENS)
            == TURN_TOKENS
        )
        log.up = True
        log.late_appends = 4
        for one in group.daemons.values():
            with contextlib.suppress(AppendUnresolved):
                await one.unrecorded.record()
        log.up = False
        assert await turns_until_refused(group, 2 * TURN_TOKENS, TURN_TOKENS) == 0

    async def test_a_missing_daemon_counts_as_one_turn(self, log):
        """A daemon that does not answer may have served a turn before it ended.

        A looping program spent 2,310 of 1,683 tokens over a restart during a
        network partition.
        """
        group = Group(log, 3)
        log.up = False
        await run_turn(group[0], 3 * TURN_TOKENS, TURN_TOKENS)
        del group.daemons["d0"]
        group.missing = 1
        assert await turns_until_refused(group, 3 * TURN_TOKENS, TURN_TOKENS) == 0

    async def test_offline_tokens_count_while_they_are_recorded(self, log):
        """A looping program spent 1,815 of 1,122 tokens while an append hung."""
        group = Group(log, 2)
        log.up = False
        await run_turn(group[0], 2 * TURN_TOKENS, TURN_TOKENS)
        log.blocked_until = asyncio.Event()
        recording = asyncio.create_task(group[0].unrecorded.record())
        await asyncio.sleep(0)
        assert group[0].unrecorded.usage("p") == (TURN_TOKENS, 0)
        log.up = True
        log.blocked_until.set()
        await recording
        assert group[0].unrecorded.usage("p") == (0, TURN_TOKENS)


class TestSecondOfflineTurn:
    """The turn beyond a budget must not be given again by daemons that can't know."""

    async def test_domains_that_are_cut_off_in_turn(self, log):
        """A looping program spent 2,574 of 1,683 tokens over a cut and a return."""
        budget = 3 * TURN_TOKENS
        logs = [PartitionedFromLog(log) for _ in range(3)]
        domains = [Group(one, 2, sees_all=False) for one in logs]
        spent = 0
        for cut_off in (0, 1):
            logs[cut_off].up = False
            spent += await turns_until_refused(domains[cut_off], budget, TURN_TOKENS)
            spent += await turns_until_refused(domains[2], budget, TURN_TOKENS)
            logs[cut_off].up = True
            for one in domains[cut_off].daemons.values():
                await one.unrecorded.record()
        assert spent <= budget + TURN_TOKENS

    @pytest.mark.parametrize("turns", [2, 3])
    async def test_a_return_after_all_daemons_died(self, log, turns):
        """Looping programs spent 1,980 of 1,122 and 2,607 of 1,683 tokens."""
        budget = turns * TURN_TOKENS
        cut_off = PartitionedFromLog(log)
        cut_off.up = False
        domain = Group(cut_off, 2, sees_all=False)
        spent = await turns_until_refused(domain, budget, TURN_TOKENS)
        spent += await turns_until_refused(Group(log, 2), budget, TURN_TOKENS)
        cut_off.up = True
        for one in domain.daemons.values():
            await one.unrecorded.record()
        log.up = False
        started_later = Group(log, 4, is_first_start=False)
        spent += await turns_until_refused(started_later, budget, TURN_TOKENS)
        assert spent <= budget + TURN_TOKENS

    async def test_daemons_that_know_all_draws_give_one_turn(self, log):
        group = Group(log, 3, is_first_start=False)
        log.up = False
        budget = 2 * TURN_TOKENS
        assert await turns_until_refused(group, budget, TURN_TOKENS) == 0
        for one in group.daemons.values():
            one.clock.advance(RETENTION)
        assert await turns_until_refused(group, budget, TURN_TOKENS) == TURN_TOKENS


class TestRefreshDuringAnOutage:
    """Refreshing must not evict an account while peers are queried for it.

    The refresh evicted an account that no turn had used yet, so queries of peers
    found no usage of it. A looping program spent 2,662 of 1,716 tokens, and another
    one turn more than its 572.
    """

    async def start_query(self, group, budget):
        """Return a turn that waits for its query, and the event that ends the query."""
        query_done = asyncio.Event()
        query = group[0].query_offline_usage

        async def query_slowly(program):
            report = await query(program)
            await query_done.wait()
            return report

        group[0].query_offline_usage = query_slowly
        turn = asyncio.create_task(run_turn(group[0], budget, TURN_TOKENS))
        async with asyncio.timeout(5.0):
            while not any(one.offline_pending for one in group.accounts("p")):  # noqa: ASYNC110
                await asyncio.sleep(0)
        return turn, query_done

    async def test_an_account_is_kept_while_peers_are_queried(self, log):
        group = Group(log, 2)
        log.up = False
        turn, query_done = await self.start_query(group, 2 * TURN_TOKENS)
        await group[0].refresh()
        with pytest.raises(Refusal):
            await run_turn(group[1], 2 * TURN_TOKENS, TURN_TOKENS)
        query_done.set()
        await turn

    async def test_unrecorded_tokens_outlive_the_retention(self, log):
        group = Group(log, 1)
        log.up = False
        turn, query_done = await self.start_query(group, 2 * TURN_TOKENS)
        query_done.set()
        await turn
        group[0].clock.advance(2 * RETENTION)
        await group[0].refresh()
        assert group.accounts("p")[0].offline_drawn == TURN_TOKENS
