"""Callers that leave while tokens are drawn for them."""

import asyncio

import pytest

from eelgrasslock.exceptions import Refusal
from memory_log import TURN_TOKENS, MemoryLog, make_manager, run_turn

BUDGET = 3 * TURN_TOKENS


@pytest.fixture
def log():
    return MemoryLog()


async def leave_during_append(log, allowances):
    """Let a caller leave while the answer to the append of its draw is on its way."""
    log.answered_after = asyncio.Event()
    appends = log.appends
    caller = asyncio.create_task(allowances.reserve("p", BUDGET, TURN_TOKENS))
    while log.appends == appends:  # noqa: ASYNC110
        await asyncio.sleep(0)
    await asyncio.sleep(0.01)
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)
    log.answered_after.set()
    log.answered_after = None
    await asyncio.sleep(0.01)


class TestDraws:
    async def test_what_is_drawn_for_a_caller_that_leaves_serves_the_next_turn(
        self, log
    ):
        """Guards against 402s while tokens are left (review case 10)."""
        one = make_manager(log, "one")
        await leave_during_append(log, one)
        assert log.total_drawn() == TURN_TOKENS
        for _ in range(3):
            await run_turn(one, BUDGET, TURN_TOKENS)

    async def test_callers_that_leave_use_nothing_up(self, log):
        """Guards against 402s while tokens are left (review case 10)."""
        one = make_manager(log, "one")
        for _ in range(6):
            await leave_during_append(log, one)
            assert one.release("p") == TURN_TOKENS
            await one.ledger.record_release("p", "one", TURN_TOKENS)
        for _ in range(3):
            await run_turn(one, BUDGET, TURN_TOKENS)
        with pytest.raises(Refusal):
            await run_turn(one, BUDGET, TURN_TOKENS)


class TestReclaims:
    async def test_what_a_peer_releases_for_a_caller_that_leaves_is_recorded(self, log):
        """Guards against tokens that a peer has given up and nobody can draw."""
        budget = 2 * TURN_TOKENS
        one, two = make_manager(log, "one"), make_manager(log, "two")
        reservations = [await two.reserve("p", budget, TURN_TOKENS) for _ in range(2)]
        for reservation, used in zip(reservations, (0, TURN_TOKENS), strict=True):
            two.settle(reservation, used)
        asked, answer = asyncio.Event(), asyncio.Event()

        async def release(holder, program):
            asked.set()
            tokens = two.release(program)
            await answer.wait()
            return tokens

        one.request_release = release
        caller = asyncio.create_task(one.reserve("p", budget, TURN_TOKENS))
        await asked.wait()
        caller.cancel()
        await asyncio.gather(caller, return_exceptions=True)
        answer.set()
        await asyncio.sleep(0.01)
        await run_turn(one, budget, TURN_TOKENS)
        assert log.total_drawn() == budget
