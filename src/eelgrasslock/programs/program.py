"""The state of one program at one position in the journal."""

from typing import Any

from attrs import define, evolve, field, frozen

from eelgrasslock.log.record_codec import from_jsonable, to_jsonable
from eelgrasslock.programs.history import Message, empty_history_digest
from eelgrasslock.programs.journal_records import ProgramCreated, ProgramLimits
from eelgrasslock.programs.ledger import Amount, BudgetLedger
from eelgrasslock.programs.program_ids import parse_program_id


@frozen(kw_only=True)
class TurnPlacement:
    """The endpoint that ran a turn, and why it was chosen.

    Attributes
    ----------
    turn : int
        The turn's number, from 0.
    endpoint, reason : str
        The endpoint and the reason for the choice.
    tokens : int
        Tokens used by the turn.
    """

    turn: int
    endpoint: str
    reason: str
    tokens: int


@define(kw_only=True)
class Program:
    """A program, as built from its journal records.

    Attributes
    ----------
    id : str
        The program's id.
    holder : str
        The incarnation that may run the program's calls.
    fence : int
        Fencing token: the offset of the record that made the holder.
    secret_digest : str
        The SHA-256 of the program's secret, as hex.
    parent : str
        The parent's id for a sub-agent, or empty.
    children : list of str
        Ids of the sub-agents that have not ended.
    limits : ProgramLimits
        The program's limits.
    created, active, based : float
        Times of the creation, the last change and the last record with the
        whole state (the creation or a snapshot), in seconds since the epoch.
    ledger : BudgetLedger
        The program's budget.
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
        The endpoints of all turns so far.
    ended : str
        The reason for the program's end, empty while it is live.
    updated : int
        The offset of the last record that changed the program.
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
        """The amount that the program has spent."""
        return self.ledger.spent

    @property
    def drawn(self) -> Amount:
        """The amount that the holder has drawn and not settled."""
        return self.ledger.drawn

    @property
    def endpoint(self) -> str:
        """The endpoint of the last turn, empty before the first turn."""
        return self.turns[-1].endpoint if self.turns else ""

    @property
    def endpoints(self) -> set[str]:
        """The endpoints of all turns."""
        return {turn.endpoint for turn in self.turns if turn.endpoint}

    def discard_history(self) -> None:
        """Drop the history and last answer, which an ended program doesn't need."""
        self.history = []
        self.last_answer = {}

    def copy(self) -> "Program":
        """Return a copy whose changes do not affect this program."""
        return evolve(
            self,
            ledger=evolve(self.ledger),
            history=list(self.history),
            turns=list(self.turns),
            children=list(self.children),
        )


def program_from_creation(record: ProgramCreated, offset: int) -> Program:
    """Return a program in its state after its creation record.

    The incarnation in the id is the holder, also if another daemon appended the
    record on its behalf.
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
    """Encode a program as the JSON object of a snapshot."""
    return to_jsonable(program)


def decode_program(state: dict[str, Any]) -> Program:
    """Decode the program of a snapshot.

    Raises
    ------
    RecordError
        If the object is not an encoded program.
    """
    return from_jsonable(state, Program)
