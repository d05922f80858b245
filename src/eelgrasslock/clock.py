"""Clocks, so that nothing reads the time by itself."""

import asyncio
import heapq
import itertools
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def now(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)


class ManualClock:
    """A clock that moves only when told to.

    Parameters
    ----------
    start : float
        The first reading of both clocks, in seconds.
    """

    def __init__(self, start: float = 1_000.0) -> None:
        self.time = start
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the time set so far, in seconds."""
        return self.time

    def monotonic(self) -> float:
        """Return the time set so far, in seconds."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has been moved on by a number of seconds."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        sleeper = (self.time + seconds, next(self._order), future)
        heapq.heappush(self._sleepers, sleeper)
        await future

    def advance(self, seconds: float) -> None:
        """Move the clock on and wake the sleepers that are due."""
        self.time += seconds
        while self._sleepers and self._sleepers[0][0] <= self.time:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
