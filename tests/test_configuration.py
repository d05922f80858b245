"""Which version of the configuration is in force, whatever comes when."""

import random

import attrs
import pytest

from configuration_daemon import (
    BAD,
    RETENTION,
    RIVAL_2,
    V1,
    V2,
    V3,
    Daemon,
    copy,
    gossip,
)
from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.version_fold import original_of
from eelgrasslock.log.record_codec import encode_batch
from fake_config import FakeStream, version
from fake_log import run_for


@pytest.fixture
def stream():
    return FakeStream()


@pytest.fixture
def daemon(stream):
    return Daemon(stream)


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
            await run_for(clock, RETENTION / 100, 1.0)
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
        await run_for(daemon.clock, RETENTION, 10.0)
        assert len(stream.entries) == 1
        stream.up = True
        await run_for(daemon.clock, RETENTION / 10, 10.0)
        assert len(stream.entries) == 2
        await daemon.configuration.keeper.stop()

    async def test_a_version_that_nobody_can_place_is_declared(self, stream, daemon):
        stream.add(V1)
        daemon.read()
        stream.add(version(7, "v6", "lost"))
        stream.first = 2
        daemon.read()
        daemon.configuration.keeper.start()
        await run_for(daemon.clock, RETENTION * 1.1, 10.0)
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
