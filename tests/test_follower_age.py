"""The age of what a daemon believes of a topic, with each delay at its worst moment.

A record must be applied within the bound that the settings give, whichever single
read hears nothing, loses its answer, or finds its records expired.
"""

import asyncio
import contextlib
import random

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.log.keyed_follower import KeyedFollower
from eelgrasslock.log.read_schedule import schedule_for_bound
from topic_model import RecordingState, TopicModel, advance

BOUNDS = [2.0, 1.0]
# Moments of the record within a round of reads, as shares of the bound.
MOMENTS = [share / 20 for share in range(20)]


@contextlib.asynccontextmanager
async def followed(bound):
    clock = ManualClock()
    topic = TopicModel(clock)
    state = RecordingState(clock)
    follower = KeyedFollower(
        topic, "keyed.one", state, clock, random.Random(1), schedule_for_bound(bound)
    )
    task = asyncio.create_task(follower.run())
    await advance(clock, 3 * bound)
    try:
        yield topic, state, follower
    finally:
        task.cancel()


async def delay(topic, state, bound, moment):
    """Return after how many seconds a record is applied that comes at a moment."""
    clock = topic.clock
    written_at = clock.monotonic() + moment * bound
    topic.written_at.append(written_at)
    await advance(clock, 3 * bound)
    assert len(topic.written_at) - 1 in state.applied_at
    return state.applied_at[len(topic.written_at) - 1] - written_at


@pytest.mark.parametrize("bound", BOUNDS)
class TestDelayOfOneRecord:
    async def test_no_fault(self, bound):
        for moment in MOMENTS:
            async with followed(bound) as (topic, state, _):
                assert await delay(topic, state, bound, moment) < bound

    # A long poll without an answer was given up after 2.1 s.
    async def test_its_answer_is_lost(self, bound):
        for moment in MOMENTS:
            async with followed(bound) as (topic, state, follower):
                topic.lost_answers = 1
                assert await delay(topic, state, bound, moment) < 0.9 * bound
                assert not follower.unavailable

    async def test_its_long_poll_hears_nothing(self, bound):
        for moment in MOMENTS:
            async with followed(bound) as (topic, state, _):
                topic.deaf_until = topic.clock.monotonic() + 3 * bound
                assert await delay(topic, state, bound, moment) < 0.9 * bound

    async def test_its_long_poll_hears_nothing_and_the_next_is_lost(self, bound):
        for moment in MOMENTS:
            async with followed(bound) as (topic, state, _):
                topic.deaf_until = topic.clock.monotonic() + 3 * bound
                topic.lost_answers = 1
                assert await delay(topic, state, bound, moment) < 0.9 * bound

    async def test_the_history_expires_with_it(self, bound):
        for moment in MOMENTS:
            async with followed(bound) as (topic, state, _):
                topic.expires_at = topic.clock.monotonic() + moment * bound
                assert await delay(topic, state, bound, moment) < bound

    async def test_the_snapshot_after_an_expired_history_is_lost(self, bound):
        for moment in MOMENTS:
            async with followed(bound) as (topic, state, _):
                topic.expires_at = topic.clock.monotonic() + moment * bound
                topic.lost_answers = 1
                assert await delay(topic, state, bound, moment) < bound

    async def test_many_records_come_before_it(self, bound):
        for moment in MOMENTS:
            async with followed(bound) as (topic, state, _):
                topic.page_records = 10
                now = topic.clock.monotonic()
                topic.written_at += [now + moment * bound - 0.001] * 100
                assert await delay(topic, state, bound, moment) < bound


@pytest.mark.parametrize("bound", BOUNDS)
class TestAge:
    async def test_the_age_says_what_may_be_missing(self, bound):
        async with followed(bound) as (topic, state, follower):
            clock = topic.clock
            rng = random.Random(3)
            times = [clock.monotonic() + 0.3 * bound * one for one in range(60)]
            topic.written_at += [time + 0.2 * rng.random() for time in times]
            while clock.monotonic() < times[-1]:
                await advance(clock, 0.05 * bound)
                topic.lost_answers = int(rng.random() < 0.1)
                old = clock.monotonic() - follower.age()
                written = [at for at in topic.written_at if at < old]
                assert set(range(len(written))) <= state.applied_at.keys()

    async def test_a_single_loss_never_makes_it_older_than_its_use_allows(self, bound):
        async with followed(bound) as (topic, _, follower):
            topic.written_at.append(topic.clock.monotonic() + 0.1)
            topic.lost_answers = 1
            oldest = 0.0
            for _ in range(200):
                await advance(topic.clock, 0.02 * bound)
                oldest = max(oldest, follower.age())
            assert oldest <= follower.schedule.max_age_seconds


class TestOutage:
    async def test_one_failed_read_is_no_outage(self):
        async with followed(2.0) as (topic, _, follower):
            topic.written_at.append(topic.clock.monotonic() + 0.1)
            topic.lost_answers = 1
            await advance(topic.clock, 4.0)
            assert follower.outage_started_at() == float("inf")

    @pytest.mark.parametrize("seconds", [1.0, 2.0, 3.3, 5.0])
    async def test_the_end_of_an_outage_is_noticed_within_a_second(self, seconds):
        async with followed(2.0) as (topic, _, follower):
            now = topic.clock.monotonic()
            topic.silent_from, topic.silent_until = now, now + seconds
            await advance(topic.clock, seconds + 0.9)
            assert not follower.unavailable
            assert follower.age() < 1.0


class TestCalls:
    # Each call of the log has a price, and 82 daemons share its limit.
    async def test_a_calm_topic_takes_four_reads_in_three_seconds(self):
        async with followed(2.0) as (topic, _, _):
            calls = topic.calls
            await advance(topic.clock, 60.0)
            assert topic.calls - calls <= 80

    async def test_a_busy_topic_takes_no_more(self):
        async with followed(2.0) as (topic, _, _):
            now = topic.clock.monotonic()
            topic.written_at += [now + 0.1 * number for number in range(600)]
            calls = topic.calls
            await advance(topic.clock, 60.0)
            assert topic.calls - calls <= 120
