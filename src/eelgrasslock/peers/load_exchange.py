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
from eelgrasslock.peers.beat import Beat
from eelgrasslock.peers.mesh import PeerMesh
from eelgrasslock.peers.roster import Roster, RosterEntry
from eelgrasslock.scheduling.calls import PeerLoad

INTERVAL_SECONDS = 0.25
# An exchange takes some 0.3 ms of processor time, both sides together; with 82
# daemons they were a fifth of what a daemon spent under load.
EXCHANGES_PER_SECOND = 25.0
GONE_SECONDS = 1.5
SETTLING_SECONDS = 5.0
PEERS_REMEMBERED = 1_000

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
    heard : dict of str to float
        When each peer that is not silent was last heard, by incarnation.
    last_heard : OrderedDict of str to float
        The same for peers that are gone, too.
    first_seen : dict of str to float
        When the roster first named each daemon, by incarnation.
    """

    def __init__(
        self, mesh: PeerMesh, roster: Roster, scheduler: LoadScheduler, clock: Clock
    ) -> None:
        self.mesh = mesh
        self.roster = roster
        self.scheduler = scheduler
        self.clock = clock
        self.heard: dict[str, float] = {}
        self.last_heard: OrderedDict[str, float] = OrderedDict()
        self.first_seen: dict[str, float] = {}
        mesh.callbacks.beat_received = self.answer

    def interval(self) -> float:
        """Return the seconds between two exchanges, more with many peers."""
        peers = len(self.roster.entries)
        return max(INTERVAL_SECONDS, peers / EXCHANGES_PER_SECOND)

    def answer(self, beat: Beat) -> Beat:
        """Take a peer's word and give ours."""
        self._take(beat)
        return self._beat()

    async def exchange(self) -> None:
        """Exchange once with each peer, and drop those that are gone."""
        self._note_entries()
        own = self.roster.own.name
        entries = [one for one in self.roster.entries.values() if one.name > own]
        await asyncio.gather(*(self._exchange(entry) for entry in entries))
        self.sweep()

    def may_have_lived(self, entry: RosterEntry, since: float) -> bool:
        """Return whether a registered daemon may have served after a time.

        One that fell silent before it is gone, or cut off alone. Of one that
        was registered just now, or before our own start, nothing is known yet.
        """
        heard = self.last_heard.get(entry.incarnation)
        if heard is not None:
            return heard >= since
        now = self.clock.monotonic()
        return now < self.first_seen.get(entry.incarnation, now) + SETTLING_SECONDS

    def _note_entries(self) -> None:
        """Note when the roster first named each daemon."""
        now = self.clock.monotonic()
        named = [one.incarnation for one in self.roster.entries.values()]
        self.first_seen = {one: self.first_seen.get(one, now) for one in named}

    def sweep(self) -> None:
        """Drop the peers that have been silent for a while."""
        oldest = self.clock.monotonic() - max(GONE_SECONDS, 3 * self.interval())
        for incarnation, heard in list(self.heard.items()):
            if heard < oldest:
                del self.heard[incarnation]
                self.scheduler.forget_peer(incarnation)
                _log.info("Peer {} has fallen silent.", incarnation)

    async def _exchange(self, entry: RosterEntry) -> None:
        try:
            beat = await self.mesh.heartbeat(entry, self._beat())
        except PeerUnavailable:
            # The sweep tells of it once, when the peer counts as silent.
            return
        self._take(beat)

    def _beat(self) -> Beat:
        return Beat(load=self.scheduler.peer_load())

    def _take(self, beat: Beat) -> None:
        incarnation = beat.load.incarnation
        if incarnation not in self.heard:
            _log.info("Peer {} is heard.", incarnation)
        self.heard[incarnation] = self.clock.monotonic()
        self.last_heard[incarnation] = self.clock.monotonic()
        self.last_heard.move_to_end(incarnation)
        while len(self.last_heard) > PEERS_REMEMBERED:
            self.last_heard.popitem(last=False)
        self.scheduler.observe_peer(beat.load)
