"""Makes a new member known to its peers before it takes requests."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.member_table import MemberTable

# Long enough for the log's answer and one exchange; short, since a daemon must
# also become ready while the log is down or a peer is dead.
BARRIER_TIMEOUT_SECONDS = 1.0
_RETRY_SECONDS = 0.05

log = logger.bind(part="members")


class JoinBarrier:
    """Exchanges heartbeats with the peers until they know of this member.

    A peer that has not read our record yet does not send us what it learns,
    such as which requests crash endpoints. Its answers tell how far it has read.

    Parameters
    ----------
    table : MemberTable
        The members.
    peers : callable
        Gives the peers that we exchange heartbeats with.
    beat : callable
        Exchanges one heartbeat with a peer.
    clock : Clock
        The source of time.

    Attributes
    ----------
    is_passed : bool
        Whether all peers know us, or were waited for long enough.
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
        """Note how far a peer has read the members' stream."""
        if not self.is_passed:
            self.offsets[incarnation] = members_offset

    async def wait(self, joined: asyncio.Event) -> None:
        """Meet the peers once our own record was read back."""
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_SECONDS):
                await joined.wait()
                join_offset = self.table.offset
                waits = [
                    self._wait_for_peer(peer, join_offset) for peer in self.peers()
                ]
                await asyncio.gather(*waits)
        except TimeoutError:
            log.info("Not all peers knew us after {} s.", BARRIER_TIMEOUT_SECONDS)
        finally:
            self.is_passed = True
            self.offsets.clear()

    async def _wait_for_peer(self, peer: MemberJoined, join_offset: int) -> None:
        while not (
            await self.send_heartbeat(peer)
            and self.offsets.get(peer.incarnation, 0) >= join_offset
        ):
            await self.clock.sleep(_RETRY_SECONDS)
