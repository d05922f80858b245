"""Time limits that leave out the time in which the process did not run."""

import asyncio
import contextlib
from types import TracebackType
from typing import Any

_STEPS = 5


class RunningTimeout:
    """A time limit for answers of others, counted while the event loop runs.

    A process that was held up finds its timers due before it has handled what came
    in meanwhile. The time is therefore counted in steps, and a step that ends late
    counts only as long as it was planned.

    It is entered for each part of the work, one after the other; all parts share
    the time. A part that exceeds it raises `TimeoutError`.

    Parameters
    ----------
    seconds : float
        The time limit.

    Attributes
    ----------
    remaining_seconds : float
        The time that is left.
    """

    def __init__(self, seconds: float) -> None:
        self.remaining_seconds = seconds
        self._longest_step_seconds = seconds / _STEPS
        self._step_seconds = 0.0
        self._step_started_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> "RunningTimeout":
        # It can be entered only once, so that each part has one of its own.
        self._timeout = asyncio.timeout(None)
        await self._timeout.__aenter__()
        self._start_step()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            elapsed = asyncio.get_running_loop().time() - self._step_started_at
            self.remaining_seconds -= min(elapsed, self._step_seconds)
        await self._timeout.__aexit__(error_type, error, traceback)

    def _start_step(self) -> None:
        loop = asyncio.get_running_loop()
        if self.remaining_seconds <= 0:
            self._timeout.reschedule(loop.time())
            return
        self._step_seconds = min(self._longest_step_seconds, self.remaining_seconds)
        self._step_started_at = loop.time()
        self._timer = loop.call_later(self._step_seconds, self._end_step)

    def _end_step(self) -> None:
        self._timer = None
        self.remaining_seconds -= self._step_seconds
        self._start_step()


async def is_done_within(task: asyncio.Future[Any], seconds: float) -> bool:
    """Wait for a task, and return whether it ended in time; it is not cancelled."""
    with contextlib.suppress(TimeoutError):
        async with RunningTimeout(seconds):
            await asyncio.wait({task})
    return task.done()
