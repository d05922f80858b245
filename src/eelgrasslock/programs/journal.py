"""The fold of a failure domain's journal into the state of its programs."""

from collections import OrderedDict
from collections.abc import Callable

from eelgrasslock.exceptions import RecordError
from eelgrasslock.log.records import PositionedRecord, Record
from eelgrasslock.programs.accept import Verdict, accept, counted, void
from eelgrasslock.programs.journal_records import ProgramCreated, ProgramSnapshot
from eelgrasslock.programs.program import Program, created_program, decode_program

_VERDICTS_KEPT = 20_000
_TOMBSTONES_KEPT = 20_000


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
    on_moved : list of callables
        Called with each program whose turn ran elsewhere than the one before,
        and the endpoint that it left.
    """

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}
        self.floor = -1
        self.on_ended: list[Callable[[Program], None]] = []
        self.on_moved: list[Callable[[Program, str], None]] = []
        self._tombstones: OrderedDict[str, Program] = OrderedDict()
        self._verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self._strangers: OrderedDict[str, int] = OrderedDict()
        self._started = False

    def apply(self, positioned: PositionedRecord) -> None:
        """Fold the next record."""
        self._note_start(positioned.offset)
        record = positioned.record
        if record.id in self._verdicts:
            return
        verdict = self._judge(record, positioned.offset)
        self._verdicts[record.id] = verdict
        if len(self._verdicts) > _VERDICTS_KEPT:
            self._verdicts.popitem(last=False)

    def program(self, program: str) -> Program | None:
        """Return a live or recently ended program."""
        return self.programs.get(program) or self._tombstones.get(program)

    def verdict(self, record_id: str) -> Verdict | None:
        """Return whether a record counts, or None if it was not read yet."""
        return self._verdicts.get(record_id)

    def restart(self, offset: int) -> None:
        """Forget all programs, since records before an offset were missed."""
        self.programs.clear()
        self._tombstones.clear()
        self._strangers.clear()
        self.floor = max(self.floor, offset - 1)

    def _note_start(self, offset: int) -> None:
        if not self._started:
            self.floor = max(self.floor, offset - 1)
            self._started = True

    def _judge(self, record: Record, offset: int) -> Verdict:
        if isinstance(record, ProgramCreated):
            return self._create(record, offset)
        if isinstance(record, ProgramSnapshot):
            return self._take_snapshot(record, offset)
        name = getattr(record, "program", "")
        program = self.program(name)
        if program is None:
            self._note_stranger(name, offset)
            return void("unknown_program")
        before = program.endpoint
        verdict = accept(program, record, offset)
        if before and program.endpoint != before:
            for callback in self.on_moved:
                callback(program, before)
        if verdict.counted and program.ended:
            self._bury(program, offset)
        return verdict

    def _create(self, record: ProgramCreated, offset: int) -> Verdict:
        if self.program(record.program) is not None:
            return void("exists")
        try:
            program = created_program(record, offset)
        except ValueError:
            return void("unreadable")
        if not program.ledger.limit.covers(program.ledger.drawn):
            return void("budget")
        if record.parent:
            reason = self._share_budget(record, program)
            if reason:
                return void(reason)
        self.programs[program.id] = program
        return counted()

    def _share_budget(self, record: ProgramCreated, child: Program) -> str:
        parent = self.programs.get(record.parent)
        if parent is None:
            return "parent_unknown"
        if parent.holder != record.author:
            return "parent_not_held"
        if not parent.ledger.can_share(child.ledger):
            return "parent_budget"
        parent.ledger.share(child.ledger)
        parent.children.append(child.id)
        return ""

    def _bury(self, program: Program, offset: int) -> None:
        self.programs.pop(program.id, None)
        for child in list(program.children):
            self._end_child(child, program.active, offset)
        parent = self.programs.get(program.parent)
        if parent is not None:
            parent.ledger.take_back(program.ledger)
            parent.children.remove(program.id)
        for callback in self.on_ended:
            callback(program)
        program.forget_history()
        self._tombstones[program.id] = program
        if len(self._tombstones) > _TOMBSTONES_KEPT:
            _, oldest = self._tombstones.popitem(last=False)
            self.floor = max(self.floor, oldest.updated)

    def _end_child(self, name: str, time: float, offset: int) -> None:
        child = self.programs.get(name)
        if child is None:
            return
        child.ledger.forfeit()
        child.ended = "parent_ended"
        child.active = max(child.active, time)
        child.updated = offset
        self._bury(child, offset)

    def _note_stranger(self, name: str, offset: int) -> None:
        self._strangers[name] = offset
        self._strangers.move_to_end(name)
        if len(self._strangers) > _TOMBSTONES_KEPT:
            _, oldest = self._strangers.popitem(last=False)
            self.floor = max(self.floor, oldest)

    def _take_snapshot(self, record: ProgramSnapshot, offset: int) -> Verdict:
        """Judge a snapshot alike in readers that know the program or don't."""
        known = self.program(record.program)
        if known is not None:
            if known.ended or known.updated > record.as_of:
                return void("newer_state_known")
            known.based = max(known.based, record.time)
            return counted()
        if record.as_of < max(self.floor, self._strangers.get(record.program, -1)):
            return void("newer_state_possible")
        return self._adopt(record)

    def _adopt(self, record: ProgramSnapshot) -> Verdict:
        try:
            program = decode_program(record.state)
        except RecordError:
            return void("unreadable")
        if program.id != record.program:
            return void("unreadable")
        program.based = max(program.based, record.time)
        self.programs[program.id] = program
        self._strangers.pop(program.id, None)
        return counted()
