"""Graceful shutdown of a gateway daemon.

The daemon first continues to serve new requests for some seconds, since the load
balancer notices late that the daemon is not ready. Then it refuses new requests,
closes idle connections and finishes the requests in flight.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.draws.kept_draw_transfer import KeptDrawTransfer
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.failures.crash_records import CrashRecords
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.listener import Listener
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.gateway.settings import GatewaySettings

READINESS_PROPAGATION_SECONDS = 3.0
SHUTDOWN_RESERVE_SECONDS = 1.5
SAVE_TIMEOUT_SECONDS = 0.8
RECORD_TIMEOUT_SECONDS = 0.35
QUIET_PERIOD_SECONDS = 0.15
MAX_QUIET_PERIODS = 4
# What it takes to close everything afterwards.
CLOSE_SECONDS = 0.4

_log = logger.bind(part="daemon")


class Drainer:
    """Shuts a daemon down without losing requests.

    Parameters
    ----------
    handler : GatewayHandler
        Counts the requests in flight.
    listener : Listener
        The server with the callers' connections.
    allowances : AllowanceManager
        The allowances, whose unused tokens are returned at the end.
    peer_coordinator : PeerCoordinator
        Removes the registration.
    crash_records : CrashRecords
        The crashes that must be in the log before the daemon ends.
    kept_draws : KeptDrawTransfer
        Gives what it keeps for other daemons to the other keepers.
    settings : GatewaySettings
        Provide the time limit of the shutdown.
    """

    def __init__(
        self,
        handler: GatewayHandler,
        listener: Listener,
        allowances: AllowanceManager,
        peer_coordinator: PeerCoordinator,
        crash_records: CrashRecords,
        kept_draws: KeptDrawTransfer,
        settings: GatewaySettings,
    ) -> None:
        self.handler = handler
        self.listener = listener
        self.allowances = allowances
        self.peer_coordinator = peer_coordinator
        self.crash_records = crash_records
        self.kept_draws = kept_draws
        self.settings = settings

    async def run(self) -> None:
        """Finish the requests in flight before the platform kills the process."""
        self.listener.close_after_response = True
        count = self.handler.in_flight.count
        _log.info("Draining with {} requests in flight.", count)
        seconds = self.settings.drain_seconds - SHUTDOWN_RESERVE_SECONDS
        started_at = self.handler.clock.monotonic()
        self.handler.ends_at = started_at + seconds
        try:
            async with asyncio.timeout(seconds):
                await asyncio.sleep(READINESS_PROPAGATION_SECONDS)
                self.handler.stopping = True
                self.listener.close_idle()
                await self.handler.in_flight.none_left()
        except TimeoutError:
            count = self.handler.in_flight.count
            _log.warning("Drain timed out with {} requests in flight.", count)
        await self._save_state()
        self.listener.stop_awaiting_bodies()
        await self._wait_until_quiet()
        await self._finish_last(started_at + self.settings.drain_seconds)

    async def _save_state(self) -> None:
        """Write what must outlive the daemon; what fails doesn't keep the rest back."""
        await asyncio.gather(
            self._save("The crashes of endpoints", self.crash_records.flush),
            self._save("The allowances", self._save_allowances),
            self._save("What is kept for other daemons", self.kept_draws.hand_over),
            self._save("The end of the registration", self.peer_coordinator.deregister),
        )

    async def _save_allowances(self) -> None:
        async with asyncio.timeout(RECORD_TIMEOUT_SECONDS):
            await self.allowances.unrecorded.record()
        await self.allowances.return_all()

    async def _save(self, what: str, write: Callable[[], Awaitable[None]]) -> None:
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_SECONDS):
                await write()
        except TimeoutError:
            _log.warning("{} could not be written in time.", what)
        except (LogUnavailable, AppendUnresolved) as error:
            _log.warning("{} could not be written: {}", what, error)

    async def _wait_until_quiet(self) -> None:
        """Wait until no request has arrived for one quiet period.

        Until then each request is refused: a request that was read before its
        connection is closed would get no response.
        """
        for _ in range(MAX_QUIET_PERIODS):
            refused_before = self.handler.refused_while_stopping
            await asyncio.sleep(QUIET_PERIOD_SECONDS)
            if self.handler.refused_while_stopping == refused_before:
                return

    async def _finish_last(self, ends_at: float) -> None:
        """Let requests that are still in flight use what time is left."""
        left = ends_at - CLOSE_SECONDS - self.handler.clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(left, 0.0)):
                await self.handler.in_flight.none_left()
        count = self.handler.in_flight.count
        if count:
            _log.warning("Ending with {} requests in flight.", count)
