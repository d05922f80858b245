"""Finds the chain of a turn: in memory, at the daemon that served it, or in the log."""

import asyncio
from collections.abc import Sequence
from typing import Any

from attrs import evolve
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.conversations.event_data import StreamEvent
from eelgrasslock.conversations.history import History
from eelgrasslock.conversations.interrupted_turns import (
    decode_events,
    interrupted_id,
)
from eelgrasslock.conversations.refusals import history_unknown, no_such_turn
from eelgrasslock.conversations.turn import TurnLink
from eelgrasslock.conversations.turn_cache import CachedTurn, TurnCache
from eelgrasslock.conversations.turn_directory import TurnDirectory
from eelgrasslock.conversations.turn_index import TurnPlace
from eelgrasslock.conversations.turn_messages import answer_turns, fetch_turns
from eelgrasslock.exceptions import LogError, PeerUnavailable, RecordError

# Beyond the time for which a turn is kept: clocks differ, and a request takes time.
RETENTION_MARGIN_SECONDS = 5.0
# So few that a daemon with a slow link sends them within the time of a call.
MAX_FETCHED_BYTES = 250_000
MAX_TURNS_READ = 8

_log = logger.bind(part="conversations")


class HistoryFinder:
    """Finds chains of turns, and gives other daemons the turns in memory.

    Parameters
    ----------
    directory : TurnDirectory
        Finds the places of turns.
    cache : TurnCache
        The turns in memory.
    clock : Clock
        The source of time.
    """

    def __init__(
        self, directory: TurnDirectory, cache: TurnCache, clock: Clock
    ) -> None:
        self.directory = directory
        self.cache = cache
        self.clock = clock

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
        cached = await self._read(_link(id, found.place, self.clock))
        # An index that was read from the log does not know the age of its records.
        cached.link = evolve(cached.link, stored_at=cached.turn.ended_at)
        return cached, "log", ""

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
        registry = self.directory.ranking.registry
        entry = registry.find(holder) if holder else None
        if entry is None or self.directory.health.is_silent(entry):
            return {}
        found: dict[str, CachedTurn] = {}
        wanted = list(ids)
        while wanted:
            try:
                fetched = await fetch_turns(self.directory.mesh, entry, wanted)
            except PeerUnavailable as error:
                self.directory.note_unavailable(entry, error)
                return found
            except RecordError as error:
                _log.warning("{} sent turns that can't be read: {}", entry.name, error)
                return found
            for turn, link in fetched:
                found[turn.id] = self.cache.put(turn, link, self.clock.monotonic())
            wanted = [one for one in wanted if one not in found]
            if not fetched:
                break
        return found

    async def _read(self, link: TurnLink) -> CachedTurn:
        """Return a turn from the log; refuse the request if it can't be read."""
        try:
            turn = await self.directory.turn_log.read(link)
        except (LogError, RecordError) as error:
            _log.warning("Turn {} can't be read: {}", link.id, error)
            raise history_unknown("the log does not give a turn of it.") from error
        return self.cache.put(turn, link, self.clock.monotonic())

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
