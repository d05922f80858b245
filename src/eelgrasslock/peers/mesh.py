"""Short calls to any registered daemon, over connections kept for the next one."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable, Ran
from eelgrasslock.peers.beat import Beat
from eelgrasslock.peers.peer_auth import PeerRefused
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_link import LinkLost, PeerLink
from eelgrasslock.peers.peer_server import PeerServer
from eelgrasslock.peers.roster import RosterEntry

CALL_SECONDS = 0.3
AVOID_SECONDS = 1.0

_Answer = TypeVar("_Answer")


class PeerMesh:
    """Connections to other daemons, opened when they are first needed.

    Parameters
    ----------
    address : str
        Where to listen for peers.
    incarnation : str
        Ours.
    clock : Clock
        The time.

    Attributes
    ----------
    callbacks : PeerCallbacks
        What the calls of peers end in.
    avoid_until : dict of str to float
        By incarnation, until when one that took no connection is not asked.
    """

    def __init__(self, address: str, incarnation: str, clock: Clock) -> None:
        self.address = address
        self.incarnation = incarnation
        self.clock = clock
        self.callbacks = PeerCallbacks()
        self.server = PeerServer([], lambda: incarnation, self.callbacks, clock)
        self.avoid_until: dict[str, float] = {}
        self._links: dict[str, PeerLink] = {}
        self._connecting: dict[str, asyncio.Task[PeerLink]] = {}

    async def start(self) -> None:
        """Begin to listen."""
        await self.server.start(self.address)

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        for task in self._connecting.values():
            task.cancel()
        await asyncio.gather(*self._connecting.values(), return_exceptions=True)
        for link in self._links.values():
            link.close()
        self._links.clear()
        await self.server.stop()

    async def ask(
        self,
        entry: RosterEntry,
        ask: Callable[[Any], Awaitable[_Answer]],
        seconds: float = CALL_SECONDS,
    ) -> _Answer:
        """Call a daemon.

        Raises
        ------
        PeerUnavailable
            If it gave no answer in time; ``ran`` says whether the call may
            have been made.
        """

        async def call(link: PeerLink) -> _Answer:
            return await link.ask(ask, seconds)

        return await self._call(entry, call, seconds)

    async def heartbeat(
        self, entry: RosterEntry, beat: Beat, seconds: float = CALL_SECONDS
    ) -> Beat:
        """Exchange heartbeats with a daemon; see `ask`."""

        async def call(link: PeerLink) -> Beat:
            return await link.heartbeat(beat, seconds)

        return await self._call(entry, call, seconds)

    async def _call(
        self,
        entry: RosterEntry,
        call: Callable[[PeerLink], Awaitable[_Answer]],
        seconds: float,
    ) -> _Answer:
        ran = Ran.NO
        if self.clock.monotonic() < self.avoid_until.get(entry.incarnation, 0.0):
            raise PeerUnavailable(f"{entry.name} gave no answer lately.", ran)
        try:
            async with asyncio.timeout(seconds):
                link = await self._link(entry)
                ran = Ran.UNKNOWN
                return await call(link)
        except (LinkLost, PeerRefused, TimeoutError) as error:
            self._drop(entry.incarnation)
            if ran is Ran.NO:
                until = self.clock.monotonic() + AVOID_SECONDS
                self.avoid_until[entry.incarnation] = until
            raise PeerUnavailable(f"{entry.name} gave no answer.", ran) from error

    async def _link(self, entry: RosterEntry) -> PeerLink:
        link = self._links.get(entry.incarnation)
        if link is not None and not link.left:
            return link
        task = self._connecting.get(entry.incarnation)
        if task is None:
            connect = PeerLink.connect(
                entry.address, entry.incarnation, self.incarnation, [], self.clock
            )
            task = asyncio.create_task(connect)
            self._connecting[entry.incarnation] = task
            task.add_done_callback(lambda done: self._connected(entry, done))
        return await asyncio.shield(task)

    def _connected(self, entry: RosterEntry, task: asyncio.Task[PeerLink]) -> None:
        del self._connecting[entry.incarnation]
        if not task.cancelled() and task.exception() is None:
            self._links[entry.incarnation] = task.result()

    def _drop(self, incarnation: str) -> None:
        link = self._links.pop(incarnation, None)
        if link is not None:
            link.leave()
