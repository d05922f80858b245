"""Work that is repeated until it is cancelled."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from eelgrasslock.clock import Clock

log = logger.bind(part="periodic")


RESTART_SECONDS = 0.5


async def keep_running(
    clock: Clock, name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a loop, and start it again after an error that nobody foresaw.

    Parameters
    ----------
    clock : Clock
        The source of time.
    name : str
        Names the loop in log lines.
    run : callable
        Returns the loop, which ends by itself or is cancelled.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception("{} failed; it starts again.", name)
        else:
            return
        await clock.sleep(RESTART_SECONDS)


async def run_periodically(
    clock: Clock,
    wait: Callable[[], float],
    work: Callable[[], Awaitable[None]],
) -> None:
    """Do some work again and again; an error in it is logged.

    Parameters
    ----------
    clock : Clock
        The source of time.
    wait : callable
        Returns the seconds to wait before the next time.
    work : callable
        What to do.
    """
    while True:
        await clock.sleep(wait())
        try:
            await work()
        except Exception:
            log.exception("Periodic work failed.")
