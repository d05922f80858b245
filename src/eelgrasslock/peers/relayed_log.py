"""A log that is reached through a peer while it turns this daemon away.

Answers the pattern of a log that serves some daemons and not others: one that
is cut off from it, or turned away, has a peer in reach make its calls.
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
from eelgrasslock.log.partitioned_log import PartitionedLog, PartitionRead
from eelgrasslock.peers.log_relay import append_through, read_through
from eelgrasslock.peers.mesh import PeerMesh
from eelgrasslock.peers.roster import Roster, RosterEntry

AVOID_SECONDS = 0.7
RELAYS_TRIED = 3
NO_RELAY_SECONDS = 0.4

_NO_WAY = "Neither the log nor a peer that reaches it answers."

_Answer = TypeVar("_Answer")
_log = logger.bind(part="log")


class RelayedLog:
    """A `PartitionedLog` over the own way to the log and those of peers.

    Parameters
    ----------
    own : PartitionedLog
        The own way.
    mesh : PeerMesh
        Calls peers.
    roster : Roster
        Knows them.
    clock : Clock
        The time.

    Attributes
    ----------
    avoid_until : float
        Until when the own way is not tried, on the monotonic clock.
    lost_at : float
        When the own way was last lost, on the monotonic clock.
    preferred : str
        The incarnation of the peer that made the last call.
    relayed : int
        Calls that peers made, counted since the start.
    """

    def __init__(
        self, own: PartitionedLog, mesh: PeerMesh, roster: Roster, clock: Clock
    ) -> None:
        self.own = own
        self.mesh = mesh
        self.roster = roster
        self.clock = clock
        self.avoid_until = float("-inf")
        self.no_relay_until = float("-inf")
        self.lost_at = float("inf")
        self.preferred = ""
        self.relayed = 0

    async def append_at(
        self, topic: str, partition: int, records: list[bytes], expected_end: int
    ) -> int:
        """Append; see `log.partitioned_log.PartitionedLog.append_at`."""
        arguments = (topic, partition, records, expected_end)
        if self.uses_own:
            try:
                end = await self.own.append_at(*arguments)
            except LogUnavailable as error:
                self._note_lost(error)
            except AppendUnresolved as error:
                self._note_lost(error)
                raise
            else:
                self._note_regained()
                return end
        return await self._relay(lambda peer: append_through(peer, *arguments), True)

    async def read_from(self, topic: str, partition: int, offset: int) -> PartitionRead:
        """Read; see `log.partitioned_log.PartitionedLog.read_from`."""
        arguments = (topic, partition, offset)
        if self.uses_own:
            try:
                read = await self.own.read_from(*arguments)
            except LogUnavailable as error:
                self._note_lost(error)
            else:
                self._note_regained()
                return read
        return await self._relay(lambda peer: read_through(peer, *arguments), False)

    def for_peers(self) -> "OwnWay":
        """Return the own way to the log, for the calls of peers."""
        return OwnWay(self)

    @property
    def uses_own(self) -> bool:
        """Whether the own way is tried."""
        return self.clock.monotonic() >= self.avoid_until

    def _note_lost(self, error: Exception) -> None:
        if self.avoid_until == float("-inf"):
            self.lost_at = self.clock.monotonic()
            _log.info("The log is lost, calls go through peers: {}", error)
        self.avoid_until = self.clock.monotonic() + AVOID_SECONDS

    def _note_regained(self) -> None:
        if self.avoid_until != float("-inf"):
            _log.info("The log is regained.")
        self.avoid_until = float("-inf")

    def _relays(self) -> list[RosterEntry]:
        """Return the peers to ask, the one that answered last at the front."""
        entries = self.roster.relays()
        entries.sort(key=lambda one: one.incarnation != self.preferred)
        return entries[:RELAYS_TRIED]

    async def _relay(
        self, call: Callable[[Any], Awaitable[_Answer]], is_append: bool
    ) -> _Answer:
        """Have a peer make the call.

        A lost append may be given to a second peer: both have the same
        condition, so that one of them is done at most.
        """
        if self.clock.monotonic() < self.no_relay_until:
            raise LogUnavailable(_NO_WAY)
        may_be_done = False
        for entry in self._relays():
            try:
                answer = await self.mesh.ask(entry, call)
            except LogUnavailable:
                continue
            except PeerUnavailable as error:
                may_be_done = may_be_done or error.ran is not Ran.NO
                continue
            self.relayed += 1
            self.preferred = entry.incarnation
            return answer
        self.no_relay_until = self.clock.monotonic() + NO_RELAY_SECONDS
        if is_append and may_be_done:
            raise AppendUnresolved(_NO_WAY)
        raise LogUnavailable(_NO_WAY)


class OwnWay:
    """A `PartitionedLog` that gives up at once while the own way is lost.

    A peer that asks would else wait for the same silence, and blame us.
    """

    def __init__(self, relayed: RelayedLog) -> None:
        self.relayed = relayed

    async def append_at(
        self, topic: str, partition: int, records: list[bytes], expected_end: int
    ) -> int:
        """Append; see `log.partitioned_log.PartitionedLog.append_at`."""
        own = self._own()
        return await own.append_at(topic, partition, records, expected_end)

    async def read_from(self, topic: str, partition: int, offset: int) -> PartitionRead:
        """Read; see `log.partitioned_log.PartitionedLog.read_from`."""
        return await self._own().read_from(topic, partition, offset)

    def _own(self) -> PartitionedLog:
        if not self.relayed.uses_own:
            raise LogUnavailable("This daemon has lost the log as well.")
        return self.relayed.own
