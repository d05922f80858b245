"""Periodic work that records offline draws and refreshes records in the log."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.periodic import run_periodically

RECORD_INTERVAL_SECONDS = 0.4
REFRESH_INTERVAL_SECONDS = 20.0

_log = logger.bind(part="allowances")


def maintenance_loops(
    allowances: AllowanceManager, clock: Clock
) -> list[Coroutine[Any, Any, None]]:
    """Return the loops that run until the daemon stops.

    Parameters
    ----------
    allowances : AllowanceManager
        Accounts of the programs.
    clock : Clock
        The time.
    """
    record = _log_unavailability(
        allowances.unrecorded.record,
        "Tokens spent during a log outage are not recorded yet",
    )
    tell_less = allowances.unrecorded.tell_less
    refresh = _log_unavailability(allowances.refresh, "Draws are not refreshed yet")
    return [
        run_periodically(clock, lambda: RECORD_INTERVAL_SECONDS, record),
        run_periodically(clock, lambda: RECORD_INTERVAL_SECONDS, tell_less),
        run_periodically(clock, lambda: REFRESH_INTERVAL_SECONDS, refresh),
    ]


def _log_unavailability(
    work: Callable[[], Awaitable[None]], message: str
) -> Callable[[], Awaitable[None]]:
    """Return a function that does the work and logs an unavailable log."""

    async def run() -> None:
        try:
            await work()
        except (LogUnavailable, AppendUnresolved) as error:
            _log.info("{}: {}", message, error)

    return run
