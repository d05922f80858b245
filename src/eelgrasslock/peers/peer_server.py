"""Server for the connections of peers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import capnp
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.peers.forwarded_requests import ForwardedRequests
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_handlers import GateHandler

_IDLE_SECONDS = 90.0
_SWEEP_SECONDS = 30.0
_TRAVERSAL_LIMIT_WORDS = 16_777_216

log = logger.bind(part="peers")


class PeerServer:
    """Accepts the connections of peers and serves their calls.

    Parameters
    ----------
    keys : list of str
        The shared keys that are accepted; an empty list disables authentication.
    own_incarnation : callable
        Returns this daemon's incarnation.
    callbacks : PeerCallbacks
        The callbacks that serve the calls.
    clock : Clock
        The source of time.
    """

    def __init__(
        self,
        keys: list[str],
        own_incarnation: Callable[[], str],
        callbacks: PeerCallbacks,
        clock: Clock,
    ) -> None:
        self.keys = keys
        self.own_incarnation = own_incarnation
        self.callbacks = callbacks
        self.clock = clock
        self.forwarded_requests = ForwardedRequests(clock)
        self.connections: set[IncomingConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, address: str) -> str:
        """Start to listen, and return the ``ip:port`` that was bound."""
        host, _, port = address.rpartition(":")
        self._server = await capnp.AsyncIoStream.create_server(
            self._accept, host, int(port)
        )
        self._sweeper = asyncio.create_task(self._sweep())
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    async def stop(self) -> None:
        """Stop listening, close all connections and wait for their calls to end."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        for connection in list(self.connections):
            connection.close()
        serving = [connection.ended.wait() for connection in self.connections]
        await asyncio.gather(*serving)

    async def _accept(self, stream: Any) -> None:
        connection = IncomingConnection(self, stream)
        self.connections.add(connection)
        try:
            await connection.serve()
        except capnp.KjException as error:
            log.debug("The connection of a peer broke: {}", error.type)
        finally:
            connection.ended.set()
            self.connections.discard(connection)

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep(_SWEEP_SECONDS)
            for connection in list(self.connections):
                if connection.idle_seconds() > _IDLE_SECONDS:
                    connection.close()


class IncomingConnection:
    """A connection that a peer opened.

    Attributes
    ----------
    running : int
        Number of calls in progress.
    used_at : float
        When the last call arrived, on the monotonic clock.
    peer : str
        The peer's incarnation, as the peer gave it.
    ended : asyncio.Event
        Set when the connection has ended.
    """

    def __init__(self, server: PeerServer, stream: Any) -> None:
        self.server = server
        self.stream = stream
        self.running = 0
        self.used_at = server.clock.monotonic()
        self.peer = "unknown"
        self.ended = asyncio.Event()
        self._rpc: Any = None

    async def serve(self) -> None:
        """Serve calls until the connection ends."""
        self._rpc = capnp.TwoPartyServer(
            self.stream,
            bootstrap=GateHandler(self),
            traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
        )
        await self._rpc.on_disconnect()

    def close(self) -> None:
        """Close the connection and cancel its calls."""
        if self._rpc is not None:
            self._rpc.close()
        self.stream.close()

    def idle_seconds(self) -> float:
        """Return the seconds since the last call; 0 while a call is in progress."""
        if self.running:
            return 0.0
        return self.server.clock.monotonic() - self.used_at

    async def run(self, work: Awaitable[None]) -> None:
        """Run one call; an error reaches the peer by its type, without its text."""
        self.used_at = self.server.clock.monotonic()
        self.running += 1
        try:
            await work
        except Exception as error:
            log.opt(exception=error).debug("A call of peer {} failed.", self.peer)
            name = type(error).__name__
        else:
            return
        finally:
            self.running -= 1
        raise RuntimeError(name)
