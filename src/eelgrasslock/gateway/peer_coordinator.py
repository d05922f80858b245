"""Coordination with the other gateway daemons: registration, load and budgets."""

import random
from typing import Any, Protocol

from loguru import logger

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable, PeerUnavailable
from eelgrasslock.log.keyed_log import KeyedLog
from eelgrasslock.log.partitioned_log import PartitionedLog
from eelgrasslock.peers import daemon_registry
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.fallback_log import FallbackLog
from eelgrasslock.peers.load_exchange import LoadExchange, LoadScheduler
from eelgrasslock.peers.peer_mesh import PeerMesh

_log = logger.bind(part="peers")


class CoordinationLog(KeyedLog, PartitionedLog, Protocol):
    """The log in which daemons register and which they call on behalf of peers."""


class PeerCoordinator:
    """Registers this daemon and exchanges load and budget data with its peers.

    Parameters
    ----------
    entry : DaemonEntry
        The registration of this daemon.
    log : CoordinationLog
        The direct connection to the log.
    scheduler : LoadScheduler
        Provides this daemon's load and takes the peers' load.
    clock : Clock
        The source of time.
    rng : random.Random
        Selects peers and adds jitter to retries.

    Attributes
    ----------
    daemon_registry, mesh, load_exchange : DaemonRegistry, PeerMesh, LoadExchange
        The registered daemons, the connections to them, and their load.
    log : FallbackLog
        The log, reached through a peer if the direct connection fails.
    """

    def __init__(
        self,
        entry: DaemonEntry,
        log: CoordinationLog,
        scheduler: LoadScheduler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.direct_log = log
        self.clock = clock
        self.rng = rng
        self.daemon_registry = DaemonRegistry(entry, rng)
        self.mesh = PeerMesh(entry.address, entry.incarnation, clock)
        self.load_exchange = LoadExchange(
            self.mesh, self.daemon_registry, scheduler, clock
        )
        self.log = FallbackLog(log, self.mesh, self.daemon_registry, clock)

    def register_callbacks(self, allowances: AllowanceManager) -> None:
        """Register the callbacks that answer the peers' calls."""
        callbacks = self.mesh.callbacks
        callbacks.log = self.log.direct_log()
        callbacks.release_allowance = allowances.release
        callbacks.offline_usage = allowances.unrecorded.usage

    async def register(self) -> None:
        """Write the registration to the log; retry until it succeeds."""
        backoff = Backoff(self.rng)
        while True:
            try:
                await self.direct_log.put(
                    daemon_registry.TOPIC, self.entry.name, self.entry.encode()
                )
            except LogUnavailable as error:
                _log.info("Registration failed, retrying: {}", error)
                await self.clock.sleep(backoff.next())
            else:
                return

    async def deregister(self) -> None:
        """Remove the registration before the daemon stops.

        Raises
        ------
        LogUnavailable
            If the log did not respond.
        """
        await self.direct_log.put(daemon_registry.TOPIC, self.entry.name, b"")

    async def request_release(self, holder: str, program: str) -> int:
        """Ask another daemon to release the unspent tokens of a program.

        Returns
        -------
        int
            The number of released tokens.

        Raises
        ------
        PeerUnavailable
            If the daemon is not registered or did not respond.
        """
        entry = self.daemon_registry.find(holder)
        if entry is None:
            raise PeerUnavailable(f"{holder} is not registered.")

        async def ask(peer: Any) -> int:
            return (await peer.release(program=program)).tokens

        return await self.mesh.call(entry, ask)
