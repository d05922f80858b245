import asyncio
import contextlib

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.calls import Call, CallOutcome
from eelgrasslock.scheduling.dispatch import Dispatcher
from fake_scheduler import FakeScheduler


def call(id):
    return Call(id=id, program="p", service="hydro-llm")


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def dispatching(scheduler, clock=None):
    dispatcher = Dispatcher(scheduler, clock or ManualClock())
    await dispatcher.start()
    try:
        yield dispatcher
    finally:
        await dispatcher.stop()


class TestDispatcher:
    async def test_gives_a_free_endpoint_at_once(self):
        async with dispatching(FakeScheduler(["e1"])) as dispatcher:
            assignment = await dispatcher.acquire(call("c1"))
        assert assignment.endpoint == "e1"

    async def test_waits_until_a_call_is_finished(self):
        async with dispatching(FakeScheduler(["e1"], free=1)) as dispatcher:
            first = await dispatcher.acquire(call("c1"))
            second = asyncio.create_task(dispatcher.acquire(call("c2")))
            await settle()
            assert not second.done()
            dispatcher.finish(first.call, CallOutcome.DONE)
            assert (await second).call.id == "c2"

    async def test_refuses_at_once(self):
        scheduler = FakeScheduler(["e1"])
        scheduler.refusal = Refusal("overloaded", "Busy.", 429, retry_after=3.0)
        async with dispatching(scheduler) as dispatcher:
            with pytest.raises(Refusal) as caught:
                await dispatcher.acquire(call("c1"))
        assert caught.value.retry_after == 3.0
        assert dispatcher.waiting == {}

    async def test_wakes_when_the_scheduler_asks_for_it(self):
        clock = ManualClock()
        scheduler = FakeScheduler(["e1"], free=0)
        scheduler.wake = clock.monotonic() + 5.0
        async with dispatching(scheduler, clock) as dispatcher:
            task = asyncio.create_task(dispatcher.acquire(call("c1")))
            await settle()
            scheduler.expired = Refusal("expired", "Too late.", 504)
            clock.advance(4.0)
            await settle()
            assert not task.done()
            clock.advance(1.5)
            with pytest.raises(Refusal, match="Too late"):
                await task

    async def test_withdraws_a_cancelled_call(self):
        scheduler = FakeScheduler(["e1"], free=0)
        async with dispatching(scheduler) as dispatcher:
            task = asyncio.create_task(dispatcher.acquire(call("c1")))
            await settle()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert scheduler.waiting == {}
        assert scheduler.ends == []

    async def test_gives_back_what_was_assigned_while_cancelled(self):
        scheduler = FakeScheduler(["e1"], free=0)
        async with dispatching(scheduler) as dispatcher:
            task = asyncio.create_task(dispatcher.acquire(call("c1")))
            await settle()
            scheduler.free = 1
            dispatcher.wake_up()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert scheduler.ends == [("c1", CallOutcome.CANCELLED, None)]
        assert scheduler.free == 1

    async def test_a_stopped_dispatcher_leaves_no_task(self):
        dispatcher = Dispatcher(FakeScheduler(["e1"]), ManualClock())
        before = asyncio.all_tasks()
        await dispatcher.start()
        await dispatcher.stop()
        await dispatcher.stop()
        assert asyncio.all_tasks() == before
