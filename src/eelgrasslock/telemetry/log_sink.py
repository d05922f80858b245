"""Where log lines go: a bounded queue that one thread writes out.

The event loop never waits for whoever reads the output. Lines beyond the rate
or the queue are left out, and how many is said.
"""

import json
import queue
import threading
import time
from typing import TextIO

LINES_PER_SECOND = 500.0
LINES_AT_ONCE = 2_000.0
QUEUED_LINES = 10_000
GATHER_SECONDS = 0.05
LAST_LINES_SECONDS = 1.0


class LineBudget:
    """A token bucket over lines.

    Parameters
    ----------
    per_second, at_once : float
        The rate, and the most lines in a burst.
    now : float
        The time, on any clock that never goes back, in seconds.
    """

    __slots__ = ("at_once", "filled_at", "left", "per_second")

    def __init__(self, per_second: float, at_once: float, now: float) -> None:
        self.per_second = per_second
        self.at_once = at_once
        self.left = at_once
        self.filled_at = now

    def take(self, now: float) -> bool:
        """Return whether one more line may be written, and count it."""
        gained = (now - self.filled_at) * self.per_second
        self.left = min(self.at_once, self.left + gained)
        self.filled_at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class LogSink:
    """Takes lines without ever waiting.

    Parameters
    ----------
    output : file
        Where the lines go.

    Attributes
    ----------
    left_out : int
        Lines that were left out since the start.
    """

    def __init__(self, output: TextIO) -> None:
        self.output = output
        self.left_out = 0
        self._told = 0
        self._budget = LineBudget(LINES_PER_SECOND, LINES_AT_ONCE, time.monotonic())
        self._queue: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def put(self, line: str, is_urgent: bool = False) -> None:
        """Take a line; warnings and errors pass the rate, not the queue."""
        is_allowed = self._budget.take(time.monotonic()) or is_urgent
        if not is_allowed or self._queue.qsize() >= QUEUED_LINES:
            self.left_out += 1
            return
        if self.left_out > self._told:
            self._queue.put(_left_out_line(self.left_out - self._told))
            self._told = self.left_out
        self._queue.put(line)

    def close(self) -> None:
        """Write what is queued and end."""
        self._queue.put(None)
        self._thread.join(LAST_LINES_SECONDS)

    def _write(self) -> None:
        while True:
            lines = [self._queue.get()]
            time.sleep(GATHER_SECONDS)
            while not self._queue.empty():
                lines.append(self._queue.get())
            text = "".join(line for line in lines if line is not None)
            try:
                self.output.write(text)
                self.output.flush()
            except (OSError, ValueError):
                # Nobody reads the output any more; there is no other place.
                return
            if None in lines:
                return


def _left_out_line(count: int) -> str:
    line = {"level": "WARNING", "part": "logs", "left_out": count}
    line["message"] = f"{count} lines were left out to bound the volume."
    return json.dumps(line) + "\n"
