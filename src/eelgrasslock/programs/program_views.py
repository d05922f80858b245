"""Views of a program for callers and operators."""

from attrs import frozen

from eelgrasslock.programs.history import Message
from eelgrasslock.programs.journal_records import ProgramLimits
from eelgrasslock.programs.local_programs import LocalProgram
from eelgrasslock.programs.program import Program, TurnPlacement


@frozen(kw_only=True)
class ResumedProgram:
    """State for a caller that lost its own between two turns.

    Attributes
    ----------
    program : str
        The program's id.
    turn : int
        The next turn's number.
    digest : str
        Digest of the history that the next turn extends.
    history : list of dict
        All messages so far.
    limits : ProgramLimits
        The program's limits.
    spent_tokens : int
        Tokens spent so far.
    """

    program: str
    turn: int
    digest: str
    history: list[Message]
    limits: ProgramLimits
    spent_tokens: int


@frozen(kw_only=True)
class ProgramExplanation:
    """Summary of a program's budget, turns and refusals.

    Attributes
    ----------
    program, holder, ended, parent : str
        The program's id, the incarnation that holds it, the reason for its end
        and the parent's id.
    turn : int
        The next turn's number.
    spent_tokens, drawn_tokens, shared_tokens, forfeited_tokens : int
        Use of the budget, as in `ledger.BudgetLedger`.
    limit_tokens : int
        The whole budget.
    turns : list of TurnPlacement
        The endpoint of each turn, and why it was chosen.
    refusals : list of str
        Codes and sentences of the latest refusals by this daemon.
    unjournaled : int
        Number of records of this daemon that are not journaled yet.
    """

    program: str
    holder: str
    ended: str
    parent: str
    turn: int
    spent_tokens: int
    drawn_tokens: int
    shared_tokens: int
    forfeited_tokens: int
    limit_tokens: int
    turns: list[TurnPlacement]
    refusals: list[str]
    unjournaled: int


def resumed_program(state: Program) -> ResumedProgram:
    """Return the state that a caller needs for the next turn."""
    return ResumedProgram(
        program=state.id,
        turn=state.turn,
        digest=state.digest,
        history=list(state.history),
        limits=state.limits,
        spent_tokens=state.spent.tokens,
    )


def explain_program(state: Program, local_program: LocalProgram) -> ProgramExplanation:
    """Return the summary of a program's budget, turns and refusals."""
    return ProgramExplanation(
        program=state.id,
        holder=state.holder,
        ended=state.ended,
        parent=state.parent,
        turn=state.turn,
        spent_tokens=state.spent.tokens,
        drawn_tokens=state.drawn.tokens,
        shared_tokens=state.ledger.shared.tokens,
        forfeited_tokens=state.ledger.forfeited.tokens,
        limit_tokens=state.limits.tokens,
        turns=list(state.turns),
        refusals=[
            f"{refusal.code}: {refusal.sentence}"
            for refusal in local_program.recent_refusals
        ],
        unjournaled=len(local_program.unjournaled.records),
    )
