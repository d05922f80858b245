"""Whether a follower's state lacks a record, asked of the log."""

import asyncio
import random

import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.exceptions import LogUnavailable
from eelgrasslock.log.keyed_follower import KeyedFollower
from eelgrasslock.log.keyed_log import KeyedChanges, KeyedRecord, KeyedSnapshot
from eelgrasslock.log.read_schedule import ReadSchedule

PAUSE_SECONDS = 20.0
CONFIRM_SECONDS = 1.0


class KeyedTopic:
    """A log with one topic.

    `up`: if false, all calls fail. `answer_seconds`: how long an answer takes.
    """

    def __init__(self):
        self.records = []
        self.up = True
        self.answer_seconds = 0.0
        self.questions = 0

    async def snapshot(self, topic, answer_seconds):
        return KeyedSnapshot(records=(), end=0)

    async def changes(self, topic, offset, wait_seconds, answer_seconds):
        self.questions += 1
        await asyncio.sleep(self.answer_seconds)
        if not self.up:
            raise LogUnavailable("down")
        records = tuple(self.records[offset:])
        return KeyedChanges(records=records, end=offset + len(records))


class Keys:
    """A state that holds the keys in the order of their records."""

    def __init__(self):
        self.keys = []

    def replace_all(self, records):
        self.keys = [one.key for one in records]

    def apply(self, records):
        self.keys += [one.key for one in records]

    def set_log_unavailable(self, unavailable, read_sent_at):
        """Ignore the log's availability."""


@pytest.fixture
async def follower():
    schedule = ReadSchedule(wait_seconds=0.0, pause_seconds=PAUSE_SECONDS)
    one = KeyedFollower(
        KeyedTopic(), "keyed.one", Keys(), SystemClock(), random.Random(1), schedule
    )
    running = asyncio.create_task(one.run())
    while one.offset is None:  # noqa: ASYNC110
        await asyncio.sleep(0.001)
    yield one
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


class TestConfirm:
    async def test_a_state_that_lacks_nothing_is_confirmed(self, follower):
        before = follower.clock.monotonic()
        assert await follower.confirm(CONFIRM_SECONDS)
        assert follower.confirmed_at >= before

    async def test_records_are_applied_once_and_in_order_before_it(self, follower):
        """Guards against views that lack what others have acted on."""
        numbers = range(6)
        follower.log.records += [KeyedRecord(key=f"{n}", value=b"v") for n in numbers]
        confirmed = [follower.confirm(CONFIRM_SECONDS) for _ in range(3)]
        assert all(await asyncio.gather(*confirmed))
        assert follower.state.keys == [f"{n}" for n in numbers]

    async def test_it_is_not_without_the_log(self, follower):
        follower.log.up = False
        assert not await follower.confirm(CONFIRM_SECONDS)

    async def test_it_is_not_by_an_answer_that_comes_too_late(self, follower):
        follower.log.answer_seconds = 0.5
        assert not await follower.confirm(0.1)

    async def test_one_question_serves_all_that_wait(self, follower):
        follower.log.answer_seconds = 0.02
        before = follower.log.questions
        confirmed = [follower.confirm(CONFIRM_SECONDS) for _ in range(50)]
        assert all(await asyncio.gather(*confirmed))
        assert follower.log.questions - before <= 2

    async def test_a_question_from_before_the_call_does_not_count(self, follower):
        follower.log.answer_seconds = 0.05
        first = asyncio.create_task(follower.confirm(CONFIRM_SECONDS))
        await asyncio.sleep(0.02)
        before = follower.clock.monotonic()
        assert await follower.confirm(CONFIRM_SECONDS)
        assert follower.confirmed_at >= before
        assert await first
