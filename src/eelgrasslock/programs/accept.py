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
from eelgrasslock.programs.program import Program, TurnExplained


@frozen
class Verdict:
    """Whether a record counts at its place in the stream.

    Attributes
    ----------
    counted : bool
        Whether it counts.
    reason : str
        Why it is void, empty if it counts.
    """

    counted: bool
    reason: str = ""


def counted() -> Verdict:
    """Return the verdict on a record that counts."""
    return Verdict(True)


def void(reason: str) -> Verdict:
    """Return the verdict on a record that changes nothing."""
    return Verdict(False, reason)


def accept(program: Program, record: Record, offset: int) -> Verdict:
    """Apply a record to a program if it counts, and say whether it does."""
    rule = _RULES.get(type(record))
    if rule is None:
        return void("not_a_journal_record")
    reason = _author_rule(program, record) or rule(program, record, offset)
    if reason:
        return void(reason)
    program.updated = offset
    program.active = max(program.active, record.time)
    return counted()


def _author_rule(program: Program, record: Record) -> str:
    if program.ended:
        return "ended"
    if isinstance(record, ProgramClaimed):
        return ""
    return "" if program.holder == record.author else "superseded"


def _claim(program: Program, record: ProgramClaimed, offset: int) -> str:
    if program.holder != record.previous:
        return "superseded"
    program.ledger.forfeit()
    program.holder = record.author
    program.fence = offset
    return ""


def _draw(program: Program, record: BudgetDrawn, offset: int) -> str:
    amount = Amount(record.tokens, record.money)
    if not program.ledger.left.covers(amount):
        return "budget"
    program.ledger.draw(amount)
    return ""


def _turn(program: Program, record: TurnCommitted, offset: int) -> str:
    reason = _turn_rule(program, record)
    if reason:
        return reason
    program.ledger.settle(Amount(record.tokens, record.money))
    program.turn += 1
    program.digest = record.digest
    program.history.extend(record.messages)
    program.last_request_digest = record.request_digest
    program.last_answer = record.answer
    program.turns.append(
        TurnExplained(
            turn=record.turn,
            endpoint=record.endpoint,
            reason=record.reason,
            tokens=record.tokens,
        )
    )
    return ""


def _turn_rule(program: Program, record: TurnCommitted) -> str:
    if record.turn != program.turn:
        return "turn"
    if record.turn >= program.limits.turns:
        return "turn_limit"
    if record.builds_on != program.digest:
        return "history"
    if record.digest != extend_digest(record.builds_on, record.messages):
        return "digest"
    return ""


def _settle(program: Program, record: BudgetSettled, offset: int) -> str:
    program.ledger.settle(Amount(record.tokens, record.money))
    return ""


def _end(program: Program, record: ProgramEnded, offset: int) -> str:
    program.ledger.give_back(Amount(record.returned_tokens, record.returned_money))
    program.ledger.forfeit()
    program.ended = record.reason
    return ""


_Rule = Callable[[Program, Any, int], str]
_RULES: dict[type[Record], _Rule] = {
    ProgramClaimed: _claim,
    BudgetDrawn: _draw,
    TurnCommitted: _turn,
    BudgetSettled: _settle,
    ProgramEnded: _end,
}
