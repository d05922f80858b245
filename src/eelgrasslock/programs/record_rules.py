"""Rules that apply a journal record to a program or reject it."""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from eelgrasslock.log.records import Record
from eelgrasslock.programs.history import extend_digest
from eelgrasslock.programs.journal_records import (
    BudgetDrawn,
    BudgetSettled,
    ProgramClaimed,
    ProgramEnded,
    TurnCommitted,
)
from eelgrasslock.programs.ledger import Amount
from eelgrasslock.programs.program import Program, TurnPlacement


@frozen
class ApplyResult:
    """Result of applying a record at its position in the stream.

    Attributes
    ----------
    applied : bool
        Whether the record was applied; False if it was rejected.
    reason : str
        Code of the rule that rejected it, empty if it was applied.
    """

    applied: bool
    reason: str = ""


def applied_result() -> ApplyResult:
    """Return the result for a record that was applied."""
    return ApplyResult(True)


def rejected_result(reason: str) -> ApplyResult:
    """Return the result for a record that was rejected and changes nothing."""
    return ApplyResult(False, reason)


def apply_record(program: Program, record: Record, offset: int) -> ApplyResult:
    """Apply a record to a program, or reject it and leave the program as it is.

    Parameters
    ----------
    program : Program
        The program, changed in place.
    record : Record
        The record.
    offset : int
        The record's offset in the journal.
    """
    handler = _HANDLERS.get(type(record))
    if handler is None:
        return rejected_result("not_a_journal_record")
    reason = _check_author(program, record) or handler(program, record, offset)
    if reason:
        return rejected_result(reason)
    program.updated = offset
    program.active = max(program.active, record.time)
    return applied_result()


def _check_author(program: Program, record: Record) -> str:
    if program.ended:
        return "ended"
    if isinstance(record, ProgramClaimed):
        return ""
    return "" if program.holder == record.author else "superseded"


def _apply_claim(program: Program, record: ProgramClaimed, offset: int) -> str:
    if program.holder != record.previous:
        return "superseded"
    program.ledger.forfeit()
    program.holder = record.author
    program.fence = offset
    return ""


def _apply_draw(program: Program, record: BudgetDrawn, offset: int) -> str:
    amount = Amount(record.tokens, record.money)
    if not program.ledger.remaining.covers(amount):
        return "budget"
    program.ledger.draw(amount)
    return ""


def _apply_turn(program: Program, record: TurnCommitted, offset: int) -> str:
    reason = _check_turn(program, record)
    if reason:
        return reason
    program.ledger.settle(Amount(record.tokens, record.money))
    program.turn += 1
    program.digest = record.digest
    program.history.extend(record.messages)
    program.last_request_digest = record.request_digest
    program.last_answer = record.answer
    program.turns.append(
        TurnPlacement(
            turn=record.turn,
            endpoint=record.endpoint,
            reason=record.reason,
            tokens=record.tokens,
        )
    )
    return ""


def _check_turn(program: Program, record: TurnCommitted) -> str:
    if record.turn != program.turn:
        return "turn"
    if record.turn >= program.limits.turns:
        return "turn_limit"
    if record.builds_on != program.digest:
        return "history"
    if record.digest != extend_digest(record.builds_on, record.messages):
        return "digest"
    return ""


def _apply_settlement(program: Program, record: BudgetSettled, offset: int) -> str:
    program.ledger.settle(Amount(record.tokens, record.money))
    return ""


def _apply_end(program: Program, record: ProgramEnded, offset: int) -> str:
    program.ledger.return_unused(Amount(record.returned_tokens, record.returned_money))
    program.ledger.forfeit()
    program.ended = record.reason
    return ""


_Handler = Callable[[Program, Any, int], str]
_HANDLERS: dict[type[Record], _Handler] = {
    ProgramClaimed: _apply_claim,
    BudgetDrawn: _apply_draw,
    TurnCommitted: _apply_turn,
    BudgetSettled: _apply_settlement,
    ProgramEnded: _apply_end,
}
