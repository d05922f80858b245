"""Records of turns, the index of a partition, and the memory of a daemon."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrasslock.clock import ManualClock
from eelgrasslock.conversations.append_breaker import (
    MAX_RETRY_SECONDS,
    OPEN_AFTER_SECONDS,
    AppendBreaker,
)
from eelgrasslock.conversations.turn import Turn, TurnLink, turn_key
from eelgrasslock.conversations.turn_cache import TurnCache
from eelgrasslock.conversations.turn_codec import (
    MAX_PART_BYTES,
    decode_head,
    decode_turn,
    encode_turn,
)
from eelgrasslock.conversations.turn_index import TurnIndex, TurnPlace
from eelgrasslock.conversations.turn_log import TurnLog
from eelgrasslock.exceptions import RecordError
from eelgrasslock.log.partitioned_log import ANY_END
from memory_log import MemoryLog

LINK = TurnLink(id="r0", offset=3, size=70, stored_at=1_000.25)

# A turn as the first build that keeps turns wrote it. Later builds must read it.
RECORDED = (
    bytes.fromhex("01000000016156e39992d788e70000006e")
    + b'{"id":"r1","parent":"r0","endpoint":"e","ended_at":5.5,"input":2,"output":3,'
    b'"ancestors":[["r0",3,70,1000.25]]}'
    b"abcd\n"
)


def make_turn(**more):
    values = {
        "id": "r1",
        "parent": "r0",
        "endpoint": "e",
        "ended_at": 5.5,
        "input": b"ab",
        "output": b"cd\n",
        "ancestors": (LINK,),
        **more,
    }
    return Turn(**values)


def make_place(key, offset, holder="h", stored_at=1.0):
    return TurnPlace(key=key, offset=offset, size=1, holder=holder, stored_at=stored_at)


class TestCodec:
    @given(st.binary(max_size=50), st.binary(max_size=50), st.text(max_size=9))
    def test_a_turn_is_read_as_it_was(self, input, output, id):
        turn = make_turn(id=id, input=input, output=output)
        assert decode_turn(encode_turn(turn)) == turn

    @pytest.mark.parametrize("size", [MAX_PART_BYTES, 2 * MAX_PART_BYTES + 5])
    def test_a_long_turn_takes_several_records(self, size):
        turn = make_turn(input=b"x" * size)
        records = encode_turn(turn)
        assert len(records) > 1
        assert max(map(len, records)) <= 262_144
        assert decode_turn([*records, b"another record"]) == turn
        with pytest.raises(RecordError):
            decode_turn(records[:-1])
        with pytest.raises(RecordError):
            decode_turn(records[1:])

    def test_recorded_bytes_are_read_and_written_alike(self):
        assert encode_turn(make_turn()) == [RECORDED]
        assert decode_turn([RECORDED]) == make_turn()
        assert decode_head(RECORDED).key == turn_key("r1")

    def test_keys_of_a_later_build_are_ignored(self):
        record = encode_turn(make_turn())[0]
        later = record.replace(b'"parent"', b'"later":1,"parent"')
        length = len(later) - len(record)
        place = len(b"\x01") + 2 + 2 + 8
        old = int.from_bytes(later[place : place + 4], "big")
        later = later[:place] + (old + length).to_bytes(4, "big") + later[place + 4 :]
        assert decode_turn([later]) == make_turn()

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\x01",
            b"\x02" + RECORDED[1:],
            RECORDED[:-1],
            RECORDED + b"x",
            RECORDED[:17] + b"[" + RECORDED[18:],
            RECORDED.replace(b'"id"', b'"di"'),
        ],
    )
    def test_other_bytes_are_an_error(self, data):
        with pytest.raises(RecordError):
            decode_turn([data])


class TestIndex:
    def test_the_later_place_of_a_turn_counts(self):
        index = TurnIndex()
        for offset in (5, 9, 7):
            index.put(make_place(1, offset))
        assert index.find(1).offset == 9

    def test_a_holder_is_not_forgotten_by_a_read(self):
        index = TurnIndex()
        index.put(make_place(1, 5))
        index.put(make_place(1, 5, holder=""))
        assert index.find(1).holder == "h"

    def test_old_places_are_dropped_up_to_the_first_kept(self):
        index = TurnIndex()
        for number in range(4):
            index.put(make_place(number, number * 10, stored_at=float(number)))
        assert index.drop_older(2.0) == 20
        assert index.drop_older(2.0) is None
        assert len(index) == 2


class TestCache:
    def test_the_least_recently_used_turns_are_dropped(self):
        cache = TurnCache(3 * 1_500)
        for number in range(3):
            cache.put(make_turn(id=f"r{number}"), LINK, float(number))
        cache.find("r0", 3.0)
        cache.put(make_turn(id="r3"), LINK, 4.0)
        assert [id for id in ("r0", "r1", "r2", "r3") if cache.find(id, 5.0)] == [
            "r0",
            "r2",
            "r3",
        ]
        assert cache.memory_bytes <= 3 * 1_500

    def test_unused_turns_are_dropped(self):
        cache = TurnCache(1_000_000)
        for number in range(4):
            cache.put(make_turn(id=f"r{number}"), LINK, float(number))
        cache.drop_unused(2.0)
        assert len(cache) == 2

    def test_a_turn_over_the_limit_is_not_kept(self):
        cache = TurnCache(1_000)
        cache.put(make_turn(input=b"x" * 2_000), LINK, 1.0)
        assert len(cache) == 0
        assert cache.memory_bytes == 0


class TestLog:
    async def test_records_of_others_are_passed_over(self):
        log = MemoryLog()
        turns = TurnLog(log, 4)
        partition = turns.partition(turn_key("r1"))
        place = (partition.topic, partition.number)
        await log.append_at(*place, [b"no turn"], ANY_END)
        link = await turns.append(make_turn(), 7.0)
        await log.append_at(*place, [b"", b"\xff" * 40], ANY_END)
        index = TurnIndex()
        assert await turns.catch_up(index, partition, 1.0) == 3
        assert index.find(turn_key("r1")).offset == link.offset == 1
        assert await turns.read(link) == make_turn()

    async def test_another_record_at_the_place_is_an_error(self):
        log = MemoryLog()
        turns = TurnLog(log, 1)
        link = await turns.append(make_turn(), 7.0)
        wrong = TurnLink(id="r1", offset=link.offset + 5, size=10, stored_at=1.0)
        with pytest.raises(RecordError):
            await turns.read(wrong)


class TestBreaker:
    def test_it_opens_when_appends_fail_for_a_while(self):
        clock = ManualClock()
        breaker = AppendBreaker(clock)
        breaker.record_failure()
        assert not breaker.is_open
        clock.advance(1.1 * OPEN_AFTER_SECONDS)
        assert breaker.is_open
        clock.advance(60.0)
        assert breaker.retry_seconds == MAX_RETRY_SECONDS
        breaker.record_success()
        assert not breaker.is_open
