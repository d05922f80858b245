"""Runs a daemon that serves routes, from its settings to its end."""

import asyncio
import pathlib
import random
import signal

import capnp

from eelgrasslock.clock import SystemClock
from eelgrasslock.gateway.application import GatewayApplication, Platform
from eelgrasslock.gateway.settings import GatewaySettings, load_gateway_settings
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.platform.headers import PlatformDialect
from eelgrasslock.platform.records import PlatformRecords
from eelgrasslock.platform.store import PlatformStore
from eelgrasslock.telemetry import logs


def run_gateway(path: pathlib.Path) -> None:
    """Run one daemon until SIGTERM or SIGINT.

    Raises
    ------
    SettingsError
        If its settings have findings.
    """
    settings = load_gateway_settings(path)
    logs.setup_json(settings.name, settings.log_level)
    asyncio.run(_run(settings))


async def _run(settings: GatewaySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    clock = SystemClock()
    pool = ConnectionPool(clock)
    platform = Platform(
        log=PlatformStore(settings.store_address, settings.store_partitions, pool),
        records=PlatformRecords(),
        dialect=PlatformDialect(),
    )
    application = GatewayApplication(settings, platform, pool, clock, random.Random())
    async with capnp.kj_loop():
        try:
            await application.start()
            await stop.wait()
            await application.drain()
        finally:
            await application.stop()
