import asyncio
import random

import pytest

from eelgrasslock.clock import ManualClock, SystemClock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.record_codec import decode_batch
from fake_log import FakeLog, make_record, run_for

STREAM = "journal.a"


def tokens(fake):
    return [
        record.tokens
        for entry in fake.streams.get(STREAM, [])
        for record in decode_batch(entry.data)
    ]


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def fake(clock):
    return FakeLog(clock, step=3)


@pytest.fixture
async def writer(fake, clock):
    writer = LogWriter(fake, clock, random.Random(1))
    yield writer
    await writer.stop()


def tokens_of(entry):
    return [record.tokens for record in decode_batch(entry.data)]


class TestLostResponses:
    @pytest.mark.parametrize(
        ("switches", "copies"),
        [
            ({"lose_answers": 1}, 1),
            ({"lose_requests": 1}, 1),
            ({"lose_requests": 3}, 1),
            ({"late": 1}, 1),
            ({"refuse": True}, 1),
            ({"down": True}, 1),
            ({"lose_answers": 1, "retention": 1}, 1),
        ],
    )
    async def test_record_is_in_the_log_once(
        self, fake, clock, writer, switches, copies
    ):
        fake.put(STREAM, b"other")
        for name, value in switches.items():
            setattr(fake, name, value)
        task = asyncio.create_task(writer.append(STREAM, make_record(7)))
        await run_for(clock, 3.0)
        fake.down = fake.refuse = False
        await run_for(clock, 30.0)
        offset = await asyncio.wait_for(task, 5)
        (entry,) = (one for one in fake.streams[STREAM] if one.data != b"other")
        assert entry.offset == offset
        assert tokens_of(entry) == [7] * copies
        assert writer.available

    async def test_late_request_repeats_the_record_under_its_id(
        self, fake, clock, writer
    ):
        fake.late = 1
        record = make_record(7)
        task = asyncio.create_task(writer.append(STREAM, record))
        await run_for(clock, 10.0)
        await task
        fake.release_late()
        ids = [decode_batch(entry.data)[0].id for entry in fake.streams[STREAM]]
        assert ids == [record.id, record.id]


class TestTimeout:
    @pytest.mark.parametrize(
        ("switches", "error"),
        [
            ({"refuse": True}, LogUnavailable),
            ({"down": True}, LogUnavailable),
            ({"lose_requests": 99}, AppendUnresolved),
            ({"late": 99}, AppendUnresolved),
            ({"delay": 60.0}, AppendUnresolved),
        ],
    )
    async def test_the_error_shows_whether_the_outcome_is_known(
        self, fake, clock, writer, switches, error
    ):
        for name, value in switches.items():
            setattr(fake, name, value)
        task = asyncio.create_task(writer.append(STREAM, make_record(7), timeout=5.0))
        await run_for(clock, 6.0)
        with pytest.raises(error):
            await asyncio.wait_for(task, 5)

    @pytest.mark.parametrize("switch", ["refuse", "down"])
    async def test_a_record_that_failed_as_unavailable_is_never_appended(
        self, fake, clock, writer, switch
    ):
        setattr(fake, switch, True)
        task = asyncio.create_task(writer.append(STREAM, make_record(1), timeout=2.0))
        other = asyncio.create_task(writer.append(STREAM, make_record(2)))
        await run_for(clock, 3.0)
        with pytest.raises(LogUnavailable):
            await task
        setattr(fake, switch, False)
        await run_for(clock, 10.0)
        await other
        assert tokens(fake) == [2]

    async def test_the_record_of_a_cancelled_caller_is_not_appended(
        self, fake, clock, writer
    ):
        fake.refuse = True
        task = asyncio.create_task(writer.append(STREAM, make_record(1)))
        other = asyncio.create_task(writer.append(STREAM, make_record(2)))
        await run_for(clock, 1.0)
        task.cancel()
        fake.refuse = False
        await run_for(clock, 10.0)
        await other
        assert tokens(fake) == [2]

    async def test_unresolved_record_is_not_appended_again(self, fake, clock, writer):
        fake.lose_requests = 1
        fake.delay = 4.0
        task = asyncio.create_task(writer.append(STREAM, make_record(1), timeout=5.0))
        await run_for(clock, 30.0)
        with pytest.raises(AppendUnresolved):
            await task
        assert tokens(fake) == []


class TestGroupCommit:
    async def test_batches_records_during_an_append_and_keeps_order(
        self, fake, clock, writer
    ):
        fake.delay = 1.0
        tasks = []
        for number in range(50):
            tasks.append(
                asyncio.create_task(writer.append(STREAM, make_record(number)))
            )
            if number % 10 == 0:
                await run_for(clock, 0.25)
        await run_for(clock, 10.0)
        offsets = await asyncio.gather(*tasks)
        assert tokens(fake) == list(range(50))
        assert offsets == sorted(offsets)
        assert len(fake.streams[STREAM]) < 8

    async def test_order_is_kept_over_refusals_and_lost_responses(
        self, fake, clock, writer
    ):
        tasks = []
        for number in range(40):
            if number % 7 == 0:
                fake.lose_requests += 1
            if number % 11 == 0:
                fake.lose_answers += 1
            fake.refuse = number % 5 == 0
            tasks.append(
                asyncio.create_task(writer.append(STREAM, make_record(number)))
            )
            await run_for(clock, 0.25)
        fake.refuse = False
        await run_for(clock, 60.0)
        await asyncio.gather(*tasks)
        assert tokens(fake) == list(range(40))

    async def test_keeps_its_share_of_the_rate_limit(self, fake, clock):
        writer = LogWriter(fake, clock, random.Random(1), appends_per_second=2.0)
        tasks = []
        for number in range(100):
            for stream in ("journal.a", "journal.b", "members"):
                append = writer.append(stream, make_record(number))
                tasks.append(asyncio.create_task(append))
            await run_for(clock, 0.25)
        await run_for(clock, 10.0)
        await asyncio.gather(*tasks)
        assert fake.appends <= 2.0 * 36 + 2
        await writer.stop()

    async def test_a_full_queue_rejects_appends(self, fake, clock, writer, monkeypatch):
        monkeypatch.setattr("eelgrasslock.log.log_writer._QUEUE_LIMIT_RECORDS", 3)
        fake.refuse = True
        tasks = [
            asyncio.create_task(writer.append(STREAM, make_record(number)))
            for number in range(3)
        ]
        await run_for(clock)
        with pytest.raises(LogUnavailable, match="full"):
            await writer.append(STREAM, make_record(3))
        await writer.stop()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(result, LogUnavailable) for result in results)


class TestAvailable:
    async def test_recovers_without_an_append(self, fake, clock, writer):
        fake.down = True
        task = asyncio.create_task(writer.append(STREAM, make_record(1), timeout=1.0))
        await run_for(clock, 2.0)
        with pytest.raises(LogUnavailable):
            await task
        assert not writer.available
        fake.down = False
        await run_for(clock, 5.0)
        assert writer.available

    async def test_backs_off_in_an_outage(self, fake, clock, writer):
        fake.refuse = True
        task = asyncio.create_task(writer.append(STREAM, make_record(1)))
        await run_for(clock, 60.0)
        assert fake.appends < 90
        task.cancel()

    async def test_stop_leaves_no_task(self, fake):
        writer = LogWriter(fake, SystemClock(), random.Random(1))
        await writer.append(STREAM, make_record(1))
        await writer.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}
