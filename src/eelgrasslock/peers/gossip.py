"""Pulls state from peers that the log can't deliver, or delivers later."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable, RecordError
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.records import MEMBERS_STREAM, MemberJoined
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.peers.peer_transport import PeerTransport

_SEED_RETRY_SECONDS = 2.0

_Pull = Callable[[MemberJoined], Awaitable[None]]

log = logger.bind(part="members")


class Gossip:
    """Pulls a newer configuration or a newer member table from a peer.

    Parameters
    ----------
    peers : PeerTransport
        The connections.
    table : MemberTable
        The members.
    tail : LogTail
        Reports whether the log can be read.
    clock : Clock
        The source of time.
    on_merged : callable
        Called after a peer's member table has been merged.
    """

    def __init__(
        self,
        peers: PeerTransport,
        table: MemberTable,
        tail: LogTail,
        clock: Clock,
        on_merged: Callable[[], None],
    ) -> None:
        self.peers = peers
        self.table = table
        self.tail = tail
        self.clock = clock
        self.on_merged = on_merged
        self._pulls: dict[str, asyncio.Task[None]] = {}

    async def stop(self) -> None:
        """Cancel the pulls in progress."""
        pulls = list(self._pulls.values())
        for task in pulls:
            task.cancel()
        await asyncio.gather(*pulls, return_exceptions=True)

    def pull_if_newer(self, member: MemberJoined, heartbeat: Heartbeat) -> None:
        """Pull the state that is newer at a peer, according to its heartbeat."""
        if heartbeat.config_version > self.peers.config_version():
            self._pull("config", self.peers.pull_config, member)
        behind = heartbeat.members_offset > self.table.offset
        if heartbeat.retired or (behind and self.tail.failing(MEMBERS_STREAM)):
            self._pull("members", self._pull_members, member)

    async def pull_from_seeds(
        self, addresses: Callable[[], Awaitable[list[str]]]
    ) -> None:
        """Pull the member table from seed addresses while the log can't be read.

        Ends as soon as the table holds a member.
        """
        while True:
            await self.clock.sleep(_SEED_RETRY_SECONDS)
            if not self.tail.failing(MEMBERS_STREAM) or self.table.live():
                return
            for address in await addresses():
                if await self._pull_from_seed(address):
                    break

    async def _pull_from_seed(self, address: str) -> bool:
        if address == self.peers.address:
            return False
        try:
            self._merge(await self.peers.fetch_members_at(address))
        except (PeerUnavailable, RecordError) as error:
            log.info("Could not pull the member table from {}: {}", address, error)
            return False
        return True

    def _pull(self, what: str, pull: _Pull, member: MemberJoined) -> None:
        if what in self._pulls:
            return
        task = asyncio.create_task(self._run_pull(what, pull(member)))
        self._pulls[what] = task
        task.add_done_callback(lambda _: self._pulls.pop(what))

    async def _run_pull(self, what: str, pull: Awaitable[None]) -> None:
        try:
            await pull
        except (PeerUnavailable, RecordError) as error:
            log.info("Could not pull {} from a peer: {}", what, error)

    async def _pull_members(self, member: MemberJoined) -> None:
        self._merge(await self.peers.fetch_members(member))

    def _merge(self, snapshot: bytes) -> None:
        self.table.merge(snapshot)
        self.on_merged()
