"""A log that is reached through a peer while this daemon can't reach it.

A log may serve some daemons and not others. A daemon that is cut off from it,
or whose calls it rejects, makes them through a peer.
"""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
    PeerUnavailable,
    Ran,
)
from eelgrasslock.log.partitioned_log import NO_LIMIT, PartitionedLog, PartitionRead
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.log_rpc import append_through, read_through
from eelgrasslock.peers.peer_mesh import PeerMesh

DIRECT_RETRY_SECONDS = 0.7
MAX_PEERS_TRIED = 3
PEERS_RETRY_SECONDS = 0.4

_UNREACHABLE = "Neither the log nor a peer that reaches it answers."

_Answer = TypeVar("_Answer")
_log = logger.bind(part="log")


class FallbackLog:
    """A `PartitionedLog` that calls the log directly, else through a peer.

    Parameters
    ----------
    direct : PartitionedLog
        The log, called from this daemon.
    mesh : PeerMesh
        The connections to peers.
    daemon_registry : DaemonRegistry
        The registered daemons.
    clock : Clock
        The source of time.

    Attributes
    ----------
    skip_direct_until : float
        Until when the log is not called directly, on the monotonic clock.
    skip_peers_until : float
        Until when no peer is called, on the monotonic clock.
    preferred_peer : str
        The incarnation of the peer that made the last call.
    relayed_calls : int
        Number of calls that peers made since the start.
    """

    def __init__(
        self,
        direct: PartitionedLog,
        mesh: PeerMesh,
        daemon_registry: DaemonRegistry,
        clock: Clock,
    ) -> None:
        self.direct = direct
        self.mesh = mesh
        self.daemon_registry = daemon_registry
        self.clock = clock
        self.skip_direct_until = float("-inf")
        self.skip_peers_until = float("-inf")
        self.preferred_peer = ""
        self.relayed_calls = 0

    async def append_at(
        self, topic: str, partition: int, records: list[bytes], expected_end: int
    ) -> int:
        """Append; see `log.partitioned_log.PartitionedLog.append_at`."""
        arguments = (topic, partition, records, expected_end)
        if self.uses_direct:
            try:
                end = await self.direct.append_at(*arguments)
            except LogUnavailable as error:
                self._note_direct_failure(error)
            except AppendUnresolved as error:
                self._note_direct_failure(error)
                raise
            else:
                self._note_direct_success()
                return end
        return await self._call_through_peer(
            lambda peer: append_through(peer, *arguments), True
        )

    async def read_from(
        self, topic: str, partition: int, offset: int, max_kilobytes: int = NO_LIMIT
    ) -> PartitionRead:
        """Read; see `log.partitioned_log.PartitionedLog.read_from`."""
        arguments = (topic, partition, offset, max_kilobytes)
        if self.uses_direct:
            try:
                read = await self.direct.read_from(*arguments)
            except LogUnavailable as error:
                self._note_direct_failure(error)
            else:
                self._note_direct_success()
                return read
        return await self._call_through_peer(
            lambda peer: read_through(peer, *arguments), False
        )

    def direct_log(self) -> "DirectLog":
        """Return the log without the fallback, for the calls of peers."""
        return DirectLog(self)

    @property
    def uses_direct(self) -> bool:
        """Whether the log is called directly."""
        return self.clock.monotonic() >= self.skip_direct_until

    def _note_direct_failure(self, error: Exception) -> None:
        if self.skip_direct_until == float("-inf"):
            _log.info("The log is unreachable; calling it through peers: {}", error)
        self.skip_direct_until = self.clock.monotonic() + DIRECT_RETRY_SECONDS

    def _note_direct_success(self) -> None:
        if self.skip_direct_until != float("-inf"):
            _log.info("The log is reachable again.")
        self.skip_direct_until = float("-inf")

    def _candidates(self) -> list[DaemonEntry]:
        """Return the peers to try, the one that made the last call first."""
        entries = self.daemon_registry.nearest_first()
        entries.sort(key=lambda one: one.incarnation != self.preferred_peer)
        return entries[:MAX_PEERS_TRIED]

    async def _call_through_peer(
        self, call: Callable[[Any], Awaitable[_Answer]], is_append: bool
    ) -> _Answer:
        """Make the call through a peer.

        An append whose answer was lost may be repeated through a second peer:
        both expect the same end of the partition, so at most one takes effect.
        """
        if self.clock.monotonic() < self.skip_peers_until:
            raise LogUnavailable(_UNREACHABLE)
        may_be_done = False
        for entry in self._candidates():
            try:
                answer = await self.mesh.call(entry, call)
            except LogUnavailable:
                continue
            except PeerUnavailable as error:
                may_be_done = may_be_done or error.ran is not Ran.NO
                continue
            self.relayed_calls += 1
            self.preferred_peer = entry.incarnation
            return answer
        self.skip_peers_until = self.clock.monotonic() + PEERS_RETRY_SECONDS
        if is_append and may_be_done:
            raise AppendUnresolved(_UNREACHABLE)
        raise LogUnavailable(_UNREACHABLE)


class DirectLog:
    """A `PartitionedLog` that fails at once while direct calls fail.

    The calling peer would otherwise wait until its timeout, and count that as
    a failure of this daemon.
    """

    def __init__(self, fallback: FallbackLog) -> None:
        self.fallback = fallback

    async def append_at(
        self, topic: str, partition: int, records: list[bytes], expected_end: int
    ) -> int:
        """Append; see `log.partitioned_log.PartitionedLog.append_at`."""
        direct = self._available_log()
        return await direct.append_at(topic, partition, records, expected_end)

    async def read_from(
        self, topic: str, partition: int, offset: int, max_kilobytes: int = NO_LIMIT
    ) -> PartitionRead:
        """Read; see `log.partitioned_log.PartitionedLog.read_from`."""
        direct = self._available_log()
        return await direct.read_from(topic, partition, offset, max_kilobytes)

    def _available_log(self) -> PartitionedLog:
        if not self.fallback.uses_direct:
            raise LogUnavailable("The log is not available to this daemon either.")
        return self.fallback.direct
