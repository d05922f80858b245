"""Stand-ins served inside the test's own process, for quick tests."""

import contextlib
import random

from aiohttp.test_utils import TestServer

from eelgrasslock_standins.engine import EngineStandin
from eelgrasslock_standins.engine_core import EngineCore
from eelgrasslock_standins.engine_settings import EngineFaults, EngineShape
from eelgrasslock_standins.service import ServiceFaults, ServiceStandin
from eelgrasslock_standins.serving import ScaledClock

QUICK = 0.01


class Served:
    """A stand-in and where it listens."""

    def __init__(self, standin, url: str) -> None:
        self.standin = standin
        self.url = url
        self.faults = standin.faults


class StandinServers:
    """Starts stand-ins; leaving the context stops them."""

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "StandinServers":
        return self

    async def __aexit__(self, *details) -> None:
        await self._stack.aclose()

    async def engine(self, scale=QUICK, credential="", seed=0, **shape) -> Served:
        core = EngineCore(
            EngineShape(**shape),
            EngineFaults(load_lag_seconds=0.0),
            ScaledClock(scale),
            random.Random(seed),
        )
        return await self._serve(EngineStandin(core, credential))

    async def service(self) -> Served:
        return await self._serve(
            ServiceStandin("licence-app", ScaledClock(QUICK), ServiceFaults())
        )

    async def _serve(self, standin) -> Served:
        server = TestServer(standin.application())
        await server.start_server(shutdown_timeout=0.05)
        self._stack.push_async_callback(server.close)
        return Served(standin, str(server.make_url("")).rstrip("/"))
