"""Crashes of endpoints in the log."""

import json
import random

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import LogUnavailable, RecordError
from eelgrasslock.failures.crash_records import (
    TOPIC,
    CrashRecord,
    CrashRecords,
    decode_crash_record,
    make_key,
)
from eelgrasslock.log.keyed_log import KeyedRecord
from eelgrasslock.scheduling.quarantine import SUSPECT_EXPIRY_SECONDS, Quarantine


class KeyedTopic:
    """A keyed topic in memory that all daemons follow at once."""

    def __init__(self):
        self.followers = []
        self.values = {}
        self.is_down = False
        self.writes = 0

    async def put_all(self, topic, items):
        assert topic == TOPIC
        if self.is_down:
            raise LogUnavailable("down")
        self.writes += 1
        for key, value in items:
            self.values[key] = value
            if not value:
                del self.values[key]
            for follower in self.followers:
                follower.apply((KeyedRecord(key=key, value=value),))

    def records(self):
        items = self.values.items()
        return tuple(KeyedRecord(key=key, value=value) for key, value in items)


class Member:
    """The quarantine of one daemon, and its records."""

    def __init__(self, topic, clock, name):
        self.quarantine = Quarantine()
        self.records = CrashRecords(
            topic, self.quarantine, name, clock, random.Random(1)
        )
        self.records.replace_all(topic.records())
        topic.followers.append(self.records)

    async def crash(self, *digests):
        self.quarantine.record_crash(list(digests), 1.0)
        await self.records.flush()

    async def succeed(self, digest):
        self.quarantine.record_success(digest)
        await self.records.flush()


@pytest.fixture
def topic():
    return KeyedTopic()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def join(topic, clock):
    return lambda name: Member(topic, clock, name)


class TestRemembering:
    async def test_a_daemon_that_starts_later_counts_the_crashes_of_all(self, join):
        await join("a").crash("d")
        await join("b").crash("d")
        assert join("c").quarantine.is_quarantined("d")

    async def test_a_crash_that_heartbeats_report_too_counts_once(self, join):
        one, other = join("a"), join("b")
        await one.crash("d")
        other.quarantine.update_peer("a", ("d",))
        assert other.quarantine.crash_count("d") == 1
        other.quarantine.remove_peer("a")
        assert other.quarantine.crash_count("d") == 1
        other.quarantine.update_peer("a", ("d",))
        assert other.quarantine.crash_count("d") == 1

    async def test_the_suspects_of_one_crash_are_written_in_one_call(self, join, topic):
        await join("a").crash("d1", "d2", "d3")
        assert topic.writes == 1
        assert len(topic.values) == 3

    async def test_a_crash_in_an_outage_is_written_after_it(self, join, topic):
        one = join("a")
        topic.is_down = True
        with pytest.raises(LogUnavailable):
            await one.crash("d")
        topic.is_down = False
        await one.records.flush()
        assert join("b").quarantine.is_suspect("d")


class TestClearing:
    async def test_a_success_clears_the_crashes_that_all_saw(self, join, topic):
        one, other = join("a"), join("b")
        await one.crash("d")
        await other.succeed("d")
        assert not topic.values
        for member in (one, other, join("c")):
            assert not member.quarantine.is_suspect("d")

    async def test_a_crash_after_a_success_counts_again(self, join):
        one, other = join("a"), join("b")
        await one.crash("d")
        await other.succeed("d")
        await one.crash("d")
        assert other.quarantine.crash_count("d") == 1
        assert one.quarantine.crash_count("d") == 1

    async def test_a_crash_that_is_not_read_back_yet_is_not_cleared(self, join, topic):
        """The removal of an older record arrives after a newer one was written."""
        one = join("a")
        await one.crash("d")
        topic.followers.clear()
        one.quarantine.record_crash(["d"], 2.0)
        await one.records.flush()
        key = make_key("d", "a")
        older = CrashRecord(digest="d", author="a", crashes=1, at=0.25)
        one.records.apply((KeyedRecord(key=key, value=older.encode()),))
        one.records.apply((KeyedRecord(key=key, value=b""),))
        assert one.quarantine.crash_count("d") == 2

    async def test_a_crash_that_is_not_written_yet_is_not_cleared(self, join, topic):
        one, other = join("a"), join("b")
        await one.crash("d")
        one.quarantine.record_crash(["d"], 2.0)
        await other.succeed("d")
        assert one.quarantine.crash_count("d") == 2
        await one.records.flush()
        assert other.quarantine.crash_count("d") == 2

    async def test_a_removal_that_the_log_did_not_take_is_repeated(self, join, topic):
        """The own record had not been read back when the request completed."""
        one = join("a")
        followers, topic.followers = topic.followers, []
        await one.crash("d")
        topic.is_down = True
        with pytest.raises(LogUnavailable):
            await one.succeed("d")
        topic.is_down, topic.followers = False, followers
        await one.records.flush()
        assert not topic.values

    async def test_a_report_that_was_withdrawn_hides_no_later_crash(self):
        """A cleared number stayed, so that the next crash did not count."""
        quarantine = Quarantine()
        quarantine.update_peer("a", ("d",))
        quarantine.record_success("d")
        quarantine.update_peer("a", ())
        quarantine.update_peer("a", ("d",))
        assert quarantine.crash_count("d") == 1

    async def test_records_of_long_ago_are_removed(self, join, topic, clock):
        one, other = join("a"), join("b")
        await one.crash("d")
        clock.advance(SUSPECT_EXPIRY_SECONDS + 1.0)
        await other.records.expire()
        assert not topic.values
        assert not other.quarantine.is_suspect("d")


class TestIndex:
    """The count of a digest is looked up for each call; it must not cost by daemon."""

    def test_it_holds_no_digest_without_a_crash(self):
        quarantine = Quarantine()
        for number in range(400):
            quarantine.update_peer(f"peer {number}", (f"d{number % 7}",))
            quarantine.load_record(f"peer {number}", "d", 1)
        assert len(quarantine.suspects()) == 8
        assert quarantine.crash_count("d") == 400
        for number in range(400):
            quarantine.update_peer(f"peer {number}", ())
            quarantine.load_record(f"peer {number}", "d", 0)
        assert not quarantine.evidence.authors_by_digest
        assert quarantine.crash_count("d") == 0

    def test_daemons_that_departed_long_ago_are_forgotten(self):
        quarantine = Quarantine()
        for number in range(1_200):
            quarantine.update_peer(f"peer {number}", ("d",))
            quarantine.remove_peer(f"peer {number}")
        assert quarantine.crash_count("d") == 1_000
        assert len(quarantine.evidence.by_author) == 1_000


class TestForeignRecords:
    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("no separator", b"{}"),
            ("/a", b"{}"),
            ("d/a", b"not json"),
            ("d/a", b"[]"),
            ("d/a", b'{"crashes": 1}'),
            ("d/a", b'{"crashes": true, "at": 0}'),
            ("d/a", b'{"crashes": 1e999, "at": 0}'),
            ("d/a", b'{"crashes": 5, "at": "x"}'),
            ("d/a", b'{"crashes": -1, "at": 0}'),
            ("d/a", json.dumps({"crashes": 1, "at": 10**400}).encode()),
            ("d/a", b"[" * 200_000),
        ],
    )
    async def test_they_are_left_out_one_by_one(self, join, key, value):
        with pytest.raises(RecordError):
            decode_crash_record(KeyedRecord(key=key, value=value))
        member = join("b")
        good = CrashRecord(digest="d", author="c", crashes=1, at=0.0)
        member.records.apply(
            (
                KeyedRecord(key=key, value=value),
                KeyedRecord(key=good.key, value=good.encode()),
            )
        )
        assert member.quarantine.crash_count("d") == 1
