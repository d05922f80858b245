"""Encoding of turns as records of the log.

A turn takes one record, or several that follow each other if it is long. Each record
begins with a head of fixed size, so that an index can be built without the rest. Then
comes a part of the turn: the length of a JSON object, the object, the input and the
output. Keys that a reader does not know are ignored, so that later builds may add some.
"""

import json
import struct
from collections.abc import Sequence
from typing import Any

from attrs import frozen

from eelgrasslock.conversations.turn import Turn, TurnLink, turn_key
from eelgrasslock.exceptions import RecordError

RECORD_VERSION = 1
MAX_PART_BYTES = 240_000
# The records of one turn are appended in one call, which the log limits.
MAX_TURN_BYTES = 1_900_000

_HEAD = struct.Struct(">BHHQ")
_LENGTH = struct.Struct(">I")
_DECODE_ERRORS = (ValueError, KeyError, TypeError, struct.error, UnicodeDecodeError)


@frozen
class RecordHead:
    """The head of a record.

    Attributes
    ----------
    part, parts : int
        The number of the record among those of its turn, from 0, and how many
        these are.
    key : int
        The key of the turn.
    """

    part: int
    parts: int
    key: int


def encode_turn(turn: Turn) -> list[bytes]:
    """Return the records of a turn."""
    head = {
        "id": turn.id,
        "parent": turn.parent,
        "endpoint": turn.endpoint,
        "ended_at": turn.ended_at,
        "input": len(turn.input),
        "output": len(turn.output),
        "ancestors": [
            [one.id, one.offset, one.size, one.stored_at] for one in turn.ancestors
        ],
    }
    text = json.dumps(head, separators=(",", ":")).encode()
    whole = _LENGTH.pack(len(text)) + text + turn.input + turn.output
    starts = range(0, len(whole), MAX_PART_BYTES)
    key = turn_key(turn.id)
    return [
        _HEAD.pack(RECORD_VERSION, part, len(starts), key)
        + whole[start : start + MAX_PART_BYTES]
        for part, start in enumerate(starts)
    ]


def decode_head(record: bytes) -> RecordHead:
    """Return the head of a record.

    Raises
    ------
    RecordError
        If it is not one of this version.
    """
    if len(record) < _HEAD.size:
        raise RecordError("The record is shorter than its head.")
    version, part, parts, key = _HEAD.unpack_from(record)
    if version != RECORD_VERSION:
        raise RecordError(f"The record has the unsupported version {version}.")
    return RecordHead(part, parts, key)


def decode_turn(records: Sequence[bytes]) -> Turn:
    """Return the turn at the beginning of some records.

    Raises
    ------
    RecordError
        If they do not begin with a whole turn.
    """
    if not records:
        raise RecordError("There is no record.")
    first = decode_head(records[0])
    heads = [decode_head(one) for one in records[: first.parts]]
    expected = [RecordHead(part, first.parts, first.key) for part in range(first.parts)]
    if heads != expected:
        raise RecordError("The records are not those of one whole turn.")
    whole = b"".join(one[_HEAD.size :] for one in records[: first.parts])
    try:
        return _decode_whole(whole)
    except _DECODE_ERRORS as error:
        raise RecordError(f"The turn can't be decoded: {error!r}.") from error


def _decode_whole(whole: bytes) -> Turn:
    (length,) = _LENGTH.unpack_from(whole)
    start = _LENGTH.size + length
    head = json.loads(whole[_LENGTH.size : start])
    middle = start + head["input"]
    end = middle + head["output"]
    if end != len(whole):
        raise ValueError("The lengths do not fit the record.")
    return Turn(
        id=head["id"],
        parent=head["parent"],
        endpoint=head["endpoint"],
        ended_at=float(head["ended_at"]),
        input=whole[start:middle],
        output=whole[middle:end],
        ancestors=tuple(_decode_link(one) for one in head["ancestors"]),
    )


def _decode_link(values: list[Any]) -> TurnLink:
    id, offset, size, stored_at = values[:4]
    return TurnLink(
        id=str(id), offset=int(offset), size=int(size), stored_at=float(stored_at)
    )
