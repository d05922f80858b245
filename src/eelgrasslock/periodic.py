"""Work that is repeated until it is cancelled."""

from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.clock import Clock

log = logger.bind(part="periodic")


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
