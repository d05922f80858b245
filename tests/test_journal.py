import pytest

from eelgrasslock.log.records import PositionedRecord
from eelgrasslock.programs.history import extend_digest, history_digest
from eelgrasslock.programs.journal import Journal
from eelgrasslock.programs.journal_records import (
    BudgetDrawn,
    BudgetSettled,
    ProgramClaimed,
    ProgramCreated,
    ProgramEnded,
    ProgramLimits,
    ProgramSnapshot,
    TurnCommitted,
)
from eelgrasslock.programs.program import encode_program

PROGRAM = "riga-a~a1~0"
LIMITS = ProgramLimits(tokens=100, turns=3, age=10.0)


def created(program=PROGRAM, author="a1", parent="", limits=LIMITS, **fields):
    return ProgramCreated(
        author=author,
        time=0.0,
        program=program,
        creation_key="",
        secret_digest="",
        parent=parent,
        limits=limits,
        **fields,
    )


def drawn(tokens, author="a1"):
    return BudgetDrawn(author=author, time=0.0, program=PROGRAM, tokens=tokens)


def settled(tokens, author="a1"):
    return BudgetSettled(author=author, time=0.0, program=PROGRAM, tokens=tokens)


def claimed(author, previous):
    return ProgramClaimed(author=author, time=0.0, program=PROGRAM, previous=previous)


def ended(author="a1", program=PROGRAM, **fields):
    return ProgramEnded(
        author=author, time=0.0, program=program, reason="finished", **fields
    )


def turn(number=0, before=(), tokens=10, author="a1", **changes):
    builds_on = history_digest(PROGRAM, list(before))
    added = [{"role": "user", "content": str(number)}]
    fields = {
        "turn": number,
        "builds_on": builds_on,
        "digest": extend_digest(builds_on, added),
        "messages": added,
        **changes,
    }
    return TurnCommitted(
        author=author,
        time=0.0,
        program=PROGRAM,
        request_digest="",
        answer={},
        tokens=tokens,
        **fields,
    )


def added_by(*turns):
    return [message for one in turns for message in one.messages]


def fold(records, journal=None, start=0):
    """Apply records and return the journal and the reasons why they are void."""
    journal = journal or Journal()
    reasons = []
    for offset, record in enumerate(records, start):
        journal.apply(PositionedRecord(offset, 0, record))
        apply_result = journal.apply_result(record.id)
        reasons.append("" if apply_result.applied else apply_result.reason)
    return journal, reasons


FIRST = turn()
SECOND = turn(1, added_by(FIRST))
THIRD = turn(2, added_by(FIRST, SECOND))
FOURTH = turn(3, added_by(FIRST, SECOND, THIRD))


class TestAcceptRules:
    @pytest.mark.parametrize(
        ("records", "reason"),
        [
            ([created()], "exists"),
            ([drawn(101)], "budget"),
            ([drawn(60), drawn(41)], "budget"),
            ([drawn(60), settled(60), drawn(41)], "budget"),
            ([drawn(60), drawn(40)], ""),
            ([drawn(1, "a2")], "superseded"),
            ([FIRST], ""),
            ([turn(1)], "turn"),
            ([turn(author="a2")], "superseded"),
            ([turn(builds_on="x")], "history"),
            ([turn(digest="x")], "digest"),
            ([FIRST, turn(1)], "history"),
            ([FIRST, SECOND], ""),
            ([FIRST, SECOND, THIRD, FOURTH], "turn_limit"),
            ([claimed("a2", "a3")], "superseded"),
            ([claimed("a2", "a1")], ""),
            ([claimed("a2", "a1"), claimed("a3", "a1")], "superseded"),
            ([claimed("a2", "a1"), FIRST], "superseded"),
            ([claimed("a2", "a1"), turn(author="a2")], ""),
            ([claimed("a2", "a1"), settled(1)], "superseded"),
            ([claimed("a2", "a1"), ended()], "superseded"),
            ([ended(), FIRST], "ended"),
            ([ended(), drawn(1)], "ended"),
            ([ended(), claimed("a2", "a1")], "ended"),
            ([ended(), created()], "exists"),
        ],
    )
    def test_last_record(self, records, reason):
        _, reasons = fold([created(), *records])
        assert reasons[-1] == reason

    @pytest.mark.parametrize(
        ("record", "reason"),
        [
            (drawn(1), "unknown_program"),
            (created(program="garbage"), "unreadable"),
            (created(drawn_tokens=101), "budget"),
            (created(parent="riga-a~a1~9"), "parent_unknown"),
        ],
    )
    def test_record_without_its_program(self, record, reason):
        journal, reasons = fold([record])
        assert reasons == [reason]
        assert not journal.programs

    def test_duplicate_changes_nothing(self):
        records = [created(), drawn(50), FIRST, settled(5)]
        once, _ = fold(records)
        twice, reasons = fold([one for one in records for _ in range(2)])
        assert reasons == [""] * 8
        ledgers = [one.program(PROGRAM).ledger for one in (once, twice)]
        assert ledgers[0] == ledgers[1]


class TestBudget:
    def test_claim_forfeits_the_former_holders_draw(self):
        records = [created(), drawn(50), FIRST, claimed("a2", "a1")]
        journal, _ = fold(records)
        ledger = journal.program(PROGRAM).ledger
        assert (ledger.spent.tokens, ledger.drawn.tokens) == (50, 0)
        assert ledger.forfeited.tokens == 40

    def test_use_beyond_the_draw_is_flagged(self):
        journal, _ = fold([created(), drawn(5), FIRST])
        ledger = journal.program(PROGRAM).ledger
        assert (ledger.spent.tokens, ledger.overdrawn) == (10, 1)

    @pytest.mark.parametrize(
        ("limits", "author", "reason"),
        [
            (ProgramLimits(tokens=90, turns=1, age=1.0), "a1", ""),
            (ProgramLimits(tokens=91, turns=1, age=1.0), "a1", "parent_budget"),
            (ProgramLimits(tokens=1, turns=1, age=1.0), "a2", "parent_not_held"),
            (ProgramLimits(tokens=1, turns=1, age=1.0, money=1.0), "a1", ""),
        ],
    )
    def test_share_of_a_child(self, limits, author, reason):
        child = created("riga-a~a1~1", author, PROGRAM, limits)
        _, reasons = fold([created(), drawn(10), child])
        assert reasons[-1] == reason

    def test_money_is_limited_apart_from_tokens(self):
        limits = ProgramLimits(tokens=100, turns=3, age=10.0, money=2.0)
        dear = BudgetDrawn(author="a1", time=0.0, program=PROGRAM, tokens=1, money=2.5)
        _, reasons = fold([created(limits=limits), dear])
        assert reasons[-1] == "budget"

    @pytest.mark.parametrize(("returned", "spent"), [(0, 30), (20, 10)])
    def test_childs_rest_returns_to_its_parent(self, returned, spent):
        child = created("riga-a~a1~1", "a1", PROGRAM, drawn_tokens=30)
        end = ended(program="riga-a~a1~1", returned_tokens=returned)
        parent = created(limits=ProgramLimits(tokens=200, turns=1, age=1.0))
        journal, _ = fold([parent, child, end])
        ledger = journal.program(PROGRAM).ledger
        assert (ledger.shared.tokens, ledger.spent.tokens) == (0, spent)


class TestSnapshot:
    def snapshot(self, journal, as_of, author="a1"):
        state = encode_program(journal.program(PROGRAM))
        return ProgramSnapshot(
            author=author, time=1.0, program=PROGRAM, state=state, as_of=as_of
        )

    def test_reader_in_mid_stream_takes_it_as_base(self):
        whole, _ = fold([created(), drawn(50), FIRST])
        later = [self.snapshot(whole, 2), SECOND, drawn(51), claimed("a2", "a1")]
        _, expected = fold(later, whole, 3)
        fresh, reasons = fold(later, start=3)
        assert reasons == expected == ["", "", "budget", ""]
        assert fresh.program(PROGRAM) == whole.program(PROGRAM)

    @pytest.mark.parametrize("since", [[SECOND], [claimed("a2", "a1")], [ended()]])
    def test_one_older_than_a_change_counts_for_nobody(self, since):
        whole, _ = fold([created(), drawn(50), FIRST])
        stale = self.snapshot(whole, 2)
        later = [*since, stale]
        _, expected = fold(later, whole, 3)
        fresh, reasons = fold(later, start=3)
        assert expected[-1] == "newer_state_known"
        assert reasons[-1] == "newer_state_possible"
        assert fresh.program(PROGRAM) is None

    def test_one_made_before_the_reader_started_is_no_base(self):
        whole, _ = fold([created(), drawn(50), FIRST])
        stale = self.snapshot(whole, 2)
        fresh, _ = fold([stale], start=9)
        assert fresh.program(PROGRAM) is None


class TestMemory:
    def test_ended_programs_leave_bounded_tombstones(self, monkeypatch):
        monkeypatch.setattr("eelgrasslock.programs.journal._MAX_TOMBSTONES", 5)
        monkeypatch.setattr("eelgrasslock.programs.journal._MAX_APPLY_RESULTS", 5)
        journal = Journal()
        for number in range(20):
            name = f"riga-a~a1~{number}"
            fold([created(name), ended(program=name)], journal, 2 * number)
        known = [journal.program(f"riga-a~a1~{number}") for number in range(20)]
        assert sum(program is not None for program in known) == 5
        assert known[-1].history == []
        assert journal.incomplete_until == 29

    def test_reader_that_missed_records_forgets_what_it_knew(self):
        journal, _ = fold([created(), FIRST])
        journal.reset(10)
        assert journal.program(PROGRAM) is None
        assert journal.incomplete_until == 9
