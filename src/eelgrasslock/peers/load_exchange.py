"""Tells the other daemons how we use the endpoints, and hears how they do.

Answers the pattern of ten daemons that share a few engines: an engine's own
word comes with an answer only, so that a burst is over before all have heard.
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
# An exchange takes some 0.3 ms of processor time, both sides together; with 82
# daemons they were a fifth of what a daemon spent under load.
EXCHANGES_PER_SECOND = 25.0
SILENCE_TIMEOUT_SECONDS = 1.5
REGISTRATION_GRACE_SECONDS = 5.0
MAX_REMEMBERED_PEERS = 1_000

_log = logger.bind(part="peers")


class LoadScheduler(Protocol):
    """The part of the scheduler that hears of peers."""

    def peer_load(self) -> PeerLoad:
        """Return our own word for peers."""

    def observe_peer(self, load: PeerLoad) -> None:
        """Take in a peer's word."""

    def forget_peer(self, incarnation: str) -> None:
        """Drop a peer that is gone."""


class LoadExchange:
    """Exchanges loads with all peers; of two daemons the first by name begins.

    Parameters
    ----------
    mesh : PeerMesh
        Calls peers.
    roster : Roster
        Knows them.
    scheduler : LoadScheduler
        Gives and takes the loads.
    clock : Clock
        The time.

    Attributes
    ----------
    live_peers : dict of str to float
        When each peer that is not silent was last heard, by incarnation.
    last_contact : OrderedDict of str to float
        The same for peers that are gone, too.
    first_seen : dict of str to float
        When the roster first named each daemon, by incarnation.
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
        """Return the seconds between two exchanges, more with many peers."""
        peers = len(self.daemon_registry.entries)
        return max(INTERVAL_SECONDS, peers / EXCHANGES_PER_SECOND)

    def answer_heartbeat(self, beat: Heartbeat) -> Heartbeat:
        """Take a peer's word and give ours."""
        self._record(beat)
        return self._make_heartbeat()

    async def exchange(self) -> None:
        """Exchange once with each peer, and drop those that are gone."""
        self._update_first_seen()
        own = self.daemon_registry.own.name
        entries = [
            one for one in self.daemon_registry.entries.values() if one.name > own
        ]
        await asyncio.gather(*(self._exchange_with(entry) for entry in entries))
        self.drop_silent()

    def may_have_served(self, entry: DaemonEntry, since: float) -> bool:
        """Return whether a registered daemon may have served after a time.

        One that fell silent before it is gone, or cut off alone. Of one that
        was registered just now, or before our own start, nothing is known yet.
        """
        heard = self.last_contact.get(entry.incarnation)
        if heard is not None:
            return heard >= since
        now = self.clock.monotonic()
        return (
            now
            < self.first_seen.get(entry.incarnation, now) + REGISTRATION_GRACE_SECONDS
        )

    def _update_first_seen(self) -> None:
        """Note when the roster first named each daemon."""
        now = self.clock.monotonic()
        named = [one.incarnation for one in self.daemon_registry.entries.values()]
        self.first_seen = {one: self.first_seen.get(one, now) for one in named}

    def drop_silent(self) -> None:
        """Drop the peers that have been silent for a while."""
        oldest = self.clock.monotonic() - max(
            SILENCE_TIMEOUT_SECONDS, 3 * self.interval()
        )
        for incarnation, heard in list(self.live_peers.items()):
            if heard < oldest:
                del self.live_peers[incarnation]
                self.scheduler.forget_peer(incarnation)
                _log.info("Peer {} has fallen silent.", incarnation)

    async def _exchange_with(self, entry: DaemonEntry) -> None:
        try:
            beat = await self.mesh.heartbeat(entry, self._make_heartbeat())
        except PeerUnavailable:
            # The sweep tells of it once, when the peer counts as silent.
            return
        self._record(beat)

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(load=self.scheduler.peer_load())

    def _record(self, beat: Heartbeat) -> None:
        incarnation = beat.load.incarnation
        if incarnation not in self.live_peers:
            _log.info("Peer {} is heard.", incarnation)
        self.live_peers[incarnation] = self.clock.monotonic()
        self.last_contact[incarnation] = self.clock.monotonic()
        self.last_contact.move_to_end(incarnation)
        while len(self.last_contact) > MAX_REMEMBERED_PEERS:
            self.last_contact.popitem(last=False)
        self.scheduler.observe_peer(beat.load)
