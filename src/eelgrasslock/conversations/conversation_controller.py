"""Keeps the turns of conversations over all daemons.

A turn is appended to the log before its response ends, so that it outlives all
daemons. Daemons that need it find its place through `TurnDirectory` and take it from
the memory of the daemon that served it, else from the log.
"""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any, Protocol

from attrs import evolve, frozen
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.conversations.append_breaker import AppendBreaker
from eelgrasslock.conversations.event_data import StreamEvent
from eelgrasslock.conversations.interrupted_turns import (
    decode_events,
    encode_events,
    interrupted_id,
)
from eelgrasslock.conversations.refusals import (
    history_unknown,
    no_such_turn,
    turns_not_stored,
)
from eelgrasslock.conversations.turn import Turn, TurnLink, turn_key
from eelgrasslock.conversations.turn_cache import CachedTurn, TurnCache
from eelgrasslock.conversations.turn_directory import TurnDirectory
from eelgrasslock.conversations.turn_index import TurnPlace
from eelgrasslock.conversations.turn_log import TurnLog
from eelgrasslock.conversations.turn_messages import answer_turns, fetch_turns
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogError,
    LogUnavailable,
    PeerUnavailable,
    RecordError,
)
from eelgrasslock.log.partitioned_log import PartitionedLog
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.periodic import run_periodically

APPEND_RETRY_SECONDS = 0.1
PROBE_SECONDS = 0.3
# Beyond the time for which a turn is kept: clocks differ, and a request takes time.
RETENTION_MARGIN_SECONDS = 5.0
# The record of a turn that is still an ancestor is written again after this time, so
# that a chain without end outlives the records of its first turns.
REWRITE_SECONDS = 15.0
TRIM_MARGIN_SECONDS = 10.0
MAINTENANCE_SECONDS = 5.0
# So few that a daemon with a slow link sends them within the time of a call.
MAX_FETCHED_BYTES = 250_000
MAX_TURNS_READ = 8
MAX_CHAIN_TURNS = 4_000

_log = logger.bind(part="conversations")


class TrimmableLog(Protocol):
    """A log whose old records can be deleted."""

    async def trim(self, topic: str, partition: int, offset: int) -> None:
        """Delete the records before an offset; raises `LogUnavailable`."""


@frozen(kw_only=True)
class History:
    """The chain of turns that a new turn continues.

    Attributes
    ----------
    turns : tuple of CachedTurn
        The turns, oldest first.
    source : str
        ``own`` if this daemon had all of them, ``peer`` if others gave some,
        ``log`` if some were read from the log; empty for a turn that starts a chain.
    """

    turns: tuple[CachedTurn, ...] = ()
    source: str = ""

    @property
    def parent(self) -> Turn | None:
        """The last turn."""
        return self.turns[-1].turn if self.turns else None

    @property
    def size(self) -> int:
        """The bytes of all inputs and outputs."""
        return sum(one.turn.size for one in self.turns)

    def body(self, new_input: bytes) -> bytes:
        """Return what an engine is to receive."""
        parts = []
        for one in self.turns:
            parts += [one.turn.input, one.turn.output]
        return b"".join([*parts, new_input])


class ConversationController:
    """Stores turns, and finds the chains of turns.

    Parameters
    ----------
    ranking : DaemonRanking
        Ranks the daemons.
    mesh : PeerMesh
        Calls the other daemons.
    log : PartitionedLog
        The log, reached through a peer if need be.
    trimmable_log : TrimmableLog
        The log, to delete what nobody needs.
    partitions_per_topic : int
        How many partitions a topic has.
    max_cache_bytes : int
        The limit of the turns in memory.
    clock : Clock
        The source of time.

    Attributes
    ----------
    retention_seconds : float
        The longest time for which a route keeps turns.
    stored, rewritten : int
        How many turns were stored, and how many ancestors were written again.
    """

    def __init__(
        self,
        ranking: DaemonRanking,
        mesh: PeerMesh,
        log: PartitionedLog,
        trimmable_log: TrimmableLog,
        partitions_per_topic: int,
        max_cache_bytes: int,
        clock: Clock,
    ) -> None:
        self.ranking = ranking
        self.mesh = mesh
        self.trimmable_log = trimmable_log
        self.clock = clock
        self.turn_log = TurnLog(log, partitions_per_topic)
        self.directory = TurnDirectory(
            ranking, mesh, self.turn_log, ranking.registry.own.incarnation, clock
        )
        self.cache = TurnCache(max_cache_bytes)
        self.breaker = AppendBreaker(clock)
        self.retention_seconds = 0.0
        self.stored = 0
        self.rewritten = 0
        self._failed_key = 0
        self._probe_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    # --- turns that begin -------------------------------------------------------

    def check_can_store(self) -> None:
        """Refuse a turn that could not end.

        Raises
        ------
        Refusal
            If the log takes no turns.
        """
        if not self.breaker.is_open:
            return
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = self.start_task(self._probe())
        raise turns_not_stored(self.breaker.retry_seconds)

    async def _probe(self) -> None:
        """Read the log until it answers, as no turn is stored meanwhile."""
        while self.breaker.is_open:
            try:
                await self.turn_log.probe(self._failed_key)
            except LogUnavailable:
                await self.clock.sleep(PROBE_SECONDS)
            else:
                self.breaker.record_success()

    async def find_history(self, parent_id: str, retention_seconds: float) -> History:
        """Return the chain of turns that ends with a turn.

        Raises
        ------
        Refusal
            With 404 if there certainly is no such turn, with 503 if that or a part
            of the chain is not known.
        """
        if not parent_id:
            return History()
        parent, source, holder = await self._find(parent_id)
        oldest = self.clock.now() - retention_seconds - RETENTION_MARGIN_SECONDS
        if parent.turn.ended_at < oldest:
            raise no_such_turn()
        links = parent.turn.ancestors
        now = self.clock.monotonic()
        known = {one.id: self.cache.find(one.id, now) for one in links}
        missing = [one for one in links if known[one.id] is None]
        if missing:
            found, missing_source = await self._fetch_chain(holder, missing)
            known |= found
            source = _farther(source, missing_source)
        turns = [one for link in links if (one := known[link.id]) is not None]
        return History(turns=(*turns, parent), source=source)

    async def _find(self, id: str) -> tuple[CachedTurn, str, str]:
        """Return a turn, where it was found, and who may have its ancestors."""
        cached = self.cache.find(id, self.clock.monotonic())
        if cached is not None:
            return cached, "own", ""
        found = await self.directory.find(id)
        if found.is_absent:
            raise no_such_turn()
        if found.place is None:
            raise history_unknown("neither the log nor a daemon that knows it answers.")
        holder = found.place.holder
        fetched = await self._fetch(holder, [id])
        if fetched:
            return fetched[id], "peer", holder
        return await self._read(_link(id, found.place, self.clock)), "log", ""

    async def _fetch_chain(
        self, holder: str, missing: Sequence[TurnLink]
    ) -> tuple[dict[str, CachedTurn], str]:
        """Return ancestors of a turn from the daemon that served it, or the log."""
        found = await self._fetch(holder, [one.id for one in missing])
        unread = [one for one in missing if one.id not in found]
        for start in range(0, len(unread), MAX_TURNS_READ):
            links = unread[start : start + MAX_TURNS_READ]
            read = await asyncio.gather(*(self._read(one) for one in links))
            found |= {one.turn.id: one for one in read}
        return found, "log" if unread else "peer"

    async def _fetch(self, holder: str, ids: Sequence[str]) -> dict[str, CachedTurn]:
        """Return those of some turns that a daemon has in memory."""
        entry = self.ranking.registry.find(holder) if holder else None
        if entry is None or self.directory.health.is_silent(entry):
            return {}
        found: dict[str, CachedTurn] = {}
        wanted = list(ids)
        while wanted:
            try:
                fetched = await fetch_turns(self.mesh, entry, wanted)
            except PeerUnavailable as error:
                self.directory.note_unavailable(entry, error)
                return found
            except RecordError as error:
                _log.warning("{} sent turns that can't be read: {}", entry.name, error)
                return found
            for turn, link in fetched:
                found[turn.id] = self._keep(turn, link)
            wanted = [one for one in wanted if one not in found]
            if not fetched:
                break
        return found

    async def _read(self, link: TurnLink) -> CachedTurn:
        """Return a turn from the log; refuse the request if it can't be read."""
        try:
            turn = await self.turn_log.read(link)
        except (LogError, RecordError) as error:
            _log.warning("Turn {} can't be read: {}", link.id, error)
            raise history_unknown("the log does not give a turn of it.") from error
        return self._keep(turn, link)

    def _keep(self, turn: Turn, link: TurnLink) -> CachedTurn:
        now = self.clock.monotonic()
        self.cache.put(turn, link, now)
        return CachedTurn(turn, link, now)

    # --- turns that end ---------------------------------------------------------

    async def store(self, turn: Turn, history: History) -> None:
        """Store a turn; try until it is done.

        It returns once the log has the turn and its chain for as long as the turn
        is kept. The caller limits the time.

        Parameters
        ----------
        turn : Turn
            The turn, without its ancestors.
        history : History
            The chain that it continues.
        """
        ancestors = await asyncio.gather(*(self._refresh(one) for one in history.turns))
        turn = evolve(turn, ancestors=tuple(ancestors))
        link = await self._append(turn)
        self._keep(turn, link)
        self.stored += 1

    async def _refresh(self, cached: CachedTurn) -> TurnLink:
        """Return the place of an ancestor, written again if its record is old."""
        if cached.link.stored_at > self.clock.now() - REWRITE_SECONDS:
            return cached.link
        link = await self._append(cached.turn)
        cached.link = link
        self._keep(cached.turn, link)
        self.rewritten += 1
        return link

    async def _append(self, turn: Turn) -> TurnLink:
        while True:
            try:
                link = await self.turn_log.append(turn, self.clock.now())
            except LogUnavailable as error:
                self._record_failure(turn)
                _log.info("Turn {} is not stored yet: {}", turn.id, error)
                await self.clock.sleep(APPEND_RETRY_SECONDS)
            except AppendUnresolved as error:
                self._record_failure(turn)
                _log.info("Turn {} may not be stored yet: {}", turn.id, error)
            else:
                self.breaker.record_success()
                self.directory.add(link)
                return link

    def _record_failure(self, turn: Turn) -> None:
        self._failed_key = turn_key(turn.id)
        self.breaker.record_failure()

    # --- turns that break off ---------------------------------------------------

    async def store_interrupted(self, stream: str, events: list[StreamEvent]) -> None:
        """Store the events of a stream that broke off and may be resumed.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not confirm it.
        """
        turn = Turn(
            id=interrupted_id(stream),
            parent="",
            endpoint="",
            ended_at=self.clock.now(),
            input=b"",
            output=encode_events(events),
        )
        link = await self.turn_log.append(turn, self.clock.now())
        self._keep(turn, link)
        self.directory.add(link)

    async def find_interrupted(self, stream: str, last_event: int) -> list[StreamEvent]:
        """Return the events of a stream that its caller has, up to the last one.

        Raises
        ------
        Refusal
            If they are not known.
        """
        id = interrupted_id(stream)
        found = await self.directory.find(id)
        if found.place is None:
            raise history_unknown("the beginning of this stream is not known.")
        fetched = await self._fetch(found.place.holder, [id])
        cached = fetched.get(id) or self.cache.find(id, self.clock.monotonic())
        if cached is None:
            cached = await self._read(_link(id, found.place, self.clock))
        events = [
            one
            for one in decode_events(cached.turn.output)
            if one.number is not None and one.number <= last_event
        ]
        if not events or events[-1].number != last_event:
            raise history_unknown("an event of this stream is not known.")
        return events

    # --- calls of other daemons -------------------------------------------------

    async def serve_fetch(self, message: dict[str, Any], results: Any) -> None:
        """Answer with turns that are in memory, a first one at least."""
        now = self.clock.monotonic()
        found: list[CachedTurn] = []
        size = 0
        for id in message["ids"]:
            cached = self.cache.find(id, now)
            if cached is None:
                continue
            size += cached.turn.size
            if found and size > MAX_FETCHED_BYTES:
                break
            found.append(cached)
        answer_turns(results, found)

    # --- maintenance ------------------------------------------------------------

    def extend_retention(self, seconds: float) -> None:
        """Keep turns for a time at least; it never gets shorter.

        A configuration that drops a route may be followed by one that has it again.
        """
        self.retention_seconds = max(self.retention_seconds, seconds)

    async def maintain_periodically(self) -> None:
        """Forget what is kept no longer, again and again."""
        await run_periodically(self.clock, lambda: MAINTENANCE_SECONDS, self.maintain)

    async def maintain(self) -> None:
        """Forget what is kept no longer, here and in the log."""
        now = self.clock.monotonic()
        self.cache.drop_unused(now - self.retention_seconds)
        needed = self.retention_seconds + REWRITE_SECONDS + TRIM_MARGIN_SECONDS
        for partition, first in self.directory.drop_older(needed):
            try:
                await self.trimmable_log.trim(partition.topic, partition.number, first)
            except LogUnavailable as error:
                _log.info("Old turns are not deleted yet: {}", error)
                return

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Do some work beside the requests, until this daemon stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Stop storing and telling other daemons."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.directory.stop()


def _link(id: str, place: TurnPlace, clock: Clock) -> TurnLink:
    age_seconds = clock.monotonic() - place.stored_at
    return TurnLink(
        id=id,
        offset=place.offset,
        size=place.size,
        stored_at=clock.now() - age_seconds,
    )


def _farther(one: str, other: str) -> str:
    """Return the source that took longer to reach."""
    return max(one, other, key=("own", "peer", "log").index)
