"""Records when the process of the tests did not run."""

import threading
import time
from collections import deque

TICK_SECONDS = 0.01
MIN_SECONDS = 0.1
MAX_RECORDED = 1_000


class HoldUps:
    """A thread that notices when the process was held up.

    A machine without a free processor, a stopped process and a long garbage
    collection all show as a tick that comes late.
    """

    def __init__(self, monotonic=time.monotonic):
        self.monotonic = monotonic
        self.recorded = deque(maxlen=MAX_RECORDED)
        self.is_running = True
        self.thread = threading.Thread(target=self._tick, daemon=True)

    def start(self):
        self.thread.start()

    def stop(self):
        self.is_running = False
        self.thread.join()

    def since(self, started_at):
        """Return a line for each hold-up that ended after a time."""
        return [
            f"held up for {seconds:.2f} s until {time.ctime(ended_at)}"
            for ended_at, seconds in list(self.recorded)
            if ended_at >= started_at
        ]

    def _tick(self):
        before = self.monotonic()
        while self.is_running:
            time.sleep(TICK_SECONDS)
            now = self.monotonic()
            if now - before > MIN_SECONDS:
                self.recorded.append((time.time(), now - before))
            before = now
