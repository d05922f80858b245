import asyncio
import random

import attrs
import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.controller import ConfigurationController
from eelgrasslock.configuration.publish import (
    Publication,
    Publisher,
    PublishUnresolved,
    VersionConflict,
)
from eelgrasslock.configuration.version_fold import copy_of, original_of
from eelgrasslock.exceptions import LogUnavailable, SettingsError
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.record_codec import encode_batch
from fake_config import FakeStream, FakeTail, FakeWriter, folder, version
from fake_log import FakeLog, settle

RETENTION = 1_000.0
BAD = {"10.yaml": "wrong: ["}


class Daemon:
    """A controller with its writer, tail and publisher."""

    def __init__(self, stream, clock=None, seed=1):
        self.clock = clock or ManualClock()
        self.writer = FakeWriter(stream)
        self.tail = FakeTail(stream)
        self.configuration = ConfigurationController(
            self.writer,
            self.tail,
            self.clock,
            random.Random(seed),
            retention_seconds=RETENTION,
        )
        self.tail.follow("config", self.configuration.apply)
        self.tail.on_gap("config", self.configuration.note_gap)
        self.publisher = Publisher(
            self.configuration, self.writer, self.tail, self.clock
        )

    def read(self):
        self.tail.pump()
        return self

    @property
    def in_force(self):
        record = self.configuration.record
        return record.id if record else None

    @property
    def latency(self):
        return self.configuration.current.weights.latency

    def publish(self, record_id, latency, replaces=None, author="ana"):
        replaces = (self.in_force or "") if replaces is None else replaces
        publication = Publication(
            id=record_id, author=author, files=folder(latency), replaces=replaces
        )
        return self.publisher.publish(publication)


@pytest.fixture
def stream():
    return FakeStream()


@pytest.fixture
def daemon(stream):
    return Daemon(stream)


def copy(record, in_force_at, time=1_000.0):
    return copy_of(record, in_force_at, time)


V1, V2, V3 = version(1), version(2, "v1"), version(3, "v2")
RIVAL_2 = version(2, "v1", "rival", folder(9), author="ben")
BAD_2 = version(2, "v1", "bad", BAD)
CASES = [
    ("one after the other", [V1, V2, V3], "v3"),
    ("racing operators: the second is void", [V1, V2, RIVAL_2], "v2"),
    ("racing operators, the other order", [V1, RIVAL_2, V2, V3], "rival"),
    ("racing for the first version", [V1, version(1, record_id="r")], "v1"),
    ("a retried publish is one version", [V1, V2, V2, V3], "v3"),
    ("a late duplicate changes nothing", [V1, V2, V3, V2, V1], "v3"),
    ("a version that doesn't check is no base", [V1, BAD_2, V2], "v2"),
    ("nothing follows what doesn't check", [V1, BAD_2, version(3, "bad")], "v1"),
    ("a wrong number is void", [V1, version(3, "v1", "v3")], "v1"),
    ("an old version published again is void", [V1, V2, version(3, "v1", "v3")], "v2"),
    ("a copy keeps the number", [V1, copy(V1, 0), V2], "v2"),
    ("a stale copy never reverts", [V1, V2, copy(V1, 0)], "v2"),
    ("a broken copy is passed over", [V1, copy(attrs.evolve(V2, files=BAD), 0)], "v1"),
]  # fmt: skip


class TestAcceptRule:
    @pytest.mark.parametrize(
        ("records", "expected"),
        [pytest.param(*case[1:], id=case[0]) for case in CASES],
    )
    def test_what_is_in_force(self, stream, daemon, records, expected):
        for record in records:
            stream.add(record)
        assert daemon.read().in_force == expected

    def test_verdicts(self, stream, daemon):
        for record in (V1, BAD_2, V2, RIVAL_2):
            stream.add(record)
        verdict = daemon.read().configuration.verdict
        outcomes = [verdict(one).outcome.value for one in ("bad", "v2", "rival")]
        assert outcomes == ["rejected", "accepted", "void"]
        assert verdict("unseen") is None

    @pytest.mark.parametrize("seed", range(20))
    def test_readers_agree_and_never_go_back(self, seed):
        """Random streams, with readers that start late and hear gossip."""
        rng = random.Random(seed)
        stream = FakeStream()
        witness = Daemon(stream)
        readers = [Daemon(stream)]
        history = []
        for offset in range(60):
            stream.add(random_record(rng, history, offset))
            history.append(witness.read().configuration.record)
            if rng.random() < 0.2:
                stream.first = max(stream.first, offset - 12)
                readers.append(Daemon(stream))
            for reader in readers:
                before = reader.configuration.version
                if rng.random() < 0.4:
                    reader.read()
                if rng.random() < 0.3:
                    gossip(rng.choice(readers), reader)
                assert reader.configuration.version >= before
                known = [record.id for record in history]
                assert reader.in_force in (None, *known)
        stream.add(copy(history[-1], len(history) - 1))
        assert {reader.read().in_force for reader in readers} == {witness.in_force}
        assert all(reader.configuration.fold.complete for reader in readers)


def random_record(rng, history, offset):
    """Return a record for an offset, given what was in force at each before."""
    new_id = f"at-{offset}"
    if not history:
        return version(1, "", new_id)
    current, place = history[-1], rng.randrange(len(history))
    kind = rng.choice(["next", "rival", "copy", "stale copy", "bad"])
    if kind == "next":
        return version(current.version + 1, current.id, new_id)
    if kind == "rival":
        old = history[place]
        return version(old.version + 1, old.id, new_id)
    if kind == "copy":
        return copy(current, len(history) - 1)
    if kind == "stale copy":
        return copy(history[place], place)
    return version(current.version + 1, current.id, new_id, BAD)


def gossip(source, target):
    if source.configuration.version:
        copied = source.configuration.make_copy()
        target.configuration.accept(encode_batch([copied]))


class TestRetention:
    def late(self, stream, records, first):
        for record in records:
            stream.add(record)
        stream.first = first
        return Daemon(stream).read()

    def test_a_copy_that_covers_the_gap_is_the_base(self, stream):
        records = [V1, V2, copy(V2, 1), version(3, "v2")]
        assert self.late(stream, records, 2).in_force == "v3"

    @pytest.mark.parametrize(
        "held",
        [[RIVAL_2, copy(V1, 0)], [copy(V1, 0), RIVAL_2]],
        ids=["rival first", "copy first"],
    )
    def test_a_hidden_winner_is_not_replaced_by_its_rival(self, stream, held):
        # v2 won and is dropped; its rival and a stale copy of v1 are still held.
        reader = self.late(stream, [V1, V2, *held], 2)
        assert reader.in_force == "v1"
        stream.add(V3)
        assert reader.read().in_force == "v1"
        stream.add(copy(V2, 1))
        assert reader.read().in_force == "v3"

    def test_what_a_copys_author_judged_is_not_judged_again(self, stream):
        # Its author read v2 as void or rejected, whatever this reader thinks.
        assert self.late(stream, [V1, V2, copy(V1, 1)], 1).in_force == "v1"

    def test_gossip_closes_the_gap(self, stream):
        witness = Daemon(stream)
        for record in (V1, V2, RIVAL_2):
            stream.add(record)
        witness.read()
        reader = self.late(stream, [], 2)
        assert reader.in_force is None
        gossip(witness, reader)
        assert reader.in_force == "v2"
        stream.add(V3)
        assert reader.read().in_force == "v3"

    def test_a_daemon_that_was_cut_off_catches_up(self, stream, daemon):
        stream.add(V1)
        daemon.read()
        for record in (V2, copy(V2, 1), V3, copy(V3, 3)):
            stream.add(record)
        stream.first = 3
        assert daemon.read().in_force == "v3"

    def test_kept_records_are_bounded(self, stream, daemon):
        stream.first = 1
        stream.add(V1)
        for number in range(300):
            stream.add(version(2, "v1", f"r{number}"))
        fold = daemon.read().configuration.fold
        assert len(fold._pending) == 100
        stream.add(copy(V1, 150))
        assert not daemon.read().configuration.fold.complete

    async def test_an_operator_starts_afresh_when_all_is_dropped(self, stream, daemon):
        stream.add(V1)
        stream.first = 1
        other = Daemon(stream)
        await daemon.publish("new", 5.0)
        assert (daemon.in_force, other.read().in_force) == ("new", "new")
        await other.publish("newer", 6.0)
        assert daemon.read().in_force == "newer"


class TestKeeping:
    async def test_one_copy_before_retention_drops_the_version(self, stream):
        clock = ManualClock()
        daemons = [Daemon(stream, clock, seed) for seed in range(5)]
        stream.add(V1)
        for one in daemons:
            one.read()
            one.configuration.keeper.start()
        for _ in range(100):
            await settle(clock, RETENTION / 100, 1.0)
            for one in daemons:
                one.read()
        copies = stream.records()[1:]
        # Two must always be held; the age of each is 0.3 to 0.4 of it.
        assert 2 <= len(copies) <= 4
        gaps = [b.time - a.time for a, b in zip([V1, *copies], copies, strict=False)]
        assert max(gaps) < RETENTION / 2
        assert {original_of(one).id for one in copies} == {"v1"}
        for one in daemons:
            await one.configuration.keeper.stop()

    async def test_waits_while_the_log_is_down(self, stream, daemon):
        stream.add(V1)
        daemon.read()
        daemon.configuration.keeper.start()
        stream.up = False
        await settle(daemon.clock, RETENTION, 10.0)
        assert len(stream.entries) == 1
        stream.up = True
        await settle(daemon.clock, RETENTION / 10, 10.0)
        assert len(stream.entries) == 2
        await daemon.configuration.keeper.stop()

    async def test_a_version_that_nobody_can_place_is_declared(self, stream, daemon):
        stream.add(V1)
        daemon.read()
        stream.add(version(7, "v6", "lost"))
        stream.first = 2
        daemon.read()
        daemon.configuration.keeper.start()
        await settle(daemon.clock, RETENTION * 1.1, 10.0)
        assert daemon.read().configuration.fold.complete
        await daemon.configuration.keeper.stop()


class TestGossip:
    def test_starts_while_the_log_is_down(self, stream, daemon):
        stream.add(V1)
        fresh = Daemon(FakeStream())
        changes = []
        fresh.configuration.on_change(changes.append)
        gossip(daemon.read(), fresh)
        gossip(daemon, fresh)
        assert fresh.in_force == "v1"
        assert changes == [daemon.configuration.current]

    def test_a_fresh_version_is_not_offered_yet(self, stream, daemon):
        stream.add(V1)
        assert daemon.read().configuration.offer() == b""
        daemon.clock.advance(10)
        other = Daemon(FakeStream())
        other.configuration.accept(daemon.configuration.offer())
        assert other.in_force == "v1"

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\xff",
            b"{}",
            encode_batch([V3]),
            encode_batch([copy(attrs.evolve(V3, files=BAD), 1)]),
            encode_batch([copy(V1, 0)]),
        ],
        ids=["empty", "garbage", "no list", "no copy", "bad files", "older"],
    )
    def test_offers_that_are_not_taken(self, stream, daemon, data):
        stream.add(V1)
        stream.add(V2)
        daemon.read().configuration.accept(data)
        assert daemon.in_force == "v2"

    def test_gossip_decides_no_race(self, stream, daemon):
        stream.add(V1)
        daemon.read()
        winner = Daemon(FakeStream())
        for record in (V1, V2):
            winner.tail.stream.add(record)
        gossip(winner.read(), daemon)
        stream.add(V2)
        stream.add(RIVAL_2)
        daemon.read()
        assert daemon.configuration.verdict("v2").outcome.value == "accepted"
        assert daemon.configuration.verdict("rival").outcome.value == "void"

    def test_a_callback_that_fails_stops_no_other(self, stream, daemon):
        seen = []
        daemon.configuration.on_change(lambda configuration: 1 / 0)
        daemon.configuration.on_change(seen.append)
        stream.add(V1)
        assert daemon.read().in_force == "v1"
        assert len(seen) == 1


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
        await settle(daemon.clock, 20.0)
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
        await settle(first.clock, 5.0)
        assert second.in_force == "three"

    async def test_a_hidden_winner_keeps_its_rival_out(self, start):
        stream = [V1, V2, copy(V1, 0), RIVAL_2]
        for record in stream:
            start.log.put("config", encode_batch([record]))
        witness = await start(1)
        await settle(witness.clock, 2.0)
        start.log.retention = 2
        del start.log.streams["config"][:-2]
        fresh = await start(2)
        await settle(witness.clock, 2.0)
        assert (witness.in_force, fresh.in_force) == ("v2", "v1")
        gossip(witness, fresh)
        assert fresh.in_force == "v2"

    async def test_a_fresh_daemon_after_retention(self, start):
        first = await start(1)
        for number, name in enumerate(["one", "two", "three"]):
            await self.publish(first, name, number + 1.0)
        await settle(first.clock, RETENTION, 10.0)
        start.log.retention = 2
        del start.log.streams["config"][:-2]
        fresh = await start(2)
        await settle(first.clock, 5.0)
        assert fresh.in_force == "three"
        assert (await self.publish(fresh, "four", 4.0)).version == 4
        assert first.in_force == "four"

    async def test_a_fresh_daemon_that_sees_only_a_fresh_start(self, start):
        start.log.put("config", encode_batch([RIVAL_2]))
        first = await start(1)
        await settle(first.clock, 5.0)
        assert (await self.publish(first, "new", 1.0)).version == 3
        del start.log.streams["config"][:-1]
        start.log.retention = 2
        other = await start(2)
        await settle(first.clock, 5.0)
        assert (await self.publish(other, "newer", 2.0)).version == 4
        assert first.in_force == "newer"

    async def test_a_fresh_daemon_that_sees_only_changes(self, start):
        first = await start(1)
        await self.publish(first, "one", 1.0)
        await self.publish(first, "two", 2.0)
        del start.log.streams["config"][:-1]
        start.log.retention = 2
        fresh = await start(2)
        await settle(first.clock, 5.0)
        assert fresh.in_force is None
        gossip(first, fresh)
        assert fresh.in_force == "two"
        assert (await self.publish(fresh, "three", 3.0)).version == 3
        assert first.in_force == "three"


RIVAL_2_OF_FIRST = version(2, "first", "rival", folder(9), author="ben")
