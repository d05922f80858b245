"""The stand-in for the rate-limited weight store."""

from aiohttp import web
from attrs import define

from eelgrasslock_standins.control import add_control
from eelgrasslock_standins.serving import RateLimit, ScaledClock

_RETRY_AFTER_SECONDS = 1
_WEIGHT_BYTES = 1024


@define(kw_only=True)
class WeightFaults:
    """What can be switched on the weight store.

    Attributes
    ----------
    reads_per_second : float
        The rate limit.
    outage : bool
        Everything answers 503.
    slow_seconds : float
        Added to each call.
    """

    reads_per_second: float = 2.0
    outage: bool = False
    slow_seconds: float = 0.0


class WeightStandin:
    """A store that has weights for any model, at a limited rate.

    Parameters
    ----------
    clock : ScaledClock
        Times slowness and the rate limit.
    faults : WeightFaults
        The switches.
    """

    def __init__(self, clock: ScaledClock, faults: WeightFaults) -> None:
        self.clock = clock
        self.faults = faults
        self._limit = RateLimit(clock)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/weights/{model}", self._read)
        add_control(app, self.faults)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        await self.clock.sleep(self.faults.slow_seconds)
        if self.faults.outage:
            return web.json_response({"error": "outage"}, status=503)
        if not self._limit.take(self.faults.reads_per_second):
            headers = {"Retry-After": str(_RETRY_AFTER_SECONDS)}
            return web.json_response({"error": "rate"}, status=429, headers=headers)
        return web.Response(body=bytes(_WEIGHT_BYTES))
