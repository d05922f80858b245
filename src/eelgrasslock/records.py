"""The records that the fleet keeps in the platform's log.

Every record carries an id of its own, so that a reader drops the duplicates
that a retried append leaves behind.
"""

import enum
import json
import uuid
from typing import Any

import cattrs
from attrs import field, frozen

from eelgrasslock.exceptions import RecordError

RECORD_VERSION = 1

CONFIG_STREAM = "config"
MEMBERS_STREAM = "members"


def journal_stream(domain: str) -> str:
    """Return the name of a failure domain's journal stream."""
    return f"journal.{domain}"


def actions_stream(shard: int) -> str:
    """Return the name of one stream of non-idempotent actions."""
    return f"actions.{shard}"


def new_id() -> str:
    """Return a fresh unique id."""
    return uuid.uuid4().hex


@frozen(kw_only=True)
class Record:
    """What all records have.

    Attributes
    ----------
    id : str
        Unique to the record, the same on each retry of its append.
    author : str
        The incarnation of the daemon that wrote it, or the operator's name.
    time : float
        When it was made, in seconds since the epoch; for people and for
        retention, never for order.
    """

    id: str = field(factory=new_id)
    author: str
    time: float


# --- config -----------------------------------------------------------------


@frozen(kw_only=True)
class ConfigVersion(Record):
    """A configuration, put in place of the one it names.

    Attributes
    ----------
    version : int
        The number of this version, one more than the replaced one's.
    replaces : str
        The record id of the version that it replaces, empty for the first.
        For a republished one, the record id of the version that it repeats.
    files : dict of str to str
        The folder's files: name to text; only the changed ones if partial.
    republished : bool
        Whether it repeats a version before the log's retention drops it.
    partial : bool
        Whether the files that it does not name are those of the replaced one.
    removed : list of str
        For a partial one, names of files that are no more.
    in_force_at : int
        For a republished one, an offset of the stream at which the version
        that it repeats is in force.
    """

    version: int
    replaces: str
    files: dict[str, str]
    republished: bool = False
    partial: bool = False
    removed: list[str] = field(factory=list)
    in_force_at: int = -1


# --- members ----------------------------------------------------------------


@frozen(kw_only=True)
class MemberJoined(Record):
    """A daemon's incarnation has started.

    Attributes
    ----------
    incarnation : str
        Unique to one start of one daemon.
    name, domain : str
        The daemon's name and failure domain, from its settings.
    peer_address, http_address : str
        Where it listens, as ``ip:port``.
    """

    incarnation: str
    name: str
    domain: str
    peer_address: str
    http_address: str


@frozen(kw_only=True)
class MemberRetired(Record):
    """An incarnation will own no program again; the first record counts.

    Attributes
    ----------
    incarnation : str
        The one that is retired.
    reason : str
        ``left``, ``silent`` or ``replaced``.
    """

    incarnation: str
    reason: str


@frozen(kw_only=True)
class DomainChallenged(Record):
    """A domain that looks silent from outside is asked to show that it lives.

    Each of its members that reads this appends its own join again.

    Attributes
    ----------
    domain : str
        The domain that is asked.
    """

    domain: str


# --- journal of a failure domain ---------------------------------------------


@frozen(kw_only=True)
class Limits:
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
    limits : Limits
        What it may use.
    drawn_tokens, drawn_money : int, float
        The creator's first draw. It is part of the creation, so that nobody
        can claim the program between the two.
    """

    program: str
    creation_key: str
    secret_digest: str
    parent: str
    limits: Limits
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


# --- non-idempotent actions ---------------------------------------------------


@frozen(kw_only=True)
class ActionIntended(Record):
    """A daemon is about to send a non-idempotent request.

    The first intent for a service and action id in log order may run, and
    only after its author has read it back as the first.

    Attributes
    ----------
    service, action : str
        The plain service and the caller's action id.
    request_digest : str
        Digest of method, path and body.
    program : str
        The program on whose behalf, or empty.
    repeats : str
        The id of the intent that this one repeats for retention, or empty.
    repeated : float
        When it was repeated, in seconds since the epoch.
    """

    service: str
    action: str
    request_digest: str
    program: str
    repeats: str = ""
    repeated: float = 0.0


class ActionResult(enum.Enum):
    """What became of an intended action."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class ActionOutcome(Record):
    """What became of an intended action.

    Attributes
    ----------
    service, action : str
        As in the intent.
    intent : str
        The record id of the intent.
    result : ActionResult
        ``NOT_RUN`` frees the action for a new intent.
    status : int
        The service's HTTP status, 0 if there was none.
    body : str
        The service's answer, cut to a bound.
    content_type : str
        The answer's media type.
    """

    service: str
    action: str
    intent: str
    result: ActionResult
    status: int = 0
    body: str = ""
    content_type: str = ""


AnyRecord = (
    ConfigVersion
    | MemberJoined
    | MemberRetired
    | DomainChallenged
    | ProgramCreated
    | ProgramClaimed
    | BudgetDrawn
    | TurnCommitted
    | BudgetSettled
    | ProgramEnded
    | ProgramSnapshot
    | ActionIntended
    | ActionOutcome
)

_KINDS: dict[str, type[Record]] = {kind.__name__: kind for kind in AnyRecord.__args__}
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@frozen
class Positioned:
    """A record and its place in its stream.

    Attributes
    ----------
    offset : int
        The offset of the entry that holds it.
    index : int
        Its place in that entry, from 0.
    record : Record
        The record.
    """

    offset: int
    index: int
    record: Record


def to_jsonable(value: Any) -> Any:
    """Return a slotted data object as plain JSON values."""
    return _CONVERTER.unstructure(value)


def from_jsonable(value: Any, kind: type) -> Any:
    """Return plain JSON values as an object of a type.

    Raises
    ------
    RecordError
        If the values don't fit the type.
    """
    try:
        return _CONVERTER.structure(value, kind)
    except Exception as error:
        raise RecordError(f"Not a {kind.__name__}.") from error


def encode_batch(batch: list[Record]) -> bytes:
    """Return records as the data of one log entry."""
    bodies = [
        {
            "v": RECORD_VERSION,
            "kind": type(record).__name__,
            "body": to_jsonable(record),
        }
        for record in batch
    ]
    return json.dumps(bodies, separators=(",", ":")).encode()


def decode_batch(data: bytes) -> list[Record | RecordError]:
    """Return the records of one log entry.

    A record that can't be read (garbage, or of a newer version) comes back as
    a `RecordError` in its place, so that its neighbours are kept.
    """
    try:
        bodies = json.loads(data)
    except (ValueError, RecursionError):
        return [RecordError("The entry is not JSON.")]
    if not isinstance(bodies, list):
        return [RecordError("The entry is not a list of records.")]
    return [_decode(body) for body in bodies]


def readable_records(data: bytes) -> list[Record]:
    """Return the records of one log entry without those that can't be read."""
    batch = decode_batch(data)
    return [record for record in batch if not isinstance(record, RecordError)]


def _decode(body: Any) -> Record | RecordError:
    if not isinstance(body, dict):
        return RecordError("The record is not an object.")
    if body.get("v") != RECORD_VERSION:
        return RecordError(f"The record has version {body.get('v')!r}.")
    kind = _KINDS.get(str(body.get("kind")))
    if kind is None:
        return RecordError(f"The record has the unknown kind {body.get('kind')!r}.")
    try:
        return from_jsonable(body.get("body"), kind)
    except RecordError as error:
        return error
