"""Estimates of token counts, and hashes of prompt blocks for the prefix cache."""

import json
from typing import Any

import xxhash

from eelgrasslock.scheduling.calls import BLOCK_TOKENS

BYTES_PER_TOKEN = 4
_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def estimate_tokens(text: str) -> int:
    """Return a text's length in tokens, at `BYTES_PER_TOKEN` UTF-8 bytes each."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def prompt_text(messages: list[dict[str, Any]]) -> str:
    """Return messages as one text.

    A message added at the end leaves the text before it as it is, so that a
    program's next turn begins with the blocks of its last one.
    """
    return "".join(_message_text(message) for message in messages)


def block_hashes(messages: list[dict[str, Any]]) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's whole blocks.

    Each hash covers everything up to the end of its block of `BLOCK_TOKENS`
    tokens; the rest that fills no block is left out.
    """
    data = prompt_text(messages).encode()
    hashes = []
    previous = 0
    for start in range(0, len(data) - _BLOCK_BYTES + 1, _BLOCK_BYTES):
        block = data[start : start + _BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)


def _message_text(message: dict[str, Any]) -> str:
    extra = {
        key: value for key, value in message.items() if key not in ("role", "content")
    }
    parts = [f"<{message.get('role', '')}>", _content_text(message.get("content"))]
    if extra:
        parts.append(json.dumps(extra, sort_keys=True))
    return "\n".join(parts) + "\n"


def _content_text(content: Any) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    return json.dumps(content, sort_keys=True)
