"""How a daemon that serves routes ends without losing a request.

For a while it serves whoever still comes, since the balancer hears late that
it is not ready. Then it refuses new requests, closes idle connections, and
finishes what is in flight.
"""

import asyncio

from loguru import logger

from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.listener import Listener
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.gateway.settings import GatewaySettings

READINESS_PROPAGATION_SECONDS = 3.0
SHUTDOWN_RESERVE_SECONDS = 1.5
RELEASE_TIMEOUT_SECONDS = 0.5
QUIET_PERIOD_SECONDS = 0.15
MAX_QUIET_PERIODS = 4

_log = logger.bind(part="daemon")


class Drainer:
    """Ends the serving of one daemon.

    Parameters
    ----------
    handler : GatewayHandler
        Knows the requests in flight.
    listener : Listener
        Holds the callers' connections.
    allowances : Allowances
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
        allowances: Allowances,
        peer_coordinator: PeerCoordinator,
        settings: GatewaySettings,
    ) -> None:
        self.handler = handler
        self.listener = listener
        self.allowances = allowances
        self.peer_coordinator = peer_coordinator
        self.settings = settings

    async def run(self) -> None:
        """Finish what is in flight, within the time that the platform waits."""
        self.listener.close_after_response = True
        count = self.handler.in_flight.count
        _log.info("Draining, {} requests in flight.", count)
        try:
            async with asyncio.timeout(
                self.settings.drain_seconds - SHUTDOWN_RESERVE_SECONDS
            ):
                await asyncio.sleep(READINESS_PROPAGATION_SECONDS)
                self.handler.stopping = True
                self.listener.close_idle()
                await self.handler.in_flight.none_left()
        except TimeoutError:
            count = self.handler.in_flight.count
            _log.warning("{} requests outlast the drain.", count)
        await self._release_allowances()
        await self._wait_until_quiet()

    async def _release_allowances(self) -> None:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await self.allowances.record_offline()
                await self.allowances.give_back_all()
                await self.peer_coordinator.deregister()
        except TimeoutError:
            _log.info("The log did not take back all allowances in time.")
        except (LogUnavailable, AppendUnresolved) as error:
            _log.info("The log did not take back all allowances: {}", error)

    async def _wait_until_quiet(self) -> None:
        """Wait until no caller has sent a request for a moment.

        Until then each is refused, since a request that was read and then lost
        its connection would be left without an answer.
        """
        for _ in range(MAX_QUIET_PERIODS):
            refused = self.handler.refused_while_stopping
            await asyncio.sleep(QUIET_PERIOD_SECONDS)
            if self.handler.refused_while_stopping == refused:
                return
