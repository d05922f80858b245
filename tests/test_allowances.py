"""Token budgets across several daemons, and faults of the log."""

import asyncio
import contextlib

import pytest

from eelgrasslock.allowances.draw_size import MAX_TURNS_PER_DRAW, tokens_to_draw
from eelgrasslock.allowances.draws import Draw, PartitionState, decode_draw, encode_draw
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import (
    RecordError,
    Refusal,
)
from memory_log import RETENTION, TURN_TOKENS, MemoryLog, make_manager, run_turn


@pytest.fixture
def log():
    return MemoryLog()


class TestDrawSize:
    def test_a_draw_takes_a_third_of_what_is_left(self):
        assert tokens_to_draw(900, 900, 0, TURN_TOKENS, TURN_TOKENS) == 300
        assert tokens_to_draw(900, 900, 300, TURN_TOKENS, TURN_TOKENS) == 200

    def test_a_draw_covers_at_least_one_turn(self):
        assert tokens_to_draw(200, 200, 0, TURN_TOKENS, TURN_TOKENS) == TURN_TOKENS
        assert tokens_to_draw(200, 200, 0, 30, TURN_TOKENS) == TURN_TOKENS

    def test_a_draw_covers_at_most_a_few_turns(self):
        assert (
            tokens_to_draw(10**6, 10**6, 0, TURN_TOKENS, TURN_TOKENS)
            == MAX_TURNS_PER_DRAW * TURN_TOKENS
        )

    def test_the_remaining_tokens_are_drawn_if_they_suffice(self):
        assert tokens_to_draw(1_000, 1_000, 950, 40, TURN_TOKENS) == 50

    def test_nothing_is_drawn_if_too_little_remains(self):
        assert tokens_to_draw(1_000, 1_000, 950, 60, TURN_TOKENS) == 0

    def test_draws_end_at_what_may_be_drawn_now(self):
        assert tokens_to_draw(900, 250, 0, TURN_TOKENS, TURN_TOKENS) == 250
        assert tokens_to_draw(900, 350, 250, TURN_TOKENS, TURN_TOKENS) == 100
        assert tokens_to_draw(900, 349, 250, TURN_TOKENS, TURN_TOKENS) == 0


class TestDrawRecords:
    def test_encoding_round_trip(self):
        draw = Draw(program="p", id="1", holder="h", tokens=-3, total=7)
        assert decode_draw(encode_draw(draw)) == draw

    @pytest.mark.parametrize(
        "data", [b"", b"\xff", b"[]", b"{}", b"[1,2,3,4,5,6]", b"7", b"null"]
    )
    def test_other_records_are_rejected(self, data):
        with pytest.raises(RecordError):
            decode_draw(data)

    def test_state_needs_only_the_newest_record(self):
        state = PartitionState()
        state.apply(Draw(program="p", id="9", holder="h", tokens=5, total=70), 0.0)
        assert state.draws("p").total == 70


class TestOneDaemon:
    async def test_turns_run_until_the_budget_is_spent(self, log):
        one = make_manager(log, "one")
        for _ in range(10):
            await run_turn(one, 1_000, TURN_TOKENS)
        with pytest.raises(Refusal) as refusal:
            await run_turn(one, 1_000, TURN_TOKENS)
        assert refusal.value.status == 402

    async def test_unused_tokens_of_a_turn_serve_later_turns(self, log):
        one = make_manager(log, "one")
        for _ in range(19):
            await run_turn(one, 1_000, 50)
        with pytest.raises(Refusal):
            await run_turn(one, 1_000, 50)

    async def test_turns_in_flight_count_at_their_maximum(self, log):
        one = make_manager(log, "one")
        reservations = [await one.reserve("p", 300, TURN_TOKENS) for _ in range(3)]
        with pytest.raises(Refusal):
            await one.reserve("p", 300, TURN_TOKENS)
        one.settle(reservations[0], 0)
        await one.reserve("p", 300, TURN_TOKENS)

    async def test_a_program_needs_few_appends(self, log):
        one = make_manager(log, "one")
        for _ in range(4):
            await run_turn(one, 612, 45)
        assert (log.appends, log.reads) == (2, 0)

    async def test_concurrent_turns_do_not_exceed_the_budget(self, log):
        one = make_manager(log, "one")
        turns = [one.reserve("p", 450, TURN_TOKENS) for _ in range(8)]
        results = await asyncio.gather(*turns, return_exceptions=True)
        served = [result for result in results if not isinstance(result, Refusal)]
        assert len(served) == 4
        assert log.total_drawn() <= 450

    async def test_turns_share_what_one_of_them_drew_beyond_its_need(self, log):
        """Guards against a 402 for a turn whose tokens lie in the daemon's account."""
        one = make_manager(log, "one")
        turns = [one.reserve("p", 612, TURN_TOKENS) for _ in range(7)]
        results = await asyncio.gather(*turns, return_exceptions=True)
        served = [result for result in results if not isinstance(result, Refusal)]
        assert len(served) == 612 // TURN_TOKENS


class TestSeveralDaemons:
    async def test_the_budget_holds_across_all_daemons(self, log):
        daemons = [make_manager(log, f"d{n}") for n in range(5)]
        spent = 0
        for turn in range(60):
            with contextlib.suppress(Refusal):
                await run_turn(daemons[turn % 5], 1_500, TURN_TOKENS)
                spent += TURN_TOKENS
        assert spent <= 1_500
        assert log.total_drawn() <= 1_500

    async def test_average_turns_run_at_any_of_the_daemons(self, log):
        """Budgets are 1.5 times the maximum of all turns; turns use half of it."""
        for turns in range(2, 24):
            daemons = [make_manager(log, f"{turns}d{n}") for n in range(3)]
            for turn in range(turns):
                allowances = daemons[turn % 3]
                budget = int(1.5 * turns * TURN_TOKENS)
                await run_turn(allowances, budget, 45, program=f"p{turns}")

    async def test_the_budget_holds_when_all_daemons_are_replaced(self, log):
        spent = 0
        for generation in range(6):
            one = make_manager(log, f"g{generation}")
            for _ in range(3):
                try:
                    await run_turn(one, 1_000, TURN_TOKENS)
                except Refusal:
                    continue
                spent += TURN_TOKENS
        assert spent <= 1_000

    async def test_a_stopping_daemon_returns_its_tokens(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        await run_turn(one, 600, 20)
        assert log.total_drawn() == 200
        await one.return_all()
        assert log.total_drawn() == 20
        await run_turn(two, 600, 20)


class TestLogFaults:
    async def test_a_program_continues_while_the_log_is_unavailable(self, log):
        one = make_manager(log, "one")
        await run_turn(one, 900, 45)
        log.up = False
        for _ in range(3):
            await run_turn(one, 900, 45)

    async def test_an_unknown_program_is_refused_while_the_log_is_unavailable(
        self, log
    ):
        log.up = False
        with pytest.raises(Refusal) as refusal:
            await run_turn(make_manager(log, "one"), 900, 45)
        assert refusal.value.status == 503
        assert refusal.value.retry_after > 0

    async def test_an_append_with_a_lost_response_counts_once(self, log):
        log.lose_answers = 1
        one = make_manager(log, "one")
        await run_turn(one, 300, TURN_TOKENS)
        assert log.total_drawn() == TURN_TOKENS
        for _ in range(2):
            await run_turn(one, 300, TURN_TOKENS)
        with pytest.raises(Refusal):
            await run_turn(one, 300, TURN_TOKENS)

    async def test_a_late_append_counts_once(self, log):
        log.late_appends = 1
        one = make_manager(log, "one")
        await run_turn(one, 300, TURN_TOKENS)
        log.apply_late_appends()
        assert log.total_drawn() == TURN_TOKENS

    async def test_an_append_of_unknown_outcome_counts_as_done(self, log):
        log.late_appends = 2
        one = make_manager(log, "one")
        with pytest.raises(Refusal) as refusal:
            await run_turn(one, 150, TURN_TOKENS)
        assert refusal.value.status == 503
        log.apply_late_appends()
        with pytest.raises(Refusal) as refusal:
            await run_turn(one, 150, TURN_TOKENS)
        assert refusal.value.status == 402

    async def test_expired_records_are_skipped(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        await run_turn(one, 900, 45)
        log.expire_all()
        await run_turn(two, 900, 45)

    async def test_invalid_records_in_a_partition_are_skipped(self, log):
        one, two = make_manager(log, "one"), make_manager(log, "two")
        await run_turn(one, 900, 45)
        for records in log.partitions.values():
            records.append(b"no draw")
        await run_turn(two, 900, 45)
        assert two.ledger.partition("p").state.draws("p").total == 500


class TestRetention:
    async def test_the_budget_holds_beyond_the_retention_of_the_log(self, log):
        clock = ManualClock()
        one = make_manager(log, "one", clock)
        for _ in range(8):
            await run_turn(one, 1_000, TURN_TOKENS)
            log.expire_before(clock.monotonic() - RETENTION)
            clock.advance(RETENTION * 0.4)
            log.time = clock.monotonic()
            await one.refresh()
        log.expire_before(clock.monotonic() - RETENTION)
        served = 0
        for _ in range(3):
            with contextlib.suppress(Refusal):
                await run_turn(make_manager(log, "two", clock), 1_000, TURN_TOKENS)
                served += 1
        assert served <= 2

    async def test_a_total_read_late_is_written_again_before_it_expires(self, log):
        """A looping program got its budget anew once those that drew were gone."""
        clock = ManualClock()
        log.time = clock.monotonic()
        one, two = make_manager(log, "one", clock), make_manager(log, "two", clock)
        for _ in range(3):
            await run_turn(one, 3 * TURN_TOKENS, TURN_TOKENS)
        clock.advance(RETENTION * 0.8)
        log.time = clock.monotonic()
        with pytest.raises(Refusal):
            await run_turn(two, 3 * TURN_TOKENS, TURN_TOKENS)
        await two.refresh()
        clock.advance(RETENTION * 0.4)
        log.expire_before(clock.monotonic() - RETENTION)
        with pytest.raises(Refusal):
            await run_turn(
                make_manager(log, "three", clock), 3 * TURN_TOKENS, TURN_TOKENS
            )

    async def test_idle_programs_are_evicted(self, log):
        clock = ManualClock()
        one = make_manager(log, "one", clock)
        for number in range(50):
            await run_turn(one, 1_000, TURN_TOKENS, program=f"p{number}")
        clock.advance(RETENTION * 1.1)
        await one.refresh()
        assert not one.accounts
        assert not any(
            partition.state.programs
            for partition in one.ledger.known_partitions.values()
        )
