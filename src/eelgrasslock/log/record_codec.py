"""Encoding of records as the data of log entries, and decoding."""

import json
from typing import Any

import cattrs

from eelgrasslock.actions.action_records import ActionIntended, ActionOutcome
from eelgrasslock.exceptions import RecordError
from eelgrasslock.log.records import (
    ConfigVersion,
    DomainChallenged,
    MemberJoined,
    MemberRetired,
    Record,
)
from eelgrasslock.programs.journal_records import (
    BudgetDrawn,
    BudgetSettled,
    ProgramClaimed,
    ProgramCreated,
    ProgramEnded,
    ProgramSnapshot,
    TurnCommitted,
)

RECORD_VERSION = 1

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


def to_jsonable(value: Any) -> Any:
    """Convert an attrs object to plain JSON values."""
    return _CONVERTER.unstructure(value)


def from_jsonable(value: Any, kind: type) -> Any:
    """Convert plain JSON values to an object of a type.

    Raises
    ------
    RecordError
        If the values do not match the type.
    """
    try:
        return _CONVERTER.structure(value, kind)
    except Exception as error:
        raise RecordError(f"The values are not a valid {kind.__name__}.") from error


def encode_batch(batch: list[Record]) -> bytes:
    """Encode records as the data of one log entry."""
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
    """Decode the records of one log entry.

    A record that can't be decoded (invalid, or of a newer version) is returned as
    a `RecordError` in its place, so that the other records are kept.
    """
    try:
        bodies = json.loads(data)
    except (ValueError, RecursionError):
        return [RecordError("The entry is not JSON.")]
    if not isinstance(bodies, list):
        return [RecordError("The entry is not a list of records.")]
    return [_decode(body) for body in bodies]


def readable_records(data: bytes) -> list[Record]:
    """Decode the records of one log entry without those that can't be decoded."""
    batch = decode_batch(data)
    return [record for record in batch if not isinstance(record, RecordError)]


def _decode(body: Any) -> Record | RecordError:
    if not isinstance(body, dict):
        return RecordError("The record is not an object.")
    if body.get("v") != RECORD_VERSION:
        return RecordError(f"The record has the unsupported version {body.get('v')!r}.")
    kind = _KINDS.get(str(body.get("kind")))
    if kind is None:
        return RecordError(f"The record has the unknown kind {body.get('kind')!r}.")
    try:
        return from_jsonable(body.get("body"), kind)
    except RecordError as error:
        return error
