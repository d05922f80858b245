"""The requests that a daemon is serving, so that a stop can wait for them."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InFlight:
    """Counts requests and tells when none is left."""

    def __init__(self) -> None:
        self.count = 0
        self._none_left = asyncio.Event()
        self._none_left.set()

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Count one request for as long as the context lasts."""
        self.count += 1
        self._none_left.clear()
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._none_left.set()

    async def none_left(self) -> None:
        """Wait until no request is in flight."""
        await self._none_left.wait()
