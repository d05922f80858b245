import asyncio

from eelgrasslock.clock import ManualClock
from eelgrasslock.telemetry.gauges import Gauge, Gauges
from eelgrasslock.telemetry.metrics import METRICS


class Collected:
    def __init__(self):
        self.sent = []

    def gauge(self, name, value):
        self.sent.append((name, value))


class TestGauges:
    async def test_are_sent_again_and_again_until_stopped(self):
        clock, collected, waiting = ManualClock(), Collected(), [3]
        gauges = Gauges(collected, clock, [Gauge("waiting", lambda: waiting[0])])
        await gauges.start()
        for value in (3, 5):
            waiting[0] = value
            await asyncio.sleep(0)
            clock.advance(10.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        await gauges.stop()
        clock.advance(10.0)
        assert collected.sent == [("waiting", 3), ("waiting", 5)]
        assert "waiting" in METRICS
