"""Answers that depend on nothing but the request."""

import json
import random
import re
from typing import Any

import xxhash
from attrs import define

from eelgrasslock.requests.tokens import BYTES_PER_TOKEN, prompt_text

CRASH_MARK = "[crash]"
_LENGTH_MARK = re.compile(r"\[tokens=(\d+)\]")
_TOOL_MARK = re.compile(r"\[tool=([A-Za-z0-9_-]+)\]")
_LETTERS = "abcdefghijklmnoprstuvz"
_SHORTEST_TOKENS = 8
_LONGEST_TOKENS = 48


@define
class Answer:
    """What an engine will say, token by token.

    Attributes
    ----------
    tokens : list of str
        Each `BYTES_PER_TOKEN` letters long.
    finish_reason : str
        ``stop``, ``length`` or ``tool_calls``.
    tool : str
        The tool that is called, or empty; the tokens are its arguments then.
    """

    tokens: list[str]
    finish_reason: str
    tool: str = ""

    def message(self, count: int) -> dict[str, Any]:
        """Return the assistant's message after so many tokens."""
        text = "".join(self.tokens[:count])
        if not self.tool:
            return {"role": "assistant", "content": text}
        function = {"name": self.tool, "arguments": text}
        call = {"id": f"call_{self.tool}", "type": "function", "function": function}
        return {"role": "assistant", "content": None, "tool_calls": [call]}


def make_answer(
    model: str, messages: list[dict[str, Any]], tools: list[Any], limit: int | None
) -> Answer:
    """Return the answer to a request, the same on every engine.

    ``[tokens=n]`` in the last message sets its length, and ``[tool=name]``
    makes it a tool call where the request offers tools.
    """
    seed = xxhash.xxh64_intdigest(f"{model}\n{prompt_text(messages)}".encode())
    rng = random.Random(seed)
    last = str(messages[-1].get("content") or "")
    tool = _TOOL_MARK.search(last)
    if tool is not None and tools:
        arguments = json.dumps({"seed": f"{seed:016x}"})
        return Answer(_split(arguments), "tool_calls", tool.group(1))
    length = _LENGTH_MARK.search(last)
    wanted = rng.randint(_SHORTEST_TOKENS, _LONGEST_TOKENS)
    if length is not None:
        wanted = int(length.group(1))
    count = wanted if limit is None else min(wanted, limit)
    tokens = [_word(rng) for _ in range(count)]
    return Answer(tokens, "length" if count < wanted else "stop")


def _word(rng: random.Random) -> str:
    letters = "".join(rng.choice(_LETTERS) for _ in range(BYTES_PER_TOKEN - 1))
    return letters + " "


def _split(text: str) -> list[str]:
    return [
        text[start : start + BYTES_PER_TOKEN]
        for start in range(0, len(text), BYTES_PER_TOKEN)
    ]
