"""How a daemon that serves routes ends without losing a request.

For a while it serves whoever still comes, since the balancer hears late that
it is not ready. Then it refuses new requests, closes idle connections, and
finishes what is in flight.
"""

import asyncio

from loguru import logger

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.listener import Listener
from eelgrasslock.gateway.peering import Peering
from eelgrasslock.gateway.settings import GatewaySettings

SERVING_SECONDS = 3.0
LAST_SECONDS = 1.5
GIVE_BACK_SECONDS = 0.5
QUIET_SECONDS = 0.15
MOST_QUIET_TRIES = 4

_log = logger.bind(part="daemon")


class Drainer:
    """Ends the serving of one daemon.

    Parameters
    ----------
    handler : GatewayHandler
        Knows the requests in flight.
    listener : Listener
        Holds the callers' connections.
    allowances : AllowanceManager
        Given back at the end.
    peering : Peering
        Removes the registration.
    settings : GatewaySettings
        Say how long there is.
    """

    def __init__(
        self,
        handler: GatewayHandler,
        listener: Listener,
        allowances: AllowanceManager,
        peering: Peering,
        settings: GatewaySettings,
    ) -> None:
        self.handler = handler
        self.listener = listener
        self.allowances = allowances
        self.peering = peering
        self.settings = settings

    async def run(self) -> None:
        """Finish what is in flight, within the time that the platform waits."""
        self.listener.closing = True
        count = self.handler.in_flight.count
        _log.info("Draining, {} requests in flight.", count)
        try:
            async with asyncio.timeout(self.settings.drain_seconds - LAST_SECONDS):
                await asyncio.sleep(SERVING_SECONDS)
                self.handler.closed = True
                self.listener.close_idle()
                await self.handler.in_flight.none_left()
        except TimeoutError:
            count = self.handler.in_flight.count
            _log.warning("{} requests outlast the drain.", count)
        await self._give_back()
        await self._quiet()

    async def _give_back(self) -> None:
        try:
            async with asyncio.timeout(GIVE_BACK_SECONDS):
                await self.allowances.record_offline_draws()
                await self.allowances.return_all()
                await self.peering.deregister()
        except TimeoutError:
            _log.info("The log did not take back all allowances in time.")
        except (LogUnavailable, AppendUnresolved) as error:
            _log.info("The log did not take back all allowances: {}", error)

    async def _quiet(self) -> None:
        """Wait until no caller has sent a request for a moment.

        Until then each is refused, since a request that was read and then lost
        its connection would be left without an answer.
        """
        for _ in range(MOST_QUIET_TRIES):
            refused = self.handler.refused_closed
            await asyncio.sleep(QUIET_SECONDS)
            if self.handler.refused_closed == refused:
                return
