"""A share of a service's rate."""

import asyncio

from eelgrasslock.clock import Clock


class TokenBucket:
    """Lets through a number of calls a second, in the order they ask.

    Parameters
    ----------
    clock : Clock
        The source of time.
    per_second : float
        The share.
    burst : float
        Calls that may go at once after a pause.
    """

    def __init__(self, clock: Clock, per_second: float, burst: float) -> None:
        self.clock = clock
        self.per_second = per_second
        self.burst = max(1.0, burst)
        self._tokens = self.burst
        self._filled = clock.monotonic()
        self._turn = asyncio.Lock()

    async def take(self) -> None:
        """Wait until one more call fits the share."""
        async with self._turn:
            self._fill()
            while self._tokens < 1.0:
                await self.clock.sleep((1.0 - self._tokens) / self.per_second)
                self._fill()
            self._tokens -= 1.0

    def take_now(self, count: int) -> bool:
        """Take several calls if they fit the share now, and return whether.

        More than the burst are taken at its most, and paid for afterwards.
        """
        self._fill()
        if self._tokens < min(count, self.burst):
            return False
        self._tokens -= count
        return True

    def _fill(self) -> None:
        now = self.clock.monotonic()
        gained = (now - self._filled) * self.per_second
        self._tokens = min(self.burst, self._tokens + gained)
        self._filled = now
