"""Brings the log up to what was spent and drawn, again and again."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.periodic import run_periodically

RECORD_SECONDS = 0.4
KEEP_SECONDS = 20.0

_log = logger.bind(part="allowances")


def upkeep_runs(
    allowances: Allowances, clock: Clock
) -> list[Coroutine[Any, Any, None]]:
    """Return what has to run as long as the daemon does.

    Parameters
    ----------
    allowances : Allowances
        The programs' accounts.
    clock : Clock
        The time.
    """
    record = _telling(
        allowances.record_offline, "What was spent without the log is not recorded yet"
    )
    keep = _telling(allowances.keep, "Draws are not repeated yet")
    return [
        run_periodically(clock, lambda: RECORD_SECONDS, record),
        run_periodically(clock, lambda: KEEP_SECONDS, keep),
    ]


def _telling(
    work: Callable[[], Awaitable[None]], sentence: str
) -> Callable[[], Awaitable[None]]:
    """Return a task that tells of a log that does not answer, and ends."""

    async def run() -> None:
        try:
            await work()
        except (LogUnavailable, AppendUnresolved) as error:
            _log.info("{}: {}", sentence, error)

    return run
