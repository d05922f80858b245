"""Brings the log up to what was spent and drawn, again and again."""

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
    """Return what has to run as long as the daemon does.

    Parameters
    ----------
    allowances : Allowances
        The programs' accounts.
    clock : Clock
        The time.
    """
    record = _log_unavailability(
        allowances.record_offline_draws,
        "What was spent without the log is not recorded yet",
    )
    refresh = _log_unavailability(allowances.refresh, "Draws are not repeated yet")
    return [
        run_periodically(clock, lambda: RECORD_INTERVAL_SECONDS, record),
        run_periodically(clock, lambda: REFRESH_INTERVAL_SECONDS, refresh),
    ]


def _log_unavailability(
    work: Callable[[], Awaitable[None]], sentence: str
) -> Callable[[], Awaitable[None]]:
    """Return a task that tells of a log that does not answer, and ends."""

    async def run() -> None:
        try:
            await work()
        except (LogUnavailable, AppendUnresolved) as error:
            _log.info("{}: {}", sentence, error)

    return run
