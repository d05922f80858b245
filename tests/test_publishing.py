"""Operators that publish versions of the configuration."""

import asyncio
import random

import pytest

from configuration_daemon import (
    BAD,
    RETENTION,
    RIVAL_2,
    RIVAL_2_OF_FIRST,
    V1,
    V2,
    Daemon,
    copy,
    gossip,
)
from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.controller import ConfigurationController
from eelgrasslock.configuration.publish import (
    Publication,
    Publisher,
    PublishUnresolved,
    VersionConflict,
)
from eelgrasslock.exceptions import LogUnavailable, SettingsError
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.record_codec import encode_batch
from fake_config import FakeStream, folder
from fake_log import FakeLog, run_for


@pytest.fixture
def stream():
    return FakeStream()


@pytest.fixture
def daemon(stream):
    return Daemon(stream)


class TestPublish:
    async def test_only_changes_are_appended(self, stream, daemon):
        await daemon.publish("first", 1.0)
        published = await daemon.publish("second", 2.0)
        assert (published.version, daemon.latency) == (2, 2.0)
        record = stream.records()[1]
        assert list(record.files) == ["50-weights.yaml"]
        assert list(daemon.configuration.record.files) == list(folder())

    async def test_a_removed_file_is_gone(self, stream, daemon):
        first = folder(**{"90.yaml": "quarantined: [x]"})
        await daemon.publisher.publish(
            Publication(id="first", author="ana", files=first, replaces="")
        )
        await daemon.publish("second", 1.0)
        assert daemon.configuration.current.quarantined == []

    async def test_the_second_operator_hears_of_the_first(self, stream, daemon):
        await daemon.publish("first", 1.0)
        other = Daemon(stream).read()
        await daemon.publish("anas", 2.0)
        with pytest.raises(VersionConflict) as caught:
            await other.publish("bens", 3.0, replaces="first", author="ben")
        assert (caught.value.version, caught.value.author) == (2, "ana")
        assert len(stream.entries) == 2

    async def test_a_race_that_only_the_stream_decides(self, stream, daemon):
        await daemon.publish("first", 1.0)
        append = daemon.writer.append

        async def append_second(name, record, timeout=None):
            stream.add(RIVAL_2_OF_FIRST)
            return await append(name, record, timeout)

        daemon.writer.append = append_second
        with pytest.raises(VersionConflict) as caught:
            await daemon.publish("late", 2.0)
        assert (caught.value.version, caught.value.author) == (2, "ben")

    async def test_a_lost_answer_tried_again_is_one_version(self, stream, daemon):
        await daemon.publish("first", 1.0)
        stream.lose_answers = True
        with pytest.raises(PublishUnresolved):
            await daemon.publish("second", 2.0, replaces="first")
        stream.lose_answers = False
        other = Daemon(stream)
        again = await other.publish("second", 2.0, replaces="first")
        assert (again.id, again.version, len(stream.entries)) == ("second", 2, 2)

    async def test_a_retry_after_another_version_still_counts(self, stream, daemon):
        await daemon.publish("first", 1.0)
        await daemon.publish("second", 2.0)
        again = await daemon.publish("first", 1.0, replaces="")
        assert again.version == 1
        assert daemon.in_force == "second"

    async def test_nothing_is_published_while_the_log_is_down(self, stream, daemon):
        stream.up = False
        with pytest.raises(LogUnavailable):
            await daemon.publish("first", 1.0)
        assert stream.entries == []

    async def test_findings_are_not_published(self, stream, daemon):
        publication = Publication(id="x", author="ana", files=BAD, replaces="")
        with pytest.raises(SettingsError):
            await daemon.publisher.publish(publication)
        assert stream.entries == []


class TestOverTheLog:
    """With the writer and the tail that daemons have."""

    @pytest.fixture
    async def start(self):
        log, started = FakeLog(ManualClock(), step=2), []

        async def start(seed):
            daemon = Daemon(FakeStream(), log.clock, seed)
            daemon.writer = LogWriter(log, log.clock, random.Random(seed))
            daemon.tail = LogTail(log, log.clock, random.Random(seed))
            parts = daemon.writer, daemon.tail, log.clock
            daemon.configuration = ConfigurationController(
                *parts, random.Random(seed), retention_seconds=RETENTION
            )
            daemon.publisher = Publisher(daemon.configuration, *parts)
            controllers = daemon.configuration, daemon.writer, daemon.tail
            for controller in controllers:
                await controller.start()
            started.extend(controllers)
            return daemon

        start.log = log
        yield start
        for controller in started:
            await controller.stop()

    async def publish(self, daemon, *arguments):
        task = asyncio.create_task(daemon.publish(*arguments))
        await run_for(daemon.clock, 20.0)
        return await task

    async def test_faults_of_the_log_while_publishing(self, start):
        first, second = await start(1), await start(2)
        start.log.lose_answers = start.log.lose_requests = 1
        assert (await self.publish(first, "one", 1.0)).version == 1
        start.log.duplicate = 1
        assert (await self.publish(second, "two", 2.0)).version == 2
        assert (first.in_force, second.in_force) == ("two", "two")
        start.log.down = True
        with pytest.raises(LogUnavailable):
            await self.publish(first, "three", 3.0)
        start.log.down = False
        assert (await self.publish(first, "three", 3.0)).version == 3
        await run_for(first.clock, 5.0)
        assert second.in_force == "three"

    async def test_a_hidden_winner_keeps_its_rival_out(self, start):
        stream = [V1, V2, copy(V1, 0), RIVAL_2]
        for record in stream:
            start.log.put("config", encode_batch([record]))
        witness = await start(1)
        await run_for(witness.clock, 2.0)
        start.log.retention = 2
        del start.log.streams["config"][:-2]
        fresh = await start(2)
        await run_for(witness.clock, 2.0)
        assert (witness.in_force, fresh.in_force) == ("v2", "v1")
        gossip(witness, fresh)
        assert fresh.in_force == "v2"

    async def test_a_fresh_daemon_after_retention(self, start):
        first = await start(1)
        for number, name in enumerate(["one", "two", "three"]):
            await self.publish(first, name, number + 1.0)
        await run_for(first.clock, RETENTION, 10.0)
        start.log.retention = 2
        del start.log.streams["config"][:-2]
        fresh = await start(2)
        await run_for(first.clock, 5.0)
        assert fresh.in_force == "three"
        assert (await self.publish(fresh, "four", 4.0)).version == 4
        assert first.in_force == "four"

    async def test_a_fresh_daemon_that_sees_only_a_fresh_start(self, start):
        start.log.put("config", encode_batch([RIVAL_2]))
        first = await start(1)
        await run_for(first.clock, 5.0)
        assert (await self.publish(first, "new", 1.0)).version == 3
        del start.log.streams["config"][:-1]
        start.log.retention = 2
        other = await start(2)
        await run_for(first.clock, 5.0)
        assert (await self.publish(other, "newer", 2.0)).version == 4
        assert first.in_force == "newer"

    async def test_a_fresh_daemon_that_sees_only_changes(self, start):
        first = await start(1)
        await self.publish(first, "one", 1.0)
        await self.publish(first, "two", 2.0)
        del start.log.streams["config"][:-1]
        start.log.retention = 2
        fresh = await start(2)
        await run_for(first.clock, 5.0)
        assert fresh.in_force is None
        gossip(first, fresh)
        assert fresh.in_force == "two"
        assert (await self.publish(fresh, "three", 3.0)).version == 3
        assert first.in_force == "three"
