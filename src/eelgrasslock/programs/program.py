"""The state of one program at one place in the journal."""

from typing import Any

from attrs import define, evolve, field, frozen

from eelgrasslock.log.record_codec import from_jsonable, to_jsonable
from eelgrasslock.programs.history import Message, empty_history_digest
from eelgrasslock.programs.journal_records import ProgramCreated, ProgramLimits
from eelgrasslock.programs.ledger import Amount, BudgetLedger
from eelgrasslock.programs.program_ids import parse_program_id


@frozen(kw_only=True)
class TurnPlacement:
    """Where one turn ran, and why there.

    Attributes
    ----------
    turn : int
        Its number, from 0.
    endpoint, reason : str
        The endpoint and the reason for choosing it.
    tokens : int
        What the turn used.
    """

    turn: int
    endpoint: str
    reason: str
    tokens: int


@define(kw_only=True)
class Program:
    """A program, as the journal tells it.

    Attributes
    ----------
    id : str
        The program's id.
    holder : str
        The incarnation that may run its calls.
    fence : int
        The offset of the record that made the holder.
    secret_digest : str
        The SHA-256 of the program's secret, as hex.
    parent : str
        The parent's id for a sub-agent, or empty.
    children : list of str
        Sub-agents that have not ended.
    limits : ProgramLimits
        What it may use.
    created, active, based : float
        When it was created, last changed, and last written whole, in seconds
        since the epoch.
    ledger : BudgetLedger
        Its budget.
    turn : int
        The number of the next turn.
    digest : str
        Digest of the history.
    history : list of dict
        All messages so far.
    last_request_digest : str
        Digest of the request of the last turn.
    last_answer : dict
        The answer of the last turn.
    turns : list of TurnPlacement
        Where its turns ran.
    ended : str
        Why it ended, empty while it lives.
    updated : int
        The offset of the last record that changed it.
    """

    id: str
    holder: str
    fence: int
    secret_digest: str
    limits: ProgramLimits
    created: float
    active: float
    based: float
    ledger: BudgetLedger
    digest: str
    updated: int
    parent: str = ""
    children: list[str] = field(factory=list)
    turn: int = 0
    history: list[Message] = field(factory=list)
    last_request_digest: str = ""
    last_answer: dict[str, Any] = field(factory=dict)
    turns: list[TurnPlacement] = field(factory=list)
    ended: str = ""

    @property
    def spent(self) -> Amount:
        """What it has used."""
        return self.ledger.spent

    @property
    def drawn(self) -> Amount:
        """What its holder has drawn and not settled."""
        return self.ledger.drawn

    @property
    def endpoint(self) -> str:
        """The endpoint that its last turn ran on, empty before the first."""
        return self.turns[-1].endpoint if self.turns else ""

    @property
    def endpoints(self) -> set[str]:
        """The endpoints that its turns ran on."""
        return {turn.endpoint for turn in self.turns if turn.endpoint}

    def discard_history(self) -> None:
        """Drop what an ended program needs no more."""
        self.history = []
        self.last_answer = {}

    def copy(self) -> "Program":
        """Return a copy that can be changed without harm to this one."""
        return evolve(
            self,
            ledger=evolve(self.ledger),
            history=list(self.history),
            turns=list(self.turns),
            children=list(self.children),
        )


def program_from_creation(record: ProgramCreated, offset: int) -> Program:
    """Return a program as its creation leaves it.

    The incarnation in the id holds it, whoever wrote the record down.
    """
    ledger = BudgetLedger.for_limits(record.limits)
    if record.author == parse_program_id(record.program).incarnation:
        ledger.draw(Amount(record.drawn_tokens, record.drawn_money))
    return Program(
        id=record.program,
        holder=parse_program_id(record.program).incarnation,
        fence=offset,
        secret_digest=record.secret_digest,
        parent=record.parent,
        limits=record.limits,
        created=record.time,
        active=record.time,
        based=record.time,
        ledger=ledger,
        digest=empty_history_digest(record.program),
        updated=offset,
    )


def encode_program(program: Program) -> dict[str, Any]:
    """Return a program as the JSON object that a snapshot carries."""
    return to_jsonable(program)


def decode_program(state: dict[str, Any]) -> Program:
    """Return the program that a snapshot carries.

    Raises
    ------
    RecordError
        If the object is no program.
    """
    return from_jsonable(state, Program)
