"""A startup barrier: waits until the peers have read a new member's join record."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.member_table import MemberTable

# Long enough for an append to the log and one heartbeat; short, because a daemon
# must also become ready while the log is down or a peer is dead.
BARRIER_TIMEOUT_SECONDS = 1.0
_RETRY_SECONDS = 0.05

log = logger.bind(part="members")


class JoinBarrier:
    """Sends heartbeats to the peers until they have read this member's join record.

    A peer that has not read the record yet does not send this daemon what it
    learns, such as which requests crash endpoints. The peer's answers carry the
    offset up to which it has read the `members` stream.

    Parameters
    ----------
    table : MemberTable
        The members.
    peers : callable
        Returns the peers that this daemon sends heartbeats to.
    send_heartbeat : callable
        Sends one heartbeat to a peer; returns whether the peer answered.
    clock : Clock
        The source of time.

    Attributes
    ----------
    offsets : dict of str to int
        How far each peer has read the `members` stream, by incarnation.
    is_passed : bool
        Whether all peers have read the record, or the timeout has passed.
    """

    def __init__(
        self,
        table: MemberTable,
        peers: Callable[[], list[MemberJoined]],
        send_heartbeat: Callable[[MemberJoined], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self.table = table
        self.peers = peers
        self.send_heartbeat = send_heartbeat
        self.clock = clock
        self.offsets: dict[str, int] = {}
        self.is_passed = False

    def note_offset(self, incarnation: str, members_offset: int) -> None:
        """Record how far a peer has read the `members` stream."""
        if not self.is_passed:
            self.offsets[incarnation] = members_offset

    async def wait(self, joined: asyncio.Event) -> None:
        """Wait for the peers, once this daemon has read its own join record."""
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_SECONDS):
                await joined.wait()
                join_offset = self.table.offset
                waits = [
                    self._wait_for_peer(peer, join_offset) for peer in self.peers()
                ]
                await asyncio.gather(*waits)
        except TimeoutError:
            log.info(
                "Not all peers had read our join record after {} s.",
                BARRIER_TIMEOUT_SECONDS,
            )
        finally:
            self.is_passed = True
            self.offsets.clear()

    async def _wait_for_peer(self, peer: MemberJoined, join_offset: int) -> None:
        while not (
            await self.send_heartbeat(peer)
            and self.offsets.get(peer.incarnation, 0) >= join_offset
        ):
            await self.clock.sleep(_RETRY_SECONDS)
