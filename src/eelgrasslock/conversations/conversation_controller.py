"""Keeps the turns of conversations over all daemons.

A turn is appended to the log before its response ends, so that it outlives all
daemons. Daemons that need it find its place through `TurnDirectory` and take it from
the memory of the daemon that served it, else from the log.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.conversations.history_finder import HistoryFinder
from eelgrasslock.conversations.refusals import turns_not_stored
from eelgrasslock.conversations.turn_cache import TurnCache
from eelgrasslock.conversations.turn_directory import TurnDirectory
from eelgrasslock.conversations.turn_log import TurnLog
from eelgrasslock.conversations.turn_writer import TurnWriter
from eelgrasslock.exceptions import LogUnavailable
from eelgrasslock.log.partitioned_log import PartitionedLog
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.periodic import run_periodically

TRIM_MARGIN_SECONDS = 10.0
MAINTENANCE_SECONDS = 5.0

_log = logger.bind(part="conversations")


class TrimmableLog(Protocol):
    """A log whose old records can be deleted."""

    async def trim(self, topic: str, partition: int, offset: int) -> None:
        """Delete the records before an offset; raises `LogUnavailable`."""


class ConversationController:
    """Creates what stores and finds turns, and forgets old ones.

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
    cache : TurnCache
        The turns in memory.
    directory : TurnDirectory
        Finds the places of turns.
    finder : HistoryFinder
        Finds the chains of turns.
    writer : TurnWriter
        Stores turns.
    retention_seconds : float
        The longest time for which a route keeps turns.
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
        self.trimmable_log = trimmable_log
        self.clock = clock
        self.cache = TurnCache(max_cache_bytes)
        turn_log = TurnLog(log, partitions_per_topic)
        self.directory = TurnDirectory(ranking, mesh, turn_log, clock)
        self.finder = HistoryFinder(self.directory, self.cache, clock)
        self.writer = TurnWriter(self.directory, self.cache, clock)
        self.retention_seconds = 0.0
        self._probe_task: asyncio.Task[None] | None = None
        self.tasks = BackgroundTasks()

    def check_can_store(self) -> None:
        """Refuse a turn that could not end.

        Raises
        ------
        Refusal
            If the log takes no turns.
        """
        breaker = self.writer.breaker
        if not breaker.is_open:
            return
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = self.start_task(self.writer.probe())
        raise turns_not_stored(breaker.retry_seconds)

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
        needed = self.retention_seconds + self.writer.rewrite_seconds
        for partition, first in self.directory.drop_older(needed + TRIM_MARGIN_SECONDS):
            try:
                await self.trimmable_log.trim(partition.topic, partition.number, first)
            except LogUnavailable as error:
                _log.info("Old turns are not deleted yet: {}", error)
                return

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Do some work beside the requests, until this daemon stops."""
        return self.tasks.start(work)

    async def stop(self) -> None:
        """Stop storing and telling other daemons."""
        await self.tasks.stop()
        await self.directory.stop()
