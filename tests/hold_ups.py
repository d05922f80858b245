"""Records when the process of the tests did not run."""

import gc
import threading
import time
from collections import deque

from attrs import frozen

TICK_SECONDS = 0.01
# A thread that computes leaves the processor to others after a few milliseconds.
MIN_SECONDS = 0.05
MIN_TOLD_SECONDS = 0.1
MAX_RECORDED = 10_000


@frozen
class HoldUp:
    """A time in which the process did not run.

    Attributes
    ----------
    ended_at : float
        Monotonic time, in s.
    seconds : float
        How long it was.
    collection_seconds : float
        How much of it was garbage collection.
    """

    ended_at: float
    seconds: float
    collection_seconds: float = 0.0

    def overlap(self, begin, end):
        """Return how much of it is between two monotonic times, in s."""
        began_at = self.ended_at - self.seconds
        return max(0.0, min(end, self.ended_at) - max(begin, began_at))

    def describe(self):
        """Return a line of when it was, and why if that is known."""
        ended_at = time.time() - (time.monotonic() - self.ended_at)
        return (
            f"held up for {self.seconds:.2f} s until {time.ctime(ended_at)}, "
            f"{self.collection_seconds:.2f} s of it by garbage collection"
        )


class HoldUps:
    """A thread that notices when the process was held up.

    A machine without a free processor, a stopped process and a long garbage
    collection all show as a tick that comes late. A loop that computes or waits
    does not, since the thread runs beside it.
    """

    def __init__(self, monotonic=time.monotonic):
        self.monotonic = monotonic
        self.recorded = deque(maxlen=MAX_RECORDED)
        self.ticked_at = monotonic()
        self.collection_began_at = 0.0
        self.collection_seconds = 0.0
        self.is_running = True
        self.thread = threading.Thread(target=self._tick, daemon=True)

    def start(self):
        gc.callbacks.append(self._count_collection)
        self.thread.start()

    def stop(self):
        gc.callbacks.remove(self._count_collection)
        self.is_running = False
        self.thread.join()

    def since(self, started_at):
        """Return a line for each long hold-up that ended after a monotonic time."""
        return [
            one.describe()
            for one in list(self.recorded)
            if one.ended_at >= started_at and one.seconds > MIN_TOLD_SECONDS
        ]

    def running_seconds(self, begin, end=None):
        """Return how long the process ran between two monotonic times, in s.

        Without `end`, up to now.
        """
        if end is None:
            end = self.monotonic()
        recorded = [*self.recorded, *self._unrecorded()]
        return end - begin - sum(one.overlap(begin, end) for one in recorded)

    def _unrecorded(self):
        """Return the hold-up that has just ended, if the thread has not run since."""
        ticked_at = self.ticked_at
        now = self.monotonic()
        if now - ticked_at > MIN_SECONDS:
            yield HoldUp(now, now - ticked_at)

    def _tick(self):
        collected = self.collection_seconds
        while self.is_running:
            time.sleep(TICK_SECONDS)
            now = self.monotonic()
            late = now - self.ticked_at
            if late > MIN_SECONDS:
                spent = self.collection_seconds - collected
                self.recorded.append(HoldUp(now, late, spent))
            collected = self.collection_seconds
            self.ticked_at = now

    def _count_collection(self, phase, info):
        now = self.monotonic()
        if phase == "start":
            self.collection_began_at = now
        else:
            self.collection_seconds += now - self.collection_began_at


hold_ups = HoldUps()


def running_seconds(begin, end=None):
    """Return how long the process of the tests ran between two monotonic times, in s.

    Limits on what a daemon in this process may take are checked by this: no daemon
    keeps a limit while the process does not run.
    """
    return hold_ups.running_seconds(begin, end)
