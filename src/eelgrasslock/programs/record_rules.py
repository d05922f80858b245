"""The rules by which a journal record on one program counts or is void."""

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
    """Whether a record counts at its place in the stream.

    Attributes
    ----------
    applied : bool
        Whether it counts.
    reason : str
        Why it is void, empty if it counts.
    """

    applied: bool
    reason: str = ""


def applied_result() -> ApplyResult:
    """Return the verdict on a record that counts."""
    return ApplyResult(True)


def rejected_result(reason: str) -> ApplyResult:
    """Return the verdict on a record that changes nothing."""
    return ApplyResult(False, reason)


def apply_record(program: Program, record: Record, offset: int) -> ApplyResult:
    """Apply a record to a program if it counts, and say whether it does."""
    rule = _HANDLERS.get(type(record))
    if rule is None:
        return rejected_result("not_a_journal_record")
    reason = _check_author(program, record) or rule(program, record, offset)
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
