"""One answer's events, kept so that a broken stream can be resumed."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

DONE = "[DONE]"


class EngineStream:
    """The numbered events of one answer.

    Parameters
    ----------
    id : str
        What a client resumes and cancels it by.
    """

    def __init__(self, id: str) -> None:
        self.id = id
        self.events: list[str] = []
        self.done = False
        self.cancelled = False
        self.readers = 0
        self.idle_since = 0.0
        self._changed = asyncio.Event()

    def send(self, event: dict[str, Any]) -> None:
        """Add an event."""
        self.events.append(json.dumps(event))
        self._wake()

    def finish(self) -> None:
        """Add the last event."""
        self.events.append(DONE)
        self.done = True
        self._wake()

    def cancel(self) -> None:
        """End it without its last event."""
        self.cancelled = True
        self.done = True
        self._wake()

    async def read(self, start: int) -> AsyncIterator[tuple[int, str]]:
        """Yield numbers and events from `start` on, as they come."""
        number = start
        while True:
            while number < len(self.events):
                yield number, self.events[number]
                number += 1
            if self.done:
                return
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
