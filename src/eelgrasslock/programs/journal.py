"""The fold of a failure domain's journal into the state of its programs."""

from collections import OrderedDict
from collections.abc import Callable

from eelgrasslock.exceptions import RecordError
from eelgrasslock.log.records import PositionedRecord, Record
from eelgrasslock.programs.journal_records import ProgramCreated, ProgramSnapshot
from eelgrasslock.programs.program import Program, decode_program, program_from_creation
from eelgrasslock.programs.record_rules import (
    ApplyResult,
    applied_result,
    apply_record,
    rejected_result,
)

_MAX_APPLY_RESULTS = 20_000
_MAX_TOMBSTONES = 20_000


class Journal:
    """The programs of one failure domain, as its journal tells them.

    Every reader of the same prefix has the same state, but for what a reader
    that starts in mid-stream can't know. Such a reader learns a program from
    its next snapshot.

    Attributes
    ----------
    programs : dict of str to Program
        Programs that have not ended, by id.
    floor : int
        Offset up to which an unknown program may have ended unnoticed.
    on_ended : list of callables
        Called with each program that ends.
    on_endpoint_changed : list of callables
        Called with each program whose turn ran elsewhere than the one before,
        and the endpoint that it left.
    """

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}
        self.incomplete_until = -1
        self.on_ended: list[Callable[[Program], None]] = []
        self.on_endpoint_changed: list[Callable[[Program, str], None]] = []
        self._tombstones: OrderedDict[str, Program] = OrderedDict()
        self._apply_results: OrderedDict[str, ApplyResult] = OrderedDict()
        self._unknown_programs: OrderedDict[str, int] = OrderedDict()
        self._started = False

    def apply(self, positioned: PositionedRecord) -> None:
        """Fold the next record."""
        self._note_first_offset(positioned.offset)
        record = positioned.record
        if record.id in self._apply_results:
            return
        apply_result = self._apply_record(record, positioned.offset)
        self._apply_results[record.id] = apply_result
        if len(self._apply_results) > _MAX_APPLY_RESULTS:
            self._apply_results.popitem(last=False)

    def program(self, program: str) -> Program | None:
        """Return a live or recently ended program."""
        return self.programs.get(program) or self._tombstones.get(program)

    def apply_result(self, record_id: str) -> ApplyResult | None:
        """Return whether a record counts, or None if it was not read yet."""
        return self._apply_results.get(record_id)

    def reset(self, offset: int) -> None:
        """Forget all programs, since records before an offset were missed."""
        self.programs.clear()
        self._tombstones.clear()
        self._unknown_programs.clear()
        self.incomplete_until = max(self.incomplete_until, offset - 1)

    def _note_first_offset(self, offset: int) -> None:
        if not self._started:
            self.incomplete_until = max(self.incomplete_until, offset - 1)
            self._started = True

    def _apply_record(self, record: Record, offset: int) -> ApplyResult:
        if isinstance(record, ProgramCreated):
            return self._apply_creation(record, offset)
        if isinstance(record, ProgramSnapshot):
            return self._apply_snapshot(record, offset)
        name = getattr(record, "program", "")
        program = self.program(name)
        if program is None:
            self._note_unknown_program(name, offset)
            return rejected_result("unknown_program")
        before = program.endpoint
        apply_result = apply_record(program, record, offset)
        if before and program.endpoint != before:
            for callback in self.on_endpoint_changed:
                callback(program, before)
        if apply_result.applied and program.ended:
            self._remove_ended(program, offset)
        return apply_result

    def _apply_creation(self, record: ProgramCreated, offset: int) -> ApplyResult:
        if self.program(record.program) is not None:
            return rejected_result("exists")
        try:
            program = program_from_creation(record, offset)
        except ValueError:
            return rejected_result("unreadable")
        if not program.ledger.limit.covers(program.ledger.drawn):
            return rejected_result("budget")
        if record.parent:
            reason = self._reserve_from_parent(record, program)
            if reason:
                return rejected_result(reason)
        self.programs[program.id] = program
        return applied_result()

    def _reserve_from_parent(self, record: ProgramCreated, child: Program) -> str:
        parent = self.programs.get(record.parent)
        if parent is None:
            return "parent_unknown"
        if parent.holder != record.author:
            return "parent_not_held"
        if not parent.ledger.can_reserve_for_child(child.ledger):
            return "parent_budget"
        parent.ledger.reserve_for_child(child.ledger)
        parent.children.append(child.id)
        return ""

    def _remove_ended(self, program: Program, offset: int) -> None:
        self.programs.pop(program.id, None)
        for child in list(program.children):
            self._end_child(child, program.active, offset)
        parent = self.programs.get(program.parent)
        if parent is not None:
            parent.ledger.release_child(program.ledger)
            parent.children.remove(program.id)
        for callback in self.on_ended:
            callback(program)
        program.discard_history()
        self._tombstones[program.id] = program
        if len(self._tombstones) > _MAX_TOMBSTONES:
            _, oldest = self._tombstones.popitem(last=False)
            self.incomplete_until = max(self.incomplete_until, oldest.updated)

    def _end_child(self, name: str, time: float, offset: int) -> None:
        child = self.programs.get(name)
        if child is None:
            return
        child.ledger.forfeit()
        child.ended = "parent_ended"
        child.active = max(child.active, time)
        child.updated = offset
        self._remove_ended(child, offset)

    def _note_unknown_program(self, name: str, offset: int) -> None:
        self._unknown_programs[name] = offset
        self._unknown_programs.move_to_end(name)
        if len(self._unknown_programs) > _MAX_TOMBSTONES:
            _, oldest = self._unknown_programs.popitem(last=False)
            self.incomplete_until = max(self.incomplete_until, oldest)

    def _apply_snapshot(self, record: ProgramSnapshot, offset: int) -> ApplyResult:
        """Judge a snapshot alike in readers that know the program or don't."""
        known = self.program(record.program)
        if known is not None:
            if known.ended or known.updated > record.as_of:
                return rejected_result("newer_state_known")
            known.based = max(known.based, record.time)
            return applied_result()
        if record.as_of < max(
            self.incomplete_until, self._unknown_programs.get(record.program, -1)
        ):
            return rejected_result("newer_state_possible")
        return self._load_snapshot(record)

    def _load_snapshot(self, record: ProgramSnapshot) -> ApplyResult:
        try:
            program = decode_program(record.state)
        except RecordError:
            return rejected_result("unreadable")
        if program.id != record.program:
            return rejected_result("unreadable")
        program.based = max(program.based, record.time)
        self.programs[program.id] = program
        self._unknown_programs.pop(program.id, None)
        return applied_result()
