"""Waiting for an endpoint: the asynchronous side of the scheduler."""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Protocol

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import Assignment, Call, CallOutcome

NO_USAGE = Usage()


class RefusedCall(Protocol):
    """A waiting call that the scheduler has given up on."""

    @property
    def call(self) -> Call:
        """The call."""

    @property
    def refusal(self) -> Refusal:
        """Its final answer."""


class CallScheduler(Protocol):
    """The part of the scheduler that calls go through."""

    def submit(self, call: Call) -> None:
        """Take a call in, or raise a `Refusal`."""

    def withdraw(self, call_id: str) -> None:
        """Drop a waiting call."""

    def assign(self) -> list[Assignment]:
        """Return the calls that start now."""

    def expire(self) -> Iterable[RefusedCall]:
        """Return the waiting calls that are given up on."""

    def finish(
        self,
        call_id: str,
        outcome: CallOutcome,
        usage: Usage = NO_USAGE,
        retry_after: float | None = None,
    ) -> None:
        """Note that a call is over."""

    def progress(self, call_id: str, completion_tokens: int) -> None:
        """Note how long an answer has grown."""

    def retry_delay(self, call: Call, endpoint: str, attempt: int) -> float | None:
        """Return seconds to wait before a retry, None for no retry."""

    def end_program(self, program: str) -> None:
        """Forget a program."""

    def next_wake(self) -> float | None:
        """Return when there may be more to do, on the monotonic clock."""


class Dispatcher:
    """Lets calls wait for the scheduler's decisions.

    Parameters
    ----------
    scheduler : CallScheduler
        Decides which call starts next, and where.
    clock : Clock
        The time.
    """

    def __init__(self, scheduler: CallScheduler, clock: Clock) -> None:
        self.scheduler = scheduler
        self.clock = clock
        self.waiting: dict[str, asyncio.Future[Assignment]] = {}
        self._wake_event = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start waking up when the scheduler asks for it."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; calls that wait are left to their callers."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def acquire(self, call: Call) -> Assignment:
        """Wait for an endpoint; `finish` must follow.

        Raises
        ------
        Refusal
            At once if the call won't be served, or when it is given up on.
        """
        self.scheduler.submit(call)
        future = asyncio.get_running_loop().create_future()
        self.waiting[call.id] = future
        self.wake_up()
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(call, future)
            raise
        finally:
            self.waiting.pop(call.id, None)

    def finish(
        self,
        call: Call,
        outcome: CallOutcome,
        usage: Usage = NO_USAGE,
        retry_after: float | None = None,
    ) -> None:
        """Give the endpoint back."""
        self.scheduler.finish(call.id, outcome, usage, retry_after)
        self.wake_up()

    def wake_up(self) -> None:
        """Ask the scheduler at once whether calls can start now."""
        self._process_queue()
        self._wake_event.set()

    def _cancel(self, call: Call, future: asyncio.Future[Assignment]) -> None:
        assigned = (
            future.done() and not future.cancelled() and future.exception() is None
        )
        if assigned:
            self.finish(call, CallOutcome.CANCELLED)
            return
        self.scheduler.withdraw(call.id)
        self._wake_event.set()

    def _process_queue(self) -> None:
        for assignment in self.scheduler.assign():
            self._resolve(assignment)
        for expired in self.scheduler.expire():
            future = self.waiting.get(expired.call.id)
            if future is not None and not future.done():
                future.set_exception(expired.refusal)

    def _resolve(self, assignment: Assignment) -> None:
        future = self.waiting.get(assignment.call.id)
        if future is not None and not future.done():
            future.set_result(assignment)
            return
        self.scheduler.finish(assignment.call.id, CallOutcome.CANCELLED)

    async def _run(self) -> None:
        while True:
            self._wake_event.clear()
            self._process_queue()
            await self._wait(self.scheduler.next_wake())

    async def _wait(self, wake: float | None) -> None:
        """Wait until a time on the monotonic clock, or until kicked."""
        if wake is None:
            await self._wake_event.wait()
            return
        seconds = max(0.0, wake - self.clock.monotonic())
        tasks = [
            asyncio.create_task(self._wake_event.wait()),
            asyncio.create_task(self.clock.sleep(seconds)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
