"""The controller that sends the daemon's state as gauges."""

import asyncio
import contextlib
from collections.abc import Callable

from attrs import frozen

from eelgrasslock.clock import Clock
from eelgrasslock.periodic import run_periodically
from eelgrasslock.telemetry.metrics import Metrics

_INTERVAL_SECONDS = 10.0


@frozen
class Gauge:
    """One figure that is read again and again.

    Attributes
    ----------
    name : str
        Its name, as in `metrics.METRICS`.
    read : callable
        Returns it.
    """

    name: str
    read: Callable[[], float]


class Gauges:
    """Sends all gauges every `_INTERVAL_SECONDS`.

    Parameters
    ----------
    metrics : Metrics
        Where they go.
    clock : Clock
        The time.
    gauges : list of Gauge
        What is sent.
    """

    def __init__(self, metrics: Metrics, clock: Clock, gauges: list[Gauge]) -> None:
        self.metrics = metrics
        self.clock = clock
        self.gauges = gauges
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to send."""
        self._task = asyncio.create_task(
            run_periodically(self.clock, lambda: _INTERVAL_SECONDS, self.send)
        )

    async def stop(self) -> None:
        """Stop sending."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def send(self) -> None:
        """Send each gauge once."""
        for gauge in self.gauges:
            self.metrics.gauge(gauge.name, gauge.read())
