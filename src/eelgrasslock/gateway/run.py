"""Runs a gateway daemon from its settings until it is stopped."""

import asyncio
import pathlib
import random
import signal

import capnp
from loguru import logger

from eelgrasslock.clock import SystemClock
from eelgrasslock.gateway.application import GatewayApplication
from eelgrasslock.gateway.platform_adapters import PlatformAdapters
from eelgrasslock.gateway.settings import GatewaySettings, load_gateway_settings
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.platform.headers import PlatformMessageCodec
from eelgrasslock.platform.record_decoder import PlatformRecordDecoder
from eelgrasslock.platform.store_client import PlatformStoreClient
from eelgrasslock.telemetry import logs
from eelgrasslock.telemetry.log_sink import LogSink

_log = logger.bind(part="daemon")


def run_gateway(path: pathlib.Path) -> None:
    """Run one daemon until SIGTERM or SIGINT.

    Raises
    ------
    SettingsError
        If its settings are invalid.
    """
    settings = load_gateway_settings(path)
    sink = logs.setup_json(settings.name, settings.log_level)
    try:
        asyncio.run(_run(settings, sink))
    finally:
        sink.close()


async def _run(settings: GatewaySettings, sink: LogSink) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    clock = SystemClock()
    pool = ConnectionPool(clock)
    store = PlatformStoreClient(settings.store_address, settings.store_partitions, pool)
    platform = PlatformAdapters(
        log=store,
        record_decoder=PlatformRecordDecoder(),
        codec=PlatformMessageCodec(),
    )
    application = GatewayApplication(settings, platform, pool, clock, random.Random())
    store.on_call = application.metrics.store_called
    application.metrics.watch(
        "log_lines_left_out", "Log lines left out.", lambda: sink.left_out
    )
    async with capnp.kj_loop():
        try:
            await application.start()
            await stop.wait()
            await application.drain()
        finally:
            await application.stop()


def _log_ignored_reload() -> None:
    """Log that SIGHUP changes nothing: new settings need a restart."""
    _log.info("Received SIGHUP; settings are only read at the start of the daemon.")
