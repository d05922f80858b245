"""Refused turns during a log outage log the cause of the refusal."""

import pytest
from loguru import logger

from memory_log import TURN_TOKENS
from offline_group import (
    daemons_of,
    program_kept_in,
    start_fleet,
    turns_until_refused,
)


@pytest.fixture
def lines():
    lines = []
    sink = logger.add(lines.append, level="INFO", format="{message} {extra}")
    yield lines
    logger.remove(sink)


class TestKeepers:
    async def test_exceeding_the_limit_of_calls_is_logged(self, lines):
        fleet = await start_fleet()
        fleet.is_log_down = True
        daemon = daemons_of(fleet)[0]
        daemon.keepers.limiter.take_now(149)
        assert await turns_until_refused([daemon], 1_000, TURN_TOKENS, "p7") == 0
        assert any("Not asking 3 keepers" in line and "p7" in line for line in lines)

    async def test_keepers_that_do_not_answer_are_logged(self, lines):
        fleet = await start_fleet("abc", 2)
        program = program_kept_in(fleet, "b")
        fleet.cut_off.add("b")
        fleet.is_log_down = True
        daemons = daemons_of(fleet, "a")
        assert await turns_until_refused(daemons, 1_000, TURN_TOKENS, program) == 0
        wanted = "0 of 2 keepers in b took a draw without the log, 2 are needed"
        assert any(wanted in line and program in line for line in lines)

    async def test_a_daemon_that_caught_up_says_so(self, lines):
        fleet = await start_fleet()
        assert any("were given tokens without the log" in line for line in lines)
        assert all(one.keepers.transfer.is_informed for one in daemons_of(fleet))


class TestOfflineShare:
    async def test_a_used_up_share_is_logged_with_what_is_kept(self, lines):
        fleet = await start_fleet()
        fleet.is_log_down = True
        daemons = daemons_of(fleet)
        await turns_until_refused(daemons, 10 * TURN_TOKENS, TURN_TOKENS)
        used_up = [one for one in lines if "The share without the log is used" in one]
        assert used_up
        assert "'kept': {" in used_up[0]
