"""A clock that jumps from event to event."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Holds what happens when; also the clock of all schedulers of a run."""

    def __init__(self) -> None:
        self.time = 0.0
        self.entries: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the time of the run in seconds."""
        return self.time

    def monotonic(self) -> float:
        """Return the time of the run in seconds."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Refuse; nothing in a run waits."""
        raise NotImplementedError

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        entry = (max(time, self.time), next(self._order), action)
        heapq.heappush(self.entries, entry)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something after a number of seconds."""
        self.at(self.time + seconds, action)

    def step(self) -> bool:
        """Do what is next; return whether there was anything."""
        if not self.entries:
            return False
        self.time, _, action = heapq.heappop(self.entries)
        action()
        return True
