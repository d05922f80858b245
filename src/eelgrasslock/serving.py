"""Runs a daemon that serves programs, from its settings to its end."""

import asyncio
import pathlib
import random
import signal
from collections.abc import Coroutine
from typing import Any

import aiohttp
import capnp

from eelgrasslock.application import Application
from eelgrasslock.clock import SystemClock
from eelgrasslock.configuration.folder import load_daemon_settings
from eelgrasslock.configuration.settings import DaemonSettings
from eelgrasslock.http.client_session import open_session
from eelgrasslock.telemetry import logs, tracing


def run_daemon(folder: pathlib.Path) -> None:
    """Run one daemon until SIGTERM or SIGINT.

    Raises
    ------
    SettingsError
        If its settings have findings.
    """
    settings = load_daemon_settings(folder)
    logs.setup(settings)
    end_export = tracing.setup(settings)
    try:
        asyncio.run(_run(settings))
    finally:
        end_export()


async def _run(settings: DaemonSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with capnp.kj_loop(), open_session() as session:
        while not stop.is_set():
            await _run_incarnation(settings, session, stop)


async def _run_incarnation(
    settings: DaemonSettings, session: aiohttp.ClientSession, stop: asyncio.Event
) -> None:
    """Run until told to stop, or until peers have retired this incarnation."""
    application = Application(settings, SystemClock(), random.Random(), session)
    try:
        await application.start()
        await _first(stop.wait(), application.retired.wait())
        await application.drain()
        if not stop.is_set():
            await _first(application.flush(), stop.wait())
    finally:
        await application.stop()


async def _first(*waits: Coroutine[Any, Any, Any]) -> None:
    """Wait until one of some coroutines is done and cancel the others."""
    tasks = [asyncio.create_task(one) for one in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
