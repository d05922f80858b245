"""Short calls to registered daemons, over connections that are reused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable, Ran
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.forwarding import forward_once
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.peer_auth import HandshakeFailed
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_connection import ConnectionLost, PeerConnection
from eelgrasslock.peers.peer_server import PeerServer
from eelgrasslock.requests.exchange import Request, Responder
from eelgrasslock.running_timeout import RunningTimeout

CALL_TIMEOUT_SECONDS = 0.3
CONNECT_RETRY_SECONDS = 1.0

_Answer = TypeVar("_Answer")


class PeerMesh:
    """Connections to other daemons, opened on first use, and a server for theirs.

    Parameters
    ----------
    address : str
        Where to listen for peers, as ``ip:port``.
    incarnation : str
        This daemon's incarnation.
    clock : Clock
        The source of time.

    Attributes
    ----------
    callbacks : PeerCallbacks
        The callbacks that serve the calls of peers.
    reconnect_at : dict of str to float
        By incarnation, until when a daemon that took no connection is not called.
    """

    def __init__(self, address: str, incarnation: str, clock: Clock) -> None:
        self.address = address
        self.incarnation = incarnation
        self.clock = clock
        self.callbacks = PeerCallbacks()
        self.server = PeerServer([], lambda: incarnation, self.callbacks, clock)
        self.reconnect_at: dict[str, float] = {}
        self._connections: dict[str, PeerConnection] = {}
        self._connecting: dict[str, asyncio.Task[PeerConnection]] = {}

    async def start(self) -> None:
        """Start to listen."""
        await self.server.start(self.address)

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        for task in self._connecting.values():
            task.cancel()
        await asyncio.gather(*self._connecting.values(), return_exceptions=True)
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        await self.server.stop()

    async def call(
        self,
        entry: DaemonEntry,
        send: Callable[[Any], Awaitable[_Answer]],
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> _Answer:
        """Call a daemon with a deadline.

        Raises
        ------
        PeerUnavailable
            If the daemon did not answer in time; ``ran`` says whether the call
            may have been made.
        """

        async def call(connection: PeerConnection) -> _Answer:
            return await connection.call(send, timeout_seconds)

        return await self._call(entry, call, timeout_seconds)

    async def heartbeat(
        self,
        entry: DaemonEntry,
        heartbeat: Heartbeat,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Heartbeat:
        """Exchange heartbeats with a daemon; raises the errors of `call`."""

        async def call(connection: PeerConnection) -> Heartbeat:
            return await connection.heartbeat(heartbeat, timeout_seconds)

        return await self._call(entry, call, timeout_seconds)

    async def forward(
        self, entry: DaemonEntry, request: Request, responder: Responder
    ) -> None:
        """Forward a request to a daemon and stream its response to the responder.

        Cancelling this call cancels the request at the daemon.

        Raises
        ------
        PeerUnavailable
            With ``ran`` as ``NO`` if the request did not start at the daemon and
            never will, else ``UNKNOWN``.
        """
        connection = await self._connect(entry, RunningTimeout(CALL_TIMEOUT_SECONDS))
        await forward_once(
            connection,
            lambda: self._reconnect(entry),
            request,
            responder,
            CALL_TIMEOUT_SECONDS,
        )

    async def _reconnect(self, entry: DaemonEntry) -> PeerConnection:
        self._drop(entry.incarnation)
        return await self._connect(entry, RunningTimeout(CALL_TIMEOUT_SECONDS))

    async def _connect(
        self, entry: DaemonEntry, limit: RunningTimeout
    ) -> PeerConnection:
        """Return a connection, an existing one if there is one."""
        if self.clock.monotonic() < self.reconnect_at.get(entry.incarnation, 0.0):
            raise PeerUnavailable(
                f"{entry.name} could not be reached a moment ago.", Ran.NO
            )
        try:
            async with limit:
                return await self._get_connection(entry)
        except (ConnectionLost, HandshakeFailed, TimeoutError) as error:
            self._drop(entry.incarnation)
            until = self.clock.monotonic() + CONNECT_RETRY_SECONDS
            self.reconnect_at[entry.incarnation] = until
            raise PeerUnavailable(f"{entry.name} gave no answer.", Ran.NO) from error

    async def _call(
        self,
        entry: DaemonEntry,
        call: Callable[[PeerConnection], Awaitable[_Answer]],
        timeout_seconds: float,
    ) -> _Answer:
        limit = RunningTimeout(timeout_seconds)
        connection = await self._connect(entry, limit)
        try:
            async with limit:
                return await call(connection)
        except (ConnectionLost, TimeoutError) as error:
            self._drop(entry.incarnation)
            raise PeerUnavailable(
                f"{entry.name} gave no answer.", Ran.UNKNOWN
            ) from error

    async def _get_connection(self, entry: DaemonEntry) -> PeerConnection:
        connection = self._connections.get(entry.incarnation)
        if connection is not None and not connection.draining:
            return connection
        task = self._connecting.get(entry.incarnation)
        if task is None:
            connect = PeerConnection.connect(
                entry.address, entry.incarnation, self.incarnation, [], self.clock
            )
            task = asyncio.create_task(connect)
            self._connecting[entry.incarnation] = task
            task.add_done_callback(lambda done: self._connected(entry, done))
        return await asyncio.shield(task)

    def _connected(
        self, entry: DaemonEntry, task: asyncio.Task[PeerConnection]
    ) -> None:
        del self._connecting[entry.incarnation]
        if not task.cancelled() and task.exception() is None:
            self._connections[entry.incarnation] = task.result()

    def _drop(self, incarnation: str) -> None:
        connection = self._connections.pop(incarnation, None)
        if connection is not None:
            connection.drain()
