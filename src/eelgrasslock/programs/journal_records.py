"""The records of a failure domain's journal: what happens to its programs."""

from typing import Any

from attrs import frozen

from eelgrasslock.log.records import Record


@frozen(kw_only=True)
class ProgramLimits:
    """What a program may use at most.

    Attributes
    ----------
    tokens : int
        Prompt and completion tokens over all calls.
    turns : int
        Calls to model engines.
    age : float
        Seconds from creation to the last call.
    money : float
        In the deployment's currency; 0 where no model has a price.
    """

    tokens: int
    turns: int
    age: float
    money: float = 0.0


@frozen(kw_only=True)
class ProgramCreated(Record):
    """A program starts; its creator holds it.

    Attributes
    ----------
    program : str
        The id, made by `programs.new_program_id`.
    creation_key : str
        The caller's idempotent creation key, or empty.
    secret_digest : str
        The SHA-256 of the program's secret, as hex.
    parent : str
        The parent's program id for a sub-agent, or empty.
    limits : ProgramLimits
        What it may use.
    drawn_tokens, drawn_money : int, float
        The creator's first draw. It is part of the creation, so that nobody
        can claim the program between the two.
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
    """An incarnation takes a program over from its former holder.

    It counts only if `previous` still holds the program at this place in the
    journal. All draws of the former holder that are not settled are forfeited.
    """

    program: str
    previous: str


@frozen(kw_only=True)
class BudgetDrawn(Record):
    """The holder reserves tokens of a program's budget ahead of need.

    It counts only if its author holds the program and the sum stays in budget.
    """

    program: str
    tokens: int
    money: float = 0.0


@frozen(kw_only=True)
class TurnCommitted(Record):
    """One turn of a program, with what it used.

    It counts only if its author holds the program, `turn` is the next one and
    `builds_on` is the digest of the history so far.

    Attributes
    ----------
    program : str
        The program's id.
    turn : int
        The turn's number, from 0.
    builds_on, digest : str
        Digest of the history before and after.
    request_digest : str
        Digest of the whole request, so that a repeat is known.
    messages : list of dict
        The messages that the turn adds, the answer last, as JSON objects.
    answer : dict
        The final answer as a JSON object, for a caller who asks again.
    tokens : int
        Prompt and completion tokens used, wasted attempts included.
    money : float
        What that cost.
    endpoint, reason : str
        Where the turn ran, and why there.
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
    """Tokens used by a call that ended without a turn (cut off, failed)."""

    program: str
    tokens: int
    money: float = 0.0
    reason: str = ""


@frozen(kw_only=True)
class ProgramEnded(Record):
    """A program takes no call any more.

    Attributes
    ----------
    reason : str
        ``finished``, ``cancelled``, ``turn_limit``, ``token_limit``,
        ``money_limit``, ``age_limit``, ``idle_limit`` or ``operator``.
    returned_tokens, returned_money : int, float
        The part of the holder's draw that surely was not used.
    """

    program: str
    reason: str
    returned_tokens: int = 0
    returned_money: float = 0.0


@frozen(kw_only=True)
class ProgramSnapshot(Record):
    """A live program, whole, appended again before retention drops it.

    Attributes
    ----------
    program : str
        The program's id.
    state : dict
        The encoded `program.Program`.
    as_of : int
        The offset that its author had read up to. It counts only for readers
        who know all since, and if nothing changed the program since.
    """

    program: str
    state: dict[str, Any]
    as_of: int = -1
