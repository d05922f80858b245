"""Tasks that run beside the requests, and end with their owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class BackgroundTasks:
    """Starts tasks, and cancels those that still run when their owner stops.

    Attributes
    ----------
    running : set of Task
        The tasks that have not ended.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, _Result]) -> asyncio.Task[_Result]:
        """Start a task and return it."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def complete(self, work: Coroutine[Any, Any, _Result]) -> _Result:
        """Return the result of work that goes on if its caller is cancelled."""
        return await asyncio.shield(self.start(work))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their ends."""
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
