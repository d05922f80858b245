import asyncio

from eelgrasslock.clock import ManualClock


class TestManualClock:
    async def test_wakes_sleepers_that_are_due_in_order(self):
        clock = ManualClock()
        woken = []

        async def sleeper(seconds):
            await clock.sleep(seconds)
            woken.append(seconds)

        tasks = [asyncio.create_task(sleeper(seconds)) for seconds in (2.0, 1.0, 5.0)]
        await asyncio.sleep(0)
        clock.advance(3.0)
        await asyncio.gather(tasks[0], tasks[1])
        assert woken == [1.0, 2.0]
        tasks[2].cancel()
