"""Records of a failure domain's journal, which stores its programs."""

from typing import Any

from attrs import frozen

from eelgrasslock.log.records import Record


@frozen(kw_only=True)
class ProgramLimits:
    """Limits of a program.

    Attributes
    ----------
    tokens : int
        Prompt and completion tokens over all calls.
    turns : int
        Calls to model engines.
    age : float
        Seconds from the program's creation to its last call.
    money : float
        Cost in the deployment's currency; 0 where no model has a price.
    """

    tokens: int
    turns: int
    age: float
    money: float = 0.0


@frozen(kw_only=True)
class ProgramCreated(Record):
    """Creates a program; the creator becomes its holder.

    Attributes
    ----------
    program : str
        The program's id, from `program_ids.new_program_id`.
    creation_key : str
        The caller's idempotency key for the creation, or empty.
    secret_digest : str
        The SHA-256 of the program's secret, as hex.
    parent : str
        The parent's program id for a sub-agent, or empty.
    limits : ProgramLimits
        The program's limits.
    drawn_tokens, drawn_money : int, float
        The creator's first draw. It is part of the creation, so that no other
        daemon can claim the program between creation and draw.
    """

    program: str
    creation_key: str
    secret_digest: str
    parent: str
    limits: ProgramLimits
    drawn_tokens: int = 0
    drawn_money: float = 0.0


@frozen(kw_only=True)
class ProgramClaimed(Record):
    """Makes its author the holder of a program.

    It is applied only if `previous` still holds the program at this position of
    the journal. The draws of the previous holder that are not settled are
    forfeited.
    """

    program: str
    previous: str


@frozen(kw_only=True)
class BudgetDrawn(Record):
    """Draws part of a program's budget for the holder, ahead of need.

    It is applied only if its author holds the program and the draw fits into
    the remaining budget.
    """

    program: str
    tokens: int
    money: float = 0.0


@frozen(kw_only=True)
class TurnCommitted(Record):
    """Adds a turn to a program and settles the tokens that it used.

    It is applied only if its author holds the program, `turn` is the next
    number and `builds_on` is the digest of the history so far.

    Attributes
    ----------
    program : str
        The program's id.
    turn : int
        The turn's number, from 0.
    builds_on, digest : str
        Digest of the history before and after the turn.
    request_digest : str
        Digest of the whole request, by which a repeated request is recognized.
    messages : list of dict
        The messages that the turn adds, the answer last, as JSON objects.
    answer : dict
        The final answer as a JSON object, replayed to a repeated request.
    tokens : int
        Prompt and completion tokens used, including failed attempts.
    money : float
        Cost of the tokens.
    endpoint, reason : str
        The endpoint that ran the turn, and why it was chosen.
    """

    program: str
    turn: int
    builds_on: str
    digest: str
    request_digest: str
    messages: list[dict[str, Any]]
    answer: dict[str, Any]
    tokens: int
    money: float = 0.0
    endpoint: str = ""
    reason: str = ""


@frozen(kw_only=True)
class BudgetSettled(Record):
    """Settles what a call used that ended without a turn (cut off, failed)."""

    program: str
    tokens: int
    money: float = 0.0
    reason: str = ""


@frozen(kw_only=True)
class ProgramEnded(Record):
    """Ends a program, which then accepts no more calls.

    Attributes
    ----------
    reason : str
        ``finished``, ``cancelled``, ``turn_limit``, ``token_limit``,
        ``money_limit``, ``age_limit``, ``idle_limit`` or ``operator``.
    returned_tokens, returned_money : int, float
        The part of the holder's draw that is certain not to have been used.
    """

    program: str
    reason: str
    returned_tokens: int = 0
    returned_money: float = 0.0


@frozen(kw_only=True)
class ProgramSnapshot(Record):
    """The whole state of a live program, so that retention does not drop it.

    Attributes
    ----------
    program : str
        The program's id.
    state : dict
        The encoded `program.Program`.
    as_of : int
        The offset up to which its author had read the journal. It is applied
        only by readers that have read every record since, and only if none of
        these changed the program.
    """

    program: str
    state: dict[str, Any]
    as_of: int = -1
