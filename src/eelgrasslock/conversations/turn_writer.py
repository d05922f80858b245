"""Stores turns in the log before their responses end."""

import asyncio

from attrs import evolve
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.conversations.append_breaker import AppendBreaker
from eelgrasslock.conversations.event_data import StreamEvent
from eelgrasslock.conversations.history import History
from eelgrasslock.conversations.interrupted_turns import encode_events, interrupted_id
from eelgrasslock.conversations.turn import Turn, TurnLink, turn_key
from eelgrasslock.conversations.turn_cache import CachedTurn, TurnCache
from eelgrasslock.conversations.turn_directory import TurnDirectory
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable

APPEND_RETRY_SECONDS = 0.1
PROBE_SECONDS = 0.3
REWRITE_SECONDS = 15.0

_log = logger.bind(part="conversations")


class TurnWriter:
    """Appends turns, and the old records of their ancestors again.

    Parameters
    ----------
    directory : TurnDirectory
        Is told where turns are.
    cache : TurnCache
        Keeps the turns in memory.
    clock : Clock
        The source of time.

    Attributes
    ----------
    breaker : AppendBreaker
        Says whether turns can be stored.
    rewrite_seconds : float
        After this time the record of a turn that is still an ancestor is written
        again, so that a chain without end outlives the records of its first turns.
    stored, rewritten : int
        How many turns were stored, and how many ancestors were written again.
    """

    def __init__(
        self, directory: TurnDirectory, cache: TurnCache, clock: Clock
    ) -> None:
        self.directory = directory
        self.turn_log = directory.turn_log
        self.cache = cache
        self.clock = clock
        self.breaker = AppendBreaker(clock)
        self.rewrite_seconds = REWRITE_SECONDS
        self.stored = 0
        self.rewritten = 0
        self._failed_key = 0

    async def probe(self) -> None:
        """Read the log until it answers, as no turn is stored meanwhile."""
        while self.breaker.is_open:
            try:
                await self.turn_log.probe(self._failed_key)
            except LogUnavailable:
                await self.clock.sleep(PROBE_SECONDS)
            else:
                self.breaker.record_success()

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
        self.cache.put(turn, link, self.clock.monotonic())
        self.stored += 1

    async def _refresh(self, cached: CachedTurn) -> TurnLink:
        """Return the place of an ancestor, written again if its record is old."""
        if cached.link.stored_at > self.clock.now() - self.rewrite_seconds:
            return cached.link
        link = await self._append(cached.turn)
        self.cache.put(cached.turn, link, self.clock.monotonic())
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
        self.cache.put(turn, link, self.clock.monotonic())
        self.directory.add(link)
