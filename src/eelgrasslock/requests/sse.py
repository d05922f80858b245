"""Server-sent events: reading an engine's, and writing a caller's."""

import json
from collections.abc import AsyncIterable, AsyncIterator
from typing import Any

from attrs import frozen

from eelgrasslock.exceptions import EelgrassError

EVENT_STREAM_TYPE = "text/event-stream"
DONE = "[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_CHARS = 16_777_216


class EventTooLong(EelgrassError):
    """An event has more than `MAX_EVENT_CHARS` characters."""


@frozen
class ServerEvent:
    """One event.

    Attributes
    ----------
    data : str
        The data lines, joined by line feeds.
    number : int or None
        The event's id, where it is a whole number.
    """

    data: str
    number: int | None = None


def encode_event(body: dict[str, Any]) -> bytes:
    """Return a JSON object as one event."""
    return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"


async def read_events(lines: AsyncIterable[bytes]) -> AsyncIterator[ServerEvent]:
    """Yield the whole events of a stream of lines.

    Comments and unknown fields are skipped, and so is an event that the
    stream's end cuts off.

    Raises
    ------
    EventTooLong
        If an event is too long.
    """
    data: list[str] = []
    size = 0
    number: int | None = None
    async for line in lines:
        text = line.decode(errors="replace").rstrip("\r\n")
        if not text:
            if data:
                yield ServerEvent("\n".join(data), number)
            data = []
            size = 0
            number = None
            continue
        size += len(text)
        if size > MAX_EVENT_CHARS:
            raise EventTooLong(f"An event has over {MAX_EVENT_CHARS} characters.")
        name, _, value = text.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id" and value.isascii() and value.isdigit():
            number = int(value)
