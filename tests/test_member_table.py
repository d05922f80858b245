import random

import pytest

from eelgrasslock.exceptions import RecordError
from eelgrasslock.log.records import MemberRetired, PositionedRecord
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.programs.journal_records import BudgetDrawn
from peer_helpers import member


def retired(incarnation):
    return MemberRetired(author="x", time=0.0, incarnation=incarnation, reason="silent")


def table_of(*records):
    table = MemberTable()
    for offset, record in enumerate(records):
        table.apply(PositionedRecord(offset, 0, record))
    return table


def state(table):
    live = {one.incarnation for one in table.live()}
    return live, {f"m{n}-1" for n in range(9) if table.is_retired(f"m{n}-1")}


class TestMemberTable:
    @pytest.mark.parametrize(
        ("records", "live"),
        [
            ([], []),
            ([member("x")], ["x-1"]),
            ([member("x"), member("x")], ["x-1"]),
            ([member("x"), retired("x-1")], []),
            ([member("x"), retired("x-1"), member("x")], []),
            ([retired("x-1"), member("x")], []),
            ([member("x"), retired("x-1"), retired("x-1")], []),
            ([member("x"), retired("unheard-1")], ["x-1"]),
            (
                [member("x"), retired("x-1"), member("x", incarnation="x-2")],
                ["x-2"],
            ),
        ],
    )
    def test_live_members(self, records, live):
        assert [one.incarnation for one in table_of(*records).live()] == live

    def test_order_and_repeats_do_not_matter(self):
        records = [member(f"m{n}") for n in range(9)]
        records += [retired(f"m{n}-1") for n in range(0, 9, 2)]
        rng = random.Random(7)
        expected = state(table_of(*records))
        for _ in range(50):
            shuffled = records + rng.choices(records, k=5)
            rng.shuffle(shuffled)
            assert state(table_of(*shuffled)) == expected

    def test_merge_equals_applying_both(self):
        records = [member("m1"), member("m2"), retired("m1-1"), member("m3")]
        ahead, behind = table_of(*records), table_of(*records[:2])
        behind.merge(ahead.snapshot())
        assert state(behind) == state(ahead)
        assert behind.offset == ahead.offset
        ahead.merge(table_of(records[0]).snapshot())
        assert not ahead.find("m1-1")

    @pytest.mark.parametrize(
        "garbage", [b"", b"[]", b"{}", b'{"offset":1,"joined":[{}],"retired":[]}']
    )
    def test_invalid_snapshot_changes_nothing(self, garbage):
        table = table_of(member("x"))
        with pytest.raises(RecordError):
            table.merge(garbage)
        assert table.find("x-1")

    def test_domains_and_other_records(self):
        drawn = BudgetDrawn(author="a", time=0.0, program="p", tokens=1)
        table = table_of(member("x", "a"), member("y", "b"), drawn, retired("x-1"))
        assert table.domains() == ["b"]
        assert table.live("a") == []
        assert table.offset == 3

    def test_number_of_retired_is_bounded(self, monkeypatch):
        monkeypatch.setattr("eelgrasslock.peers.member_table._MAX_RETIRED", 3)
        table = table_of(*(retired(f"m{n}-1") for n in range(9)))
        assert state(table)[1] == {"m6-1", "m7-1", "m8-1"}
