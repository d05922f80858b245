"""Chained digests of programs' histories, over canonical JSON."""

import hashlib
import json
from typing import Any

Message = dict[str, Any]


def empty_history_digest(program: str) -> str:
    """Return the digest of a program's empty history."""
    return hashlib.sha256(program.encode()).hexdigest()


def extend_digest(digest: str, messages: list[Message]) -> str:
    """Return the digest of a history after some more messages.

    Parameters
    ----------
    digest : str
        Digest of the history so far.
    messages : list of dict
        The messages that follow it, in order.
    """
    for message in messages:
        chained = digest.encode() + canonical_json(message)
        digest = hashlib.sha256(chained).hexdigest()
    return digest


def history_digest(program: str, messages: list[Message]) -> str:
    """Return the digest of a program's whole history."""
    return extend_digest(empty_history_digest(program), messages)


def canonical_json(message: Message) -> bytes:
    """Return one encoding for all equal messages.

    Client libraries drop or add keys that are null, so those don't count.
    """
    present = {key: value for key, value in message.items() if value is not None}
    text = json.dumps(present, sort_keys=True, separators=(",", ":"))
    return text.encode()
