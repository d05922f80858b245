"""Finds the places of turns: each partition has keepers that index its turns.

The keepers of a partition are the first daemons by rendezvous hashing. They are told
of each turn once the log has it. What they know is only a cache: a daemon that is
asked for a turn that it does not know reads the partition to its end, and so does the
asker if no keeper answers. Since a turn is in the log before its response ends, a read
that began after the question shows for certain whether there is such a turn.
"""

import asyncio
from typing import Any, TypeVar

from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.conversations.turn import TurnLink, turn_key
from eelgrasslock.conversations.turn_index import TurnIndex, TurnPlace
from eelgrasslock.conversations.turn_log import TurnLog, TurnPartition
from eelgrasslock.conversations.turn_messages import (
    FoundTurn,
    answer_place,
    ask_place,
    tell_place,
    told_places,
)
from eelgrasslock.exceptions import LogError, PeerCallUnsupported, PeerUnavailable
from eelgrasslock.peers.daemon_health import DaemonHealth
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh

KEEPERS = 2
# More than are told, as keepers may be gone, or of a build that keeps no turns.
MAX_DAEMONS_TOLD = 4
# Each read may bring a whole partition, so that a flood of unknown ids is bounded.
MAX_PARTITION_READS = 4

_Result = TypeVar("_Result")
_log = logger.bind(part="conversations")


class TurnDirectory:
    """Tells the keepers of turns, asks them, and answers as one of them.

    Parameters
    ----------
    ranking : DaemonRanking
        Ranks the daemons for each partition.
    mesh : PeerMesh
        Calls the other daemons.
    turn_log : TurnLog
        The log.
    clock : Clock
        The source of time.

    Attributes
    ----------
    indexes : dict of TurnPartition to TurnIndex
        The places that this daemon knows.
    partition_reads : int
        How often a partition was read since the start.
    """

    def __init__(
        self,
        ranking: DaemonRanking,
        mesh: PeerMesh,
        turn_log: TurnLog,
        clock: Clock,
    ) -> None:
        self.ranking = ranking
        self.mesh = mesh
        self.turn_log = turn_log
        self.clock = clock
        self.health = DaemonHealth(ranking, mesh, clock)
        self.indexes: dict[TurnPartition, TurnIndex] = {}
        self.partition_reads = 0
        self._reading: dict[TurnPartition, asyncio.Lock] = {}
        self._read_slots = asyncio.Semaphore(MAX_PARTITION_READS)
        self._unsupported: set[str] = set()
        self.tasks = BackgroundTasks()

    # --- turns that end ---------------------------------------------------------

    def add(self, link: TurnLink) -> None:
        """Take note of a turn that this daemon has stored, and tell the keepers."""
        place = TurnPlace(
            key=turn_key(link.id),
            offset=link.offset,
            size=link.size,
            holder=self.ranking.registry.own.incarnation,
            stored_at=self.clock.monotonic(),
        )
        self.tasks.start(self._tell_keepers(place))

    async def _tell_keepers(self, place: TurnPlace) -> None:
        told = 0
        for entry in self.keepers(place.key)[:MAX_DAEMONS_TOLD]:
            told += await self._tell(entry, place)
            if told == KEEPERS:
                return

    async def _tell(self, entry: DaemonEntry, place: TurnPlace) -> bool:
        """Tell a daemon, which may be this one; return whether it took note."""
        if entry is self.ranking.registry.own:
            self._index(place.key).put(place)
            return True
        try:
            await tell_place(self.mesh, entry, [place], self.clock.monotonic())
        except PeerUnavailable as error:
            self.note_unavailable(entry, error)
            return False
        return True

    def keepers(self, key: int) -> list[DaemonEntry]:
        """Return the daemons that answer, by rank, the second of another domain."""
        partition = self.turn_log.partition(key)
        ranked = [
            entry
            for entry in self.ranking.ranked(str(partition))
            if entry.incarnation not in self._unsupported
            and not self.health.is_silent(entry)
        ]
        for place, entry in enumerate(ranked[1:], start=1):
            if entry.domain != ranked[0].domain:
                ranked.insert(1, ranked.pop(place))
                break
        return ranked

    # --- turns that are looked for ----------------------------------------------

    async def find(self, id: str) -> FoundTurn:
        """Return where a turn is, or that the log has none, as far as can be known.

        The keepers are asked at once for what they know, then one of them reads the
        log, and then this daemon does.
        """
        key = turn_key(id)
        place = self._index(key).find(key)
        keepers = self.keepers(key)[:KEEPERS]
        if place is None:
            place = await self._ask_all(keepers, key)
        if place is not None:
            return FoundTurn(place=place, is_absent=False)
        for entry in keepers[:1]:
            found = await self._ask(entry, key, reads_log=True)
            if found.place is not None or found.is_absent:
                return found
        return await self.look_up(key)

    async def _ask_all(self, keepers: list[DaemonEntry], key: int) -> TurnPlace | None:
        """Return the place that the first of several daemons gives who knows it."""
        own = self.ranking.registry.own
        pending = {
            self.tasks.start(self._ask(entry, key, reads_log=False))
            for entry in keepers
            if entry is not own
        }
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task.result().place is not None:
                    return task.result().place
        return None

    async def _ask(self, entry: DaemonEntry, key: int, reads_log: bool) -> FoundTurn:
        if entry is self.ranking.registry.own:
            return await self.look_up(key)
        now = self.clock.monotonic()
        try:
            return await ask_place(self.mesh, entry, key, reads_log, now)
        except PeerUnavailable as error:
            self.note_unavailable(entry, error)
            return FoundTurn(place=None, is_absent=False)

    async def look_up(self, key: int) -> FoundTurn:
        """Return where a turn is; read its partition if this daemon doesn't know."""
        index = self._index(key)
        place = index.find(key)
        if place is not None:
            return FoundTurn(place=place, is_absent=False)
        try:
            await self._catch_up(key, index)
        except LogError as error:
            _log.info("The partition of a turn can't be read: {}", error)
            return FoundTurn(place=index.find(key), is_absent=False)
        place = index.find(key)
        return FoundTurn(place=place, is_absent=place is None)

    async def _catch_up(self, key: int, index: TurnIndex) -> None:
        """Read a partition to its end, unless another read finds the turn before."""
        partition = self.turn_log.partition(key)
        lock = self._reading.setdefault(partition, asyncio.Lock())
        async with lock, self._read_slots:
            if index.find(key) is not None:
                return
            self.partition_reads += 1
            now = self.clock.monotonic()
            unreadable = await self.turn_log.catch_up(index, partition, now)
        if unreadable:
            _log.warning("{} has {} records that are no turns.", partition, unreadable)

    # --- calls of other daemons -------------------------------------------------

    async def serve_tell(self, message: dict[str, Any], results: Any) -> None:
        """Take note of turns that another daemon has stored."""
        for place in told_places(message, self.clock.monotonic()):
            self._index(place.key).put(place)

    async def serve_find(self, message: dict[str, Any], results: Any) -> None:
        """Answer where a turn is."""
        key = message["key"]
        if message["readsLog"]:
            found = await self.look_up(key)
        else:
            found = FoundTurn(place=self._index(key).find(key), is_absent=False)
        answer_place(results, found, self.clock.monotonic())

    # --- maintenance ------------------------------------------------------------

    def drop_older(self, seconds: float) -> list[tuple[TurnPartition, int]]:
        """Forget the places of turns that are kept no longer.

        Parameters
        ----------
        seconds : float
            How long a record may be needed.

        Returns
        -------
        list of (TurnPartition, int)
            The partitions whose records before an offset nobody needs, of those
            for which this daemon is the first keeper.
        """
        self.health.forget_past()
        registered = self.ranking.registry.entries.values()
        self._unsupported &= {one.incarnation for one in registered}
        oldest = self.clock.monotonic() - seconds
        unneeded = []
        for partition, index in self.indexes.items():
            first = index.drop_older(oldest)
            ranked = self.ranking.ranked(str(partition))
            if first is not None and ranked[0] is self.ranking.registry.own:
                unneeded.append((partition, first))
        return unneeded

    async def stop(self) -> None:
        """Stop telling."""
        await self.tasks.stop()

    def _index(self, key: int) -> TurnIndex:
        return self.indexes.setdefault(self.turn_log.partition(key), TurnIndex())

    def note_unavailable(self, entry: DaemonEntry, error: PeerUnavailable) -> None:
        """Pass over a daemon that did not answer, or that keeps no turns."""
        if isinstance(error, PeerCallUnsupported):
            self._unsupported.add(entry.incarnation)
            _log.info("{} is of a build that keeps no turns.", entry.name)
            return
        self.health.record_silent(entry)
