"""Exchange of load reports between daemons: the calls of each on the endpoints.

It is needed when several daemons, such as ten, share a few engines. An engine
reports its load only with its answers, so a burst would be over before all
daemons have learned of it.
"""

import asyncio
from collections import OrderedDict
from typing import Protocol

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.scheduling.calls import PeerLoad

INTERVAL_SECONDS = 0.25
# An exchange takes about 0.3 ms of CPU time for both sides together; without this
# limit, exchanges among 82 daemons took a fifth of a daemon's CPU time under load.
EXCHANGES_PER_SECOND = 25.0
SILENCE_TIMEOUT_SECONDS = 1.5
REGISTRATION_GRACE_SECONDS = 5.0
MAX_REMEMBERED_PEERS = 1_000

_log = logger.bind(part="peers")


class LoadScheduler(Protocol):
    """The scheduler's interface for load reports."""

    def peer_load(self) -> PeerLoad:
        """Return this daemon's load report."""

    def observe_peer(self, load: PeerLoad) -> None:
        """Apply a peer's load report."""

    def forget_peer(self, incarnation: str) -> None:
        """Delete the load report of a peer that is gone."""


class LoadExchange:
    """Exchanges load reports with all peers.

    Of two daemons, the one whose name sorts first opens the exchange.

    Parameters
    ----------
    mesh : PeerMesh
        Sends the heartbeats.
    daemon_registry : DaemonRegistry
        The registered daemons.
    scheduler : LoadScheduler
        Provides and applies the load reports.
    clock : Clock
        The source of time.

    Attributes
    ----------
    live_peers : dict of str to float
        Time of the last heartbeat from each live peer, by incarnation.
    last_contact : OrderedDict of str to float
        The same, also for peers that are gone.
    first_seen : dict of str to float
        When the registry first listed each daemon, by incarnation.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        daemon_registry: DaemonRegistry,
        scheduler: LoadScheduler,
        clock: Clock,
    ) -> None:
        self.mesh = mesh
        self.daemon_registry = daemon_registry
        self.scheduler = scheduler
        self.clock = clock
        self.live_peers: dict[str, float] = {}
        self.last_contact: OrderedDict[str, float] = OrderedDict()
        self.first_seen: dict[str, float] = {}
        mesh.callbacks.answer_heartbeat = self.answer_heartbeat

    def interval(self) -> float:
        """Return the seconds between two exchanges; grows with the number of peers."""
        peers = len(self.daemon_registry.entries)
        return max(INTERVAL_SECONDS, peers / EXCHANGES_PER_SECOND)

    def answer_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Apply a peer's load report and return this daemon's."""
        self._record(heartbeat)
        return self._make_heartbeat()

    async def exchange(self) -> None:
        """Exchange once with each peer, and drop those that are silent."""
        self._update_first_seen()
        own = self.daemon_registry.own.name
        entries = [
            one for one in self.daemon_registry.entries.values() if one.name > own
        ]
        await asyncio.gather(*(self._exchange_with(entry) for entry in entries))
        self.drop_silent()

    def may_have_served(self, entry: DaemonEntry, since: float) -> bool:
        """Return whether a registered daemon may have served requests after a time.

        A daemon whose last heartbeat is older is gone, or cut off alone. A
        daemon without a heartbeat may have served until a grace period has
        passed since it was first listed here: nothing is known yet of one that
        was registered just now, or before this daemon started.
        """
        last_contact_at = self.last_contact.get(entry.incarnation)
        if last_contact_at is not None:
            return last_contact_at >= since
        now = self.clock.monotonic()
        return (
            now
            < self.first_seen.get(entry.incarnation, now) + REGISTRATION_GRACE_SECONDS
        )

    def _update_first_seen(self) -> None:
        """Record when the registry first listed each daemon."""
        now = self.clock.monotonic()
        listed = [one.incarnation for one in self.daemon_registry.entries.values()]
        self.first_seen = {one: self.first_seen.get(one, now) for one in listed}

    def drop_silent(self) -> None:
        """Drop the peers whose last heartbeat is too old."""
        oldest = self.clock.monotonic() - max(
            SILENCE_TIMEOUT_SECONDS, 3 * self.interval()
        )
        for incarnation, last_contact_at in list(self.live_peers.items()):
            if last_contact_at < oldest:
                del self.live_peers[incarnation]
                self.scheduler.forget_peer(incarnation)
                _log.info("Peer {} stopped answering heartbeats.", incarnation)

    async def _exchange_with(self, entry: DaemonEntry) -> None:
        try:
            heartbeat = await self.mesh.heartbeat(entry, self._make_heartbeat())
        except PeerUnavailable:
            # `drop_silent` logs it once, when the peer counts as silent.
            return
        self._record(heartbeat)

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(load=self.scheduler.peer_load())

    def _record(self, heartbeat: Heartbeat) -> None:
        incarnation = heartbeat.load.incarnation
        if incarnation not in self.live_peers:
            _log.info("Peer {} is live.", incarnation)
        self.live_peers[incarnation] = self.clock.monotonic()
        self.last_contact[incarnation] = self.clock.monotonic()
        self.last_contact.move_to_end(incarnation)
        while len(self.last_contact) > MAX_REMEMBERED_PEERS:
            self.last_contact.popitem(last=False)
        self.scheduler.observe_peer(heartbeat.load)
