"""Dispatch of calls: the asynchronous interface of the scheduler."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Protocol

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.periodic import keep_running
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import Assignment, Call, CallOutcome

NO_USAGE = Usage()


class RefusedCall(Protocol):
    """A waiting call that the scheduler refuses."""

    @property
    def call(self) -> Call:
        """The call."""

    @property
    def refusal(self) -> Refusal:
        """The error that its caller gets."""


class CallScheduler(Protocol):
    """The methods of the scheduler that the dispatcher uses."""

    def submit(self, call: Call) -> None:
        """Queue a call, or raise a `Refusal`."""

    def withdraw(self, call_id: str) -> None:
        """Remove a waiting call from the queue."""

    def assign(self) -> list[Assignment]:
        """Return the calls that start now."""

    def expire(self) -> Iterable[RefusedCall]:
        """Remove and return the waiting calls that are refused."""

    def finish(
        self,
        call_id: str,
        outcome: CallOutcome,
        usage: Usage = NO_USAGE,
        retry_after: float | None = None,
    ) -> None:
        """Record that a call has ended."""

    def progress(self, call_id: str, completion_tokens: int) -> None:
        """Record how many tokens an answer has so far."""

    def retry_delay(self, call: Call, endpoint: str, attempt: int) -> float | None:
        """Return the delay before a retry in seconds, None for no retry."""

    def end_program(self, program: str) -> None:
        """Drop the state of an ended program."""

    def next_wake(self) -> float | None:
        """Return the monotonic time at which the queue must be processed again."""


class Dispatcher:
    """Lets calls wait until the scheduler assigns or refuses them.

    Parameters
    ----------
    scheduler : CallScheduler
        Chooses which call starts next, and on which endpoint.
    clock : Clock
        Source of the time.

    Attributes
    ----------
    on_processed : callable
        Called each time the queue has been processed.
    """

    def __init__(self, scheduler: CallScheduler, clock: Clock) -> None:
        self.scheduler = scheduler
        self.clock = clock
        self.waiting: dict[str, asyncio.Future[Assignment]] = {}
        self.on_processed: Callable[[], None] = lambda: None
        self._wake_event = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that processes the queue."""
        if self._task is None:
            self._task = asyncio.create_task(
                keep_running(self.clock, "Dispatching", self._run)
            )

    async def stop(self) -> None:
        """Stop the task; the callers must cancel the calls that wait."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def acquire(self, call: Call) -> Assignment:
        """Wait for an endpoint; the caller must call `finish` afterwards.

        Raises
        ------
        Refusal
            At once if the call is not admitted, or later if it expires.
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
        """Release the endpoint of a call."""
        self.scheduler.finish(call.id, outcome, usage, retry_after)
        self.wake_up()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all calls that wait."""
        for call_id, future in self.waiting.items():
            if not future.done():
                self.scheduler.withdraw(call_id)
                future.set_exception(refusal)
        self._wake_event.set()

    def wake_up(self) -> None:
        """Process the queue at once, and recompute the next wake-up time."""
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
        self.on_processed()

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
        """Wait until a time on the monotonic clock, or until woken up."""
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
