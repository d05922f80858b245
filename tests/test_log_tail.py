import asyncio
import json
import random

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import LogUnavailable
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.record_codec import encode_batch
from eelgrasslock.log.stream_reader import RecentIds
from fake_log import FakeLog, make_record, run_for

STREAM = "journal.a"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def fake(clock):
    return FakeLog(clock, step=2)


@pytest.fixture
async def tail(fake, clock):
    tail = LogTail(fake, clock, random.Random(1))
    yield tail
    await tail.stop()


@pytest.fixture
def seen(tail):
    seen = []
    tail.follow(STREAM, lambda one: seen.append(one.record.tokens))
    return seen


def put(fake, *numbers):
    return fake.put(STREAM, encode_batch([make_record(number) for number in numbers]))


class TestApplying:
    @pytest.mark.parametrize(
        "junk",
        [
            b"\xff\x00",
            b"{}",
            b"[1, null]",
            b"[]",
            json.dumps([{"v": 99, "kind": "BudgetDrawn", "body": {}}]).encode(),
            json.dumps([{"v": 1, "kind": "Unheard", "body": {}}]).encode(),
            json.dumps([{"v": 1, "kind": "BudgetDrawn", "body": {"x": 1}}]).encode(),
        ],
    )
    async def test_skips_invalid_records(self, fake, clock, tail, seen, junk):
        put(fake, 1)
        fake.put(STREAM, junk)
        put(fake, 2)
        await tail.start()
        await run_for(clock, 1.0)
        assert seen == [1, 2]

    async def test_drops_duplicates_across_entries(self, fake, clock, tail, seen):
        record = make_record(1)
        fake.put(STREAM, encode_batch([record, make_record(2), record]))
        fake.put(STREAM, encode_batch([make_record(3), record]))
        await tail.start()
        await run_for(clock, 1.0)
        assert seen == [1, 2, 3]

    async def test_a_failing_handler_does_not_stop_the_others(
        self, fake, clock, tail, seen
    ):
        def handler(one):
            raise ValueError("The handler fails.")

        tail.readers[STREAM].handlers.insert(0, handler)
        put(fake, 1, 2)
        await tail.start()
        await run_for(clock, 1.0)
        assert seen == [1, 2]
        assert tail.position(STREAM) == 0

    async def test_skips_expired_records(self, fake, clock, tail, seen):
        fake.retention = 2
        for number in range(6):
            put(fake, number)
        await tail.start()
        await run_for(clock, 1.0)
        assert seen == [4, 5]

    async def test_reads_pages_without_pause(self, fake, clock, tail, seen):
        for number in range(1000):
            put(fake, number)
        await tail.start()
        await run_for(clock)
        assert seen == list(range(1000))

    def test_remembered_ids_are_bounded(self):
        ids = RecentIds(limit=2)
        assert [ids.add(one) for one in "aabcab"] == [
            True,
            False,
            True,
            True,
            True,
            True,
        ]


class TestOutage:
    async def test_starts_while_the_log_is_down(self, fake, clock, tail, seen):
        fake.down = True
        await tail.start()
        await run_for(clock, 60.0)
        assert fake.reads < 120
        assert tail.failing(STREAM)
        put(fake, 1)
        fake.down = False
        await run_for(clock, 3.0)
        assert seen == [1]
        assert not tail.failing(STREAM)

    async def test_continues_after_any_error_of_the_client(
        self, fake, clock, tail, seen
    ):
        read = fake.read

        async def broken(stream, offset, limit):
            fake.read = read
            raise ZeroDivisionError

        fake.read = broken
        put(fake, 1)
        await tail.start()
        await run_for(clock, 3.0)
        assert seen == [1]


class TestWaiting:
    async def test_waiting_for_an_offset_starts_a_read(self, fake, clock, tail, seen):
        await tail.start()
        await run_for(clock)
        offset = put(fake, 1)
        task = asyncio.create_task(tail.wait_for_offset(STREAM, offset))
        await run_for(clock)
        assert task.done()
        assert seen == [1]

    async def test_catching_up_needs_a_read_that_started_later(
        self, fake, clock, tail, seen
    ):
        fake.delay = 1.0
        await tail.start()
        await run_for(clock)
        put(fake, 1)
        task = asyncio.create_task(tail.wait_until_caught_up(STREAM))
        await run_for(clock, 1.0)
        assert not task.done()
        assert seen == []
        await run_for(clock, 1.0)
        assert task.done()
        assert seen == [1]

    @pytest.mark.parametrize("wait", ["wait_for_offset", "wait_until_caught_up"])
    async def test_raises_at_the_timeout(self, fake, clock, tail, seen, wait):
        fake.down = True
        await tail.start()
        arguments = (STREAM, 5) if wait == "wait_for_offset" else (STREAM,)
        task = asyncio.create_task(getattr(tail, wait)(*arguments, timeout=2.0))
        await run_for(clock, 3.0)
        with pytest.raises(LogUnavailable):
            await task

    async def test_stop_fails_waiters(self, fake, clock, tail, seen):
        await tail.start()
        task = asyncio.create_task(tail.wait_for_offset(STREAM, 5))
        await run_for(clock)
        await tail.stop()
        with pytest.raises(LogUnavailable):
            await task
