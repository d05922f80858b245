from collections import Counter

import pytest

from eelgrasslock.programs.ownership import owner_of
from eelgrasslock.programs.program_ids import ProgramId
from peer_helpers import member
from test_member_table import retired, table_of

FLEET = [member(f"{domain}{n}", domain) for domain in "abc" for n in range(5)]


def programs(domain, creator, count=300):
    return [str(ProgramId(domain, creator, f"{n:x}")) for n in range(count)]


def owners(table, ids):
    return [owner_of(one, table) for one in ids]


class TestOwner:
    @pytest.mark.parametrize(
        ("gone", "creator", "domains"),
        [
            ([], "a0-1", {"a"}),
            (["a0-1"], "a0-1", {"a"}),
            (["a1-1"], "a0-1", {"a"}),
            ([], "unheard-1", {"a"}),
            ([f"a{n}-1" for n in range(5)], "a0-1", {"b", "c"}),
        ],
    )
    def test_falls_to_a_live_member(self, gone, creator, domains):
        table = table_of(*FLEET, *map(retired, gone))
        found = owners(table, programs("a", creator))
        assert {one.domain for one in found} == domains
        assert not {one.incarnation for one in found} & set(gone)
        if creator not in gone and creator != "unheard-1":
            assert {one.incarnation for one in found} == {creator}

    @pytest.mark.parametrize("text", ["", "no-id", "a~b", "~~"])
    def test_no_program_id_has_no_owner(self, text):
        assert owner_of(text, table_of(*FLEET)) is None

    def test_nobody_owns_in_an_empty_table(self):
        assert owner_of(programs("a", "a0-1")[0], table_of()) is None

    def test_same_for_each_reader_of_the_same_prefix(self):
        records = [*FLEET, retired("a0-1"), retired("a3-1")]
        ids = programs("a", "a0-1")
        forth, back = table_of(*records), table_of(*reversed(records))
        assert owners(forth, ids) == owners(back, ids)

    def test_retirement_moves_only_what_the_retired_owned(self):
        ids = programs("a", "a0-1")
        before = owners(table_of(*FLEET, retired("a0-1")), ids)
        after = owners(table_of(*FLEET, retired("a0-1"), retired("a2-1")), ids)
        moved = [
            old.incarnation
            for old, new in zip(before, after, strict=True)
            if old != new
        ]
        assert set(moved) == {"a2-1"}

    def test_orphans_spread_over_the_domain(self):
        found = owners(table_of(*FLEET, retired("a0-1")), programs("a", "a0-1", 2000))
        shares = Counter(one.incarnation for one in found).values()
        assert len(shares) == 4
        assert min(shares) > 400
