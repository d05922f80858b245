"""One outgoing connection to a peer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import capnp

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError
from eelgrasslock.peers.beat import Beat, BeatDecoder, BeatEncoder
from eelgrasslock.peers.peer_auth import Handshake, PeerRefused, new_nonce
from eelgrasslock.peers.peer_schema import fields, schema
from eelgrasslock.peers.peer_sink import SinkServer
from eelgrasslock.requests.exchange import Request, Responder

_CONNECT_SECONDS = 1.0
_PING_SECONDS = 3.0
_QUIET_SECONDS = 2.0
_TRAVERSAL_LIMIT_WORDS = 16_777_216

_Answer = TypeVar("_Answer")


class LinkLost(EelgrassError):
    """A connection to a peer broke, or has gone silent.

    Attributes
    ----------
    begun : bool
        Whether part of a forwarded request's answer had come.
    """

    begun = False


class PeerReplaced(LinkLost):
    """Another incarnation answers at the peer's address."""


class PeerLink:
    """An authenticated connection to one incarnation.

    Attributes
    ----------
    incarnation : str
        The peer's, as it gave it.
    heard_at : float
        When the peer last gave a sign of life on this connection, on the
        monotonic clock.
    left : bool
        Whether the connection takes no new calls. One that went silent for a
        moment still finishes the answers that stream over it.
    lost : bool
        Whether the connection is closed.
    """

    def __init__(self, stream: Any, client: Any, clock: Clock) -> None:
        self.stream = stream
        self.client = client
        self.clock = clock
        self.peer: Any = None
        self.incarnation = ""
        self.heard_at = clock.monotonic()
        self.left = False
        self.lost = False
        self.forwards = 0
        self.encoder = BeatEncoder()
        self.decoder = BeatDecoder("")
        self._beating = asyncio.Lock()
        self._ping: asyncio.Task[None] | None = None
        self._end = asyncio.create_task(self._notice_end())

    @classmethod
    async def connect(
        cls, address: str, expected: str, own: str, keys: list[str], clock: Clock
    ) -> "PeerLink":
        """Open a connection and authenticate both ends.

        Parameters
        ----------
        address : str
            The peer's ``ip:port``.
        expected : str
            The incarnation that has to answer, or empty for any.
        own : str
            Our incarnation.
        keys : list of str
            The shared keys; none means no check.
        clock : Clock
            The source of time.

        Raises
        ------
        LinkLost
            If no connection comes about.
        PeerReplaced
            If another incarnation answers.
        PeerRefused
            If one of the two holds no key that the other accepts.
        """
        host, _, port = address.rpartition(":")
        link = None
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                stream = await capnp.AsyncIoStream.create_connection(host, int(port))
                client = capnp.TwoPartyClient(
                    stream, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
                )
                link = cls(stream, client, clock)
                await link._log_in(expected, own, keys)
                return link
        except BaseException as error:
            if link is not None:
                link.close()
            if isinstance(error, (capnp.KjException, OSError, ValueError)):
                raise LinkLost(f"No connection to {address}.") from error
            raise

    async def _log_in(self, expected: str, own: str, keys: list[str]) -> None:
        gate = self.client.bootstrap().cast_as(schema.Gate)
        nonce = new_nonce()
        answer = await gate.hello(nonce=nonce, incarnation=own)
        self.incarnation = answer.incarnation
        self.decoder.incarnation = answer.incarnation
        if expected and answer.incarnation != expected:
            raise PeerReplaced(f"{answer.incarnation} answers for {expected}.")
        handshake = Handshake(own, answer.incarnation, nonce, bytes(answer.nonce))
        proof = b""
        if keys:
            key = handshake.common_key(keys, [bytes(one) for one in answer.proofs])
            if key is None:
                raise PeerRefused(f"{answer.incarnation} holds no key of ours.")
            proof = handshake.proof(key, "client")
        try:
            self.peer = (await gate.login(proof=proof)).peer
        except capnp.KjException as error:
            if error.type == "FAILED":
                raise PeerRefused(f"{self.incarnation} refused our key.") from error
            raise

    def leave(self) -> None:
        """Take no new calls, and close once nothing streams any more."""
        self.left = True
        if not self.forwards:
            self.close()

    def close(self) -> None:
        """Close the connection; calls on it end."""
        self._end.cancel()
        self._close()

    def _close(self) -> None:
        if self.lost:
            return
        self.left = True
        self.lost = True
        self.client.close()
        self.stream.close()

    async def _notice_end(self) -> None:
        # A peer that died is known before anything is sent to it.
        await self.client.on_disconnect()
        self._close()

    async def ask(
        self, ask: Callable[[Any], Awaitable[_Answer]], seconds: float
    ) -> _Answer:
        """Call the peer with a deadline.

        Raises
        ------
        LinkLost
            If no answer comes in time; the connection is left then.
        """
        try:
            async with asyncio.timeout(seconds):
                answer = await ask(self.peer)
        except (capnp.KjException, OSError) as error:
            self.leave()
            raise LinkLost(f"{self.incarnation} gave no answer.") from error
        self._note_sign()
        return answer

    async def heartbeat(self, beat: Beat, seconds: float) -> Beat:
        """Exchange heartbeats."""
        async with self._beating:

            async def ask(peer: Any) -> Beat:
                request = peer.heartbeat_request()
                self.encoder.fill(beat, request.init("beat"))
                answer = await request.send()
                return self.decoder.read(answer.beat)

            return await self.ask(ask, seconds)

    async def verify(self) -> None:
        """Make sure that the connection still carries answers.

        Raises
        ------
        LinkLost
            If it does not.
        """
        if self.lost:
            raise LinkLost(f"{self.incarnation} is not connected.")
        if self.clock.monotonic() - self.heard_at < _QUIET_SECONDS:
            return
        if self._ping is None or self._ping.done():
            ping = self.ask(lambda peer: _ping(peer), _PING_SECONDS)
            self._ping = asyncio.create_task(ping)
        await asyncio.shield(self._ping)

    async def forward(self, id: str, request: Request, responder: Responder) -> None:
        """Let the peer serve a request, and hand its answer on as it comes.

        There is no bound on the time, but the connection has to answer pings.
        Cancelling cancels the request at the peer.

        Raises
        ------
        LinkLost
            If the connection broke or went silent.
        """
        sink = SinkServer(responder, self._note_sign)
        call = asyncio.create_task(self._send(id, request, sink))
        self.forwards += 1
        try:
            while not call.done():
                await asyncio.wait({call}, timeout=_QUIET_SECONDS)
                if not call.done():
                    await self.verify()
            await call
        except LinkLost as error:
            error.begun = sink.begun
            raise
        finally:
            sink.closed = True
            call.cancel()
            self._end_forward()
            await asyncio.gather(call, return_exceptions=True)
        if sink.error is not None:
            raise sink.error

    def _end_forward(self) -> None:
        self.forwards -= 1
        if self.left:
            self.leave()

    def _note_sign(self) -> None:
        self.heard_at = self.clock.monotonic()

    async def _send(self, id: str, request: Request, sink: SinkServer) -> None:
        try:
            await self.peer.forward(request=_to_message(id, request), sink=sink)
        except (capnp.KjException, OSError) as error:
            if sink.error is not None:
                return
            if isinstance(error, OSError) or error.type != "FAILED":
                self.close()
            raise LinkLost(f"{self.incarnation} did not finish.") from error


async def _ping(peer: Any) -> None:
    await peer.ping()


def _to_message(id: str, request: Request) -> dict[str, Any]:
    return {
        "id": id,
        "method": request.method,
        "path": request.path,
        "query": request.query,
        "headers": fields(request.headers),
        "body": request.body,
        "forwardedBy": request.forwarded_by,
        "trace": fields(request.trace),
    }
