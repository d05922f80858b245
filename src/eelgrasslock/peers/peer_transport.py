"""Calls to the other daemons, and the server for their calls."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import DaemonSettings
from eelgrasslock.exceptions import PeerUnavailable, Ran
from eelgrasslock.log.record_codec import encode_batch, readable_records
from eelgrasslock.log.records import MemberJoined, Record
from eelgrasslock.peers.forwarding import forward_once
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.peer_auth import HandshakeFailed
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_connection import (
    ConnectionLost,
    PeerConnection,
    WrongIncarnation,
)
from eelgrasslock.peers.peer_server import PeerServer
from eelgrasslock.requests.exchange import Request, Responder

_HEARTBEAT_TIMEOUT_SECONDS = 1.0
_CALL_TIMEOUT_SECONDS = 3.0

_Answer = TypeVar("_Answer")

log = logger.bind(part="peers")


class PeerTransport(PeerCallbacks):
    """The connections between this daemon and its peers.

    A connection may stop carrying data for good while new ones work. So each
    call has a deadline, and is tried over one new connection before the peer
    counts as unavailable.

    Parameters
    ----------
    settings : DaemonSettings
        The daemon's settings, with the address to listen on and the shared keys.
    incarnation : str
        This daemon's incarnation.
    clock : Clock
        The source of time.
    rng : random.Random
        Not used; kept for jitter.

    Attributes
    ----------
    address : str
        Where this daemon listens, once started.
    config_version : callable
        Returns the number of the newest accepted configuration.
    accept_config : callable
        Called with a newer configuration from a peer.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = incarnation
        self.clock = clock
        self.rng = rng
        self.address = settings.peer_address
        self.config_version: Callable[[], int] = lambda: 0
        self.accept_config: Callable[[bytes], None] = lambda data: None
        self.server = PeerServer(
            settings.peer_keys, lambda: self.incarnation, self, clock
        )
        self._connections: dict[str, PeerConnection] = {}
        self._connecting: dict[str, asyncio.Task[PeerConnection]] = {}

    async def start(self) -> None:
        """Listen for peers; needs `capnp.kj_loop` around the event loop."""
        self.address = await self.server.start(self.settings.peer_address)

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        for task in self._connecting.values():
            task.cancel()
        await asyncio.gather(*self._connecting.values(), return_exceptions=True)
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        await self.server.stop()

    def drain_others(self, incarnations: set[str]) -> None:
        """Drain the connections to all but these incarnations, the live members."""
        for incarnation in self._connections.keys() - incarnations:
            self._connections.pop(incarnation).drain()

    async def heartbeat(self, member: MemberJoined, heartbeat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats with a peer.

        Raises
        ------
        PeerUnavailable
            If neither the existing nor a new connection gave an answer.
        """
        return await self._call_member(
            member,
            lambda connection: connection.heartbeat(
                heartbeat, _HEARTBEAT_TIMEOUT_SECONDS
            ),
        )

    async def forward(
        self, member: MemberJoined, request: Request, responder: Responder
    ) -> None:
        """Forward a request to a peer and stream its response to the responder.

        Cancelling this call cancels the request at the peer.

        Raises
        ------
        PeerUnavailable
            With ``ran`` as ``NO`` if the request did not start at the peer and
            never will, else ``UNKNOWN``.
        """
        connection = await self._verified_connection(member)
        try:
            await self._forward_once(connection, member, request, responder)
        except PeerUnavailable as error:
            if error.ran is not Ran.NO:
                raise
            log.info("Retrying a request to {} over a new connection.", member.name)
            connection = await self._new_connection(member)
            await self._forward_once(connection, member, request, responder)

    async def hold(
        self, member: MemberJoined, stream: str, records: list[Record]
    ) -> None:
        """Send a peer records to keep, because the log does not store them now.

        Raises
        ------
        PeerUnavailable
            If the peer did not confirm.
        """
        data = encode_batch(records)

        async def send(peer: Any) -> None:
            await peer.hold(stream=stream, records=data)

        await self._call_member(
            member, lambda connection: connection.call(send, _CALL_TIMEOUT_SECONDS)
        )

    async def held(self, member: MemberJoined, stream: str) -> list[Record]:
        """Return the records of a stream that a peer holds.

        Raises
        ------
        PeerUnavailable
            If the peer did not answer.
        """

        async def send(peer: Any) -> bytes:
            return bytes((await peer.held(stream=stream)).records)

        data = await self._call_member(
            member, lambda connection: connection.call(send, _CALL_TIMEOUT_SECONDS)
        )
        return readable_records(data)

    async def pull_config(self, member: MemberJoined) -> None:
        """Fetch the newest configuration from a peer and accept it.

        Raises
        ------
        PeerUnavailable
            If the peer did not answer.
        """

        async def send(peer: Any) -> bytes:
            return bytes((await peer.config()).data)

        data = await self._call_member(
            member, lambda connection: connection.call(send, _CALL_TIMEOUT_SECONDS)
        )
        if data:
            self.accept_config(data)

    async def fetch_members(self, member: MemberJoined) -> bytes:
        """Return a peer's encoded member table.

        Raises
        ------
        PeerUnavailable
            If the peer did not answer.
        """
        return await self._call_member(
            member,
            lambda connection: connection.call(_request_members, _CALL_TIMEOUT_SECONDS),
        )

    async def fetch_members_at(self, address: str) -> bytes:
        """Return the encoded member table of the daemon at an address.

        Raises
        ------
        PeerUnavailable
            If no daemon answered.
        """
        try:
            connection = await self._connect(address, "")
            try:
                return await connection.call(_request_members, _CALL_TIMEOUT_SECONDS)
            finally:
                connection.close()
        except (ConnectionLost, HandshakeFailed) as error:
            raise PeerUnavailable(f"No daemon answered at {address}.") from error

    async def probe_through(self, through: MemberJoined, incarnation: str) -> bool:
        """Return whether an incarnation answers a heartbeat of the peer `through`.

        Raises
        ------
        PeerUnavailable
            If `through` itself did not answer.
        """

        async def send(peer: Any) -> bool:
            return (await peer.reach(incarnation=incarnation)).reached

        return await self._call_member(
            through, lambda connection: connection.call(send, _CALL_TIMEOUT_SECONDS)
        )

    async def _call_member(
        self, member: MemberJoined, call: Callable[[PeerConnection], Awaitable[_Answer]]
    ) -> _Answer:
        old = self._connections.get(member.incarnation)
        if old is not None and not old.draining:
            try:
                return await call(old)
            except ConnectionLost:
                old.drain()
        connection = await self._new_connection(member)
        try:
            return await call(connection)
        except ConnectionLost as error:
            raise PeerUnavailable(f"{member.name} gave no answer.") from error

    async def _forward_once(
        self,
        connection: PeerConnection,
        member: MemberJoined,
        request: Request,
        responder: Responder,
    ) -> None:
        await forward_once(
            connection,
            lambda: self._new_connection(member),
            request,
            responder,
            _CALL_TIMEOUT_SECONDS,
        )

    async def _verified_connection(self, member: MemberJoined) -> PeerConnection:
        connection = self._connections.get(member.incarnation)
        if connection is not None and not connection.draining:
            try:
                await connection.verify()
                return connection
            except ConnectionLost:
                connection.drain()
        return await self._new_connection(member)

    async def _new_connection(self, member: MemberJoined) -> PeerConnection:
        """Open a connection and return it; concurrent callers share it."""
        key = member.incarnation
        task = self._connecting.get(key)
        if task is None:
            task = asyncio.create_task(self._replace_connection(member))
            self._connecting[key] = task
            task.add_done_callback(lambda done: self._connected(key, done))
        try:
            return await asyncio.shield(task)
        except WrongIncarnation as error:
            raise PeerRestarted(f"{member.name} was restarted.") from error
        except HandshakeFailed as error:
            raise PeerAuthFailed(f"{member.name}: {error}") from error
        except ConnectionLost as error:
            raise PeerUnavailable(f"{member.name} can't be reached.") from error

    def _connected(self, key: str, task: asyncio.Task[PeerConnection]) -> None:
        del self._connecting[key]
        if not task.cancelled():
            # Marks the exception as retrieved, in case all callers were cancelled.
            task.exception()

    async def _replace_connection(self, member: MemberJoined) -> PeerConnection:
        connection = await self._connect(member.peer_address, member.incarnation)
        old = self._connections.get(member.incarnation)
        if old is not None:
            old.drain()
        self._connections[member.incarnation] = connection
        return connection

    async def _connect(self, address: str, expected: str) -> PeerConnection:
        keys = self.settings.peer_keys
        try:
            return await PeerConnection.connect(
                address, expected, self.incarnation, keys, self.clock
            )
        except HandshakeFailed as error:
            log.warning("{}: {}", address, error)
            raise


class PeerRestarted(PeerUnavailable):
    """Another incarnation runs at the peer's address."""


class PeerAuthFailed(PeerUnavailable):
    """The peer and this daemon have no key in common."""


async def _request_members(peer: Any) -> bytes:
    return bytes((await peer.members()).data)
