"""The events of turns whose streams broke off, until they are resumed.

They are kept like turns, under an id that no request can have.
"""

import base64
import json

from eelgrasslock.conversations.event_data import StreamEvent

_PREFIX = "\nstream "


def interrupted_id(stream: str) -> str:
    """Return the id under which the events of a stream are kept.

    Parameters
    ----------
    stream : str
        The id of the request that brought the first event.
    """
    return _PREFIX + stream


def encode_events(events: list[StreamEvent]) -> bytes:
    """Return events as bytes."""
    values = [[one.number, base64.b64encode(one.data).decode()] for one in events]
    return json.dumps(values, separators=(",", ":")).encode()


def decode_events(data: bytes) -> list[StreamEvent]:
    """Return events from bytes."""
    return [
        StreamEvent(number, base64.b64decode(text)) for number, text in json.loads(data)
    ]
