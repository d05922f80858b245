"""Starting a stand-in on loopback ports, and its scaled clock."""

import asyncio
import contextlib
import signal
import time

from aiohttp import web

HOST = "127.0.0.1"
_SHUTDOWN_SECONDS = 0.2


class ScaledClock:
    """The machine's clock, run slower or faster.

    Parameters
    ----------
    scale : float
        Real seconds for each second that a stand-in means.
    """

    def __init__(self, scale: float = 1.0) -> None:
        self.scale = scale

    def now(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def monotonic(self) -> float:
        """Return scaled seconds on a clock that never goes back."""
        return time.monotonic() / self.scale

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of scaled seconds."""
        await asyncio.sleep(seconds * self.scale)


class RateLimit:
    """A token bucket that holds one second's worth.

    Parameters
    ----------
    clock : ScaledClock
        The clock that refills it.
    """

    def __init__(self, clock: ScaledClock) -> None:
        self.clock = clock
        self._level = 0.0
        self._filled = float("-inf")

    def take(self, per_second: float) -> bool:
        """Take one token if there is one, at the rate given."""
        now = self.clock.monotonic()
        refill = (now - self._filled) * per_second
        self._level = min(max(1.0, per_second), self._level + refill)
        self._filled = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


async def serve(app: web.Application, ports: list[int]) -> None:
    """Serve an application until the process is told to stop.

    Prints one line ``ready ip:port`` for each port, so that whoever asked for
    port 0 learns which one it got.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=_SHUTDOWN_SECONDS)
    await runner.setup()
    try:
        for port in ports:
            await web.TCPSite(runner, HOST, port).start()
        for address in runner.addresses:
            print(f"ready {address[0]}:{address[1]}", flush=True)
        await _stop_signal()
    finally:
        await runner.cleanup()


async def _stop_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        with contextlib.suppress(NotImplementedError):
            loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def drop_connection(request: web.Request) -> web.Response:
    """Cut the connection off, so that no answer reaches the client."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
