"""What callers and operators are told of a program."""

from attrs import frozen

from eelgrasslock.programs.history import Message
from eelgrasslock.programs.journal_records import ProgramLimits
from eelgrasslock.programs.local_programs import LocalProgram
from eelgrasslock.programs.program import Program, TurnPlacement


@frozen(kw_only=True)
class ResumedProgram:
    """What a caller needs that lost its own state between turns.

    Attributes
    ----------
    program : str
        The program's id.
    turn : int
        The next turn's number.
    digest : str
        Digest of the history to build on.
    history : list of dict
        All messages so far.
    limits : ProgramLimits
        What the program may use.
    spent_tokens : int
        What it has used.
    """

    program: str
    turn: int
    digest: str
    history: list[Message]
    limits: ProgramLimits
    spent_tokens: int


@frozen(kw_only=True)
class ProgramExplanation:
    """What happened to a program, for people.

    Attributes
    ----------
    program, holder, ended, parent : str
        Its id, the incarnation that holds it, why it ended, its parent.
    turn : int
        The next turn's number.
    spent_tokens, drawn_tokens, shared_tokens, forfeited_tokens : int
        Its budget's use.
    limit_tokens : int
        Its whole budget.
    turns : list of TurnPlacement
        Where each turn ran, and why there.
    refusals : list of str
        What this daemon refused lately, and why.
    unjournaled : int
        How many of its records wait for the log.
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
    """Return what a caller needs to go on."""
    return ResumedProgram(
        program=state.id,
        turn=state.turn,
        digest=state.digest,
        history=list(state.history),
        limits=state.limits,
        spent_tokens=state.spent.tokens,
    )


def explain_program(state: Program, local_program: LocalProgram) -> ProgramExplanation:
    """Return what happened to a program, for people."""
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
            f"{one.code}: {one.sentence}" for one in local_program.recent_refusals
        ],
        unjournaled=len(local_program.unjournaled.records),
    )
