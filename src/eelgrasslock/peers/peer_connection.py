"""An outgoing connection to a peer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import capnp

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError, PeerCallUnsupported
from eelgrasslock.peers.heartbeat_codec import (
    Heartbeat,
    HeartbeatDecoder,
    HeartbeatEncoder,
)
from eelgrasslock.peers.peer_auth import Handshake, HandshakeFailed, new_nonce
from eelgrasslock.peers.peer_schema import encode_fields, schema
from eelgrasslock.peers.sink_handler import SinkHandler
from eelgrasslock.requests.exchange import Request, Responder
from eelgrasslock.running_timeout import RunningTimeout

_CONNECT_TIMEOUT_SECONDS = 1.0
_PING_TIMEOUT_SECONDS = 3.0
_PING_AFTER_SECONDS = 2.0
_TRAVERSAL_LIMIT_WORDS = 16_777_216
_UNIMPLEMENTED = "UNIMPLEMENTED"

_Answer = TypeVar("_Answer")


class ConnectionLost(EelgrassError):
    """A connection to a peer broke, or stopped answering.

    Attributes
    ----------
    response_started : bool
        Whether part of a forwarded request's response had arrived.
    """

    response_started = False


class WrongIncarnation(ConnectionLost):
    """Another incarnation answers at the peer's address."""


class PeerConnection:
    """An authenticated connection to one incarnation of a peer.

    Attributes
    ----------
    incarnation : str
        The peer's incarnation, as the peer gave it.
    last_activity_at : float
        When data last arrived over this connection, on the monotonic clock.
    draining : bool
        Whether the connection takes no new calls. Requests in progress
        still finish, since a peer may stop answering for a moment only.
    closed : bool
        Whether the connection is closed.
    active_forwards : int
        Number of forwarded requests in progress.
    """

    def __init__(self, stream: Any, client: Any, clock: Clock) -> None:
        self.stream = stream
        self.client = client
        self.clock = clock
        self.peer: Any = None
        self.incarnation = ""
        self.last_activity_at = clock.monotonic()
        self.draining = False
        self.closed = False
        self.active_forwards = 0
        self.encoder = HeartbeatEncoder()
        self.decoder = HeartbeatDecoder("")
        self._heartbeat_lock = asyncio.Lock()
        self._ping_task: asyncio.Task[None] | None = None
        self._end_task = asyncio.create_task(self._wait_for_end())

    @classmethod
    async def connect(
        cls,
        address: str,
        expected: str,
        own_incarnation: str,
        keys: list[str],
        clock: Clock,
    ) -> "PeerConnection":
        """Open a connection and authenticate both ends.

        Parameters
        ----------
        address : str
            The peer's ``ip:port``.
        expected : str
            The incarnation that must answer, or empty for any.
        own_incarnation : str
            This daemon's incarnation.
        keys : list of str
            The shared keys; an empty list disables authentication.
        clock : Clock
            The source of time.

        Raises
        ------
        ConnectionLost
            If the connection could not be opened.
        WrongIncarnation
            If another incarnation answers.
        HandshakeFailed
            If either end holds no key that the other accepts.
        """
        host, _, port = address.rpartition(":")
        connection = None
        try:
            async with RunningTimeout(_CONNECT_TIMEOUT_SECONDS):
                stream = await capnp.AsyncIoStream.create_connection(host, int(port))
                client = capnp.TwoPartyClient(
                    stream, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
                )
                connection = cls(stream, client, clock)
                await connection._log_in(expected, own_incarnation, keys)
                return connection
        except BaseException as error:
            if connection is not None:
                connection.close()
            if isinstance(error, (capnp.KjException, OSError, ValueError)):
                raise ConnectionLost(f"Could not connect to {address}.") from error
            raise

    async def _log_in(
        self, expected: str, own_incarnation: str, keys: list[str]
    ) -> None:
        gate = self.client.bootstrap().cast_as(schema.Gate)
        nonce = new_nonce()
        answer = await gate.hello(nonce=nonce, incarnation=own_incarnation)
        self.incarnation = answer.incarnation
        self.decoder.incarnation = answer.incarnation
        if expected and answer.incarnation != expected:
            raise WrongIncarnation(
                f"{answer.incarnation} answered instead of {expected}."
            )
        handshake = Handshake(
            own_incarnation, answer.incarnation, nonce, bytes(answer.nonce)
        )
        proof = b""
        if keys:
            key = handshake.common_key(keys, [bytes(one) for one in answer.proofs])
            if key is None:
                raise HandshakeFailed(f"{answer.incarnation} holds none of our keys.")
            proof = handshake.proof(key, "client")
        try:
            self.peer = (await gate.login(proof=proof)).peer
        except capnp.KjException as error:
            if error.type == "FAILED":
                raise HandshakeFailed(
                    f"{self.incarnation} rejected our key."
                ) from error
            raise

    def drain(self) -> None:
        """Take no new calls, and close once no forwarded request is in progress."""
        self.draining = True
        if not self.active_forwards:
            self.close()

    def close(self) -> None:
        """Close the connection; calls over it fail."""
        self._end_task.cancel()
        self._close()

    def _close(self) -> None:
        if self.closed:
            return
        self.draining = True
        self.closed = True
        self.client.close()
        self.stream.close()

    async def _wait_for_end(self) -> None:
        # Detects a dead peer before the next call is sent to it.
        await self.client.on_disconnect()
        self._close()

    async def call(
        self, send: Callable[[Any], Awaitable[_Answer]], timeout_seconds: float
    ) -> _Answer:
        """Call the peer with a deadline.

        Raises
        ------
        ConnectionLost
            If no answer comes in time; the connection is drained then.
        PeerCallUnsupported
            If the peer's build does not know the call; the connection is kept.
        """
        try:
            async with RunningTimeout(timeout_seconds):
                answer = await send(self.peer)
        except (capnp.KjException, OSError) as error:
            if getattr(error, "type", "") == _UNIMPLEMENTED:
                message = f"{self.incarnation} does not know the call."
                raise PeerCallUnsupported(message) from error
            self.drain()
            raise ConnectionLost(f"{self.incarnation} gave no answer.") from error
        self._note_activity()
        return answer

    async def heartbeat(
        self, heartbeat: Heartbeat, timeout_seconds: float
    ) -> Heartbeat:
        """Send a heartbeat and return the peer's."""
        async with self._heartbeat_lock:

            async def send(peer: Any) -> Heartbeat:
                request = peer.heartbeat_request()
                self.encoder.encode(heartbeat, request.init("beat"))
                answer = await request.send()
                return self.decoder.decode(answer.beat)

            return await self.call(send, timeout_seconds)

    async def verify(self) -> None:
        """Check that the connection still carries answers; ping if it was quiet.

        Raises
        ------
        ConnectionLost
            If it does not.
        """
        if self.closed:
            raise ConnectionLost(f"{self.incarnation} is not connected.")
        if self.clock.monotonic() - self.last_activity_at < _PING_AFTER_SECONDS:
            return
        if self._ping_task is None or self._ping_task.done():
            ping = self.call(lambda peer: _ping(peer), _PING_TIMEOUT_SECONDS)
            self._ping_task = asyncio.create_task(ping)
        await asyncio.shield(self._ping_task)

    async def forward(self, id: str, request: Request, responder: Responder) -> None:
        """Forward a request to the peer and stream its response to the responder.

        There is no deadline, but the connection has to answer pings. Cancelling
        this call cancels the request at the peer.

        Raises
        ------
        ConnectionLost
            If the connection broke or stopped answering.
        """
        sink = SinkHandler(responder, self._note_activity)
        call = asyncio.create_task(self._send(id, request, sink))
        self.active_forwards += 1
        try:
            while not call.done():
                await asyncio.wait({call}, timeout=_PING_AFTER_SECONDS)
                if not call.done():
                    await self.verify()
            await call
        except ConnectionLost as error:
            error.response_started = sink.response_started
            raise
        finally:
            sink.closed = True
            call.cancel()
            self._end_forward()
            await asyncio.gather(call, return_exceptions=True)
        if sink.error is not None:
            raise sink.error

    def _end_forward(self) -> None:
        self.active_forwards -= 1
        if self.draining:
            self.drain()

    def _note_activity(self) -> None:
        self.last_activity_at = self.clock.monotonic()

    async def _send(self, id: str, request: Request, sink: SinkHandler) -> None:
        try:
            await self.peer.forward(request=_to_message(id, request), sink=sink)
        except (capnp.KjException, OSError) as error:
            if sink.error is not None:
                return
            if isinstance(error, OSError) or error.type != "FAILED":
                self.close()
            raise ConnectionLost(
                f"{self.incarnation} did not finish the request."
            ) from error


async def _ping(peer: Any) -> None:
    await peer.ping()


def _to_message(id: str, request: Request) -> dict[str, Any]:
    return {
        "id": id,
        "method": request.method,
        "path": request.path,
        "query": request.query,
        "headers": encode_fields(request.headers),
        "body": request.body,
        "forwardedBy": request.forwarded_by,
        "trace": encode_fields(request.trace),
    }
