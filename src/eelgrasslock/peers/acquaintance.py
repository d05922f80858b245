"""Makes a new member known to its peers before it takes requests."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.members import MemberTable

# Long enough for the log's answer and one exchange; short, since a daemon must
# also become ready while the log is down or a peer is dead.
MEETING_SECONDS = 1.0
_AGAIN_SECONDS = 0.05

log = logger.bind(part="members")


class Acquaintance:
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
    is_made : bool
        Whether all peers know us, or were waited for long enough.
    """

    def __init__(
        self,
        table: MemberTable,
        peers: Callable[[], list[MemberJoined]],
        beat: Callable[[MemberJoined], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self.table = table
        self.peers = peers
        self.beat = beat
        self.clock = clock
        self.offsets: dict[str, int] = {}
        self.is_made = False

    def heard(self, incarnation: str, members_offset: int) -> None:
        """Note how far a peer has read the members' stream."""
        if not self.is_made:
            self.offsets[incarnation] = members_offset

    async def make(self, joined: asyncio.Event) -> None:
        """Meet the peers once our own record was read back."""
        try:
            async with asyncio.timeout(MEETING_SECONDS):
                await joined.wait()
                known_at = self.table.offset
                meetings = [self._meet(peer, known_at) for peer in self.peers()]
                await asyncio.gather(*meetings)
        except TimeoutError:
            log.info("Not all peers knew us after {} s.", MEETING_SECONDS)
        finally:
            self.is_made = True
            self.offsets.clear()

    async def _meet(self, peer: MemberJoined, known_at: int) -> None:
        while not (
            await self.beat(peer) and self.offsets.get(peer.incarnation, 0) >= known_at
        ):
            await self.clock.sleep(_AGAIN_SECONDS)
