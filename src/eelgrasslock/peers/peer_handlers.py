"""Handlers for the interfaces of `peer.capnp` that this daemon serves."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import capnp
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.peers.forwarded_requests import ForwardedRequests
from eelgrasslock.peers.heartbeat_codec import HeartbeatDecoder, HeartbeatEncoder
from eelgrasslock.peers.log_rpc import append_for_peer, read_for_peer
from eelgrasslock.peers.peer_auth import Handshake, new_nonce
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_schema import decode_fields, encode_fields, schema
from eelgrasslock.requests.exchange import Request

log = logger.bind(part="peers")


class HandlerServer(Protocol):
    """The server's interface for the handlers of a connection."""

    keys: list[str]
    own_incarnation: Callable[[], str]
    callbacks: PeerCallbacks
    clock: Clock
    forwarded_requests: ForwardedRequests


class HandlerConnection(Protocol):
    """The connection's interface for its handlers."""

    peer: str
    used_at: float

    @property
    def server(self) -> HandlerServer:
        """The server that accepted the connection."""

    async def run(self, work: Awaitable[None]) -> None:
        """Run one call."""


class GateHandler(schema.Gate.Server):
    """Authenticates a peer: gives it a `Peer` if it proves to hold a shared key."""

    def __init__(self, connection: HandlerConnection) -> None:
        self.connection = connection
        self.handshake: Handshake | None = None

    async def hello(
        self, nonce: bytes, incarnation: str, _context: Any, **_: Any
    ) -> None:
        """Exchange nonces and return a proof for each of this daemon's keys."""
        server = self.connection.server
        self.connection.peer = incarnation
        own_incarnation = server.own_incarnation()
        self.handshake = Handshake(
            incarnation, own_incarnation, bytes(nonce), new_nonce()
        )
        results = _context.results
        results.nonce = self.handshake.server_nonce
        results.incarnation = own_incarnation
        results.proofs = self.handshake.server_proofs(server.keys)

    async def login(self, proof: bytes, _context: Any, **_: Any) -> None:
        """Check the peer's proof and return the `Peer` capability."""
        if not self._is_accepted(bytes(proof)):
            log.warning(
                "Rejected the login of {}: it holds none of our keys.",
                self.connection.peer,
            )
            raise PermissionError("No valid key.")
        self.handshake = None
        _context.results.peer = PeerHandler(self.connection)

    def _is_accepted(self, proof: bytes) -> bool:
        keys = self.connection.server.keys
        if self.handshake is None:
            return False
        return not keys or self.handshake.accepts_client(keys, proof)


class PeerHandler(schema.Peer.Server):
    """Handles the calls of an authenticated peer."""

    def __init__(self, connection: HandlerConnection) -> None:
        self.connection = connection
        self.callbacks = connection.server.callbacks
        self.decoder = HeartbeatDecoder(connection.peer)
        self.encoder = HeartbeatEncoder()

    async def ping(self, **_: Any) -> None:
        """Answer, to show that the connection works."""
        self.connection.used_at = self.connection.server.clock.monotonic()

    async def heartbeat(self, beat: Any, _context: Any, **_: Any) -> None:
        """Handle a heartbeat and return the answer."""

        async def work() -> None:
            answer = self.callbacks.answer_heartbeat(self.decoder.decode(beat))
            self.encoder.encode(answer, _context.results.init("beat"))

        await self.connection.run(work())

    async def forward(self, request: Any, sink: Any, **_: Any) -> None:
        """Serve a forwarded request."""
        decoded = _from_message(request)
        if not self.connection.server.forwarded_requests.start(request.id):
            raise RuntimeError("The request was disowned.")
        responder = SinkResponder(sink)
        await self.connection.run(self.callbacks.serve_request(decoded, responder))

    async def disown(self, id: str, _context: Any, **_: Any) -> None:
        """Forbid a request to start; return whether it has started already."""
        _context.results.started = self.connection.server.forwarded_requests.disown(id)

    async def hold(self, stream: str, records: bytes, **_: Any) -> None:
        """Hold records for a peer that can't append them now."""
        # Imported here because daemons without journals do not need the codec.
        from eelgrasslock.log.record_codec import readable_records

        async def work() -> None:
            self.callbacks.hold_records(stream, readable_records(bytes(records)))

        await self.connection.run(work())

    async def held(self, stream: str, _context: Any, **_: Any) -> None:
        """Return the records that are held."""
        from eelgrasslock.log.record_codec import encode_batch

        async def work() -> None:
            held = self.callbacks.held_records(stream)
            _context.results.records = encode_batch(held)

        await self.connection.run(work())

    async def config(self, _context: Any, **_: Any) -> None:
        """Return the newest accepted configuration."""
        _context.results.data = self.callbacks.encode_config()

    async def members(self, _context: Any, **_: Any) -> None:
        """Return the member table."""
        _context.results.data = self.callbacks.encode_members()

    async def reach(self, incarnation: str, _context: Any, **_: Any) -> None:
        """Return whether a member answers a heartbeat of this daemon."""

        async def work() -> None:
            _context.results.reached = await self.callbacks.probe_member(incarnation)

        await self.connection.run(work())

    async def appendAt(  # noqa: N802
        self,
        topic: str,
        partition: int,
        records: Any,
        expectedEnd: int,  # noqa: N803
        _context: Any,
        **_: Any,
    ) -> None:
        """Append to the log for a peer that can't reach it."""
        data = [bytes(one) for one in records]

        async def work() -> None:
            found = await append_for_peer(
                self.callbacks.log, topic, partition, data, expectedEnd
            )
            _context.results.outcome = found.outcome
            _context.results.end = found.end

        await self.connection.run(work())

    async def readFrom(  # noqa: N802
        self,
        topic: str,
        partition: int,
        offset: int,
        maxKilobytes: int,  # noqa: N803
        _context: Any,
        **_: Any,
    ) -> None:
        """Read the log for a peer that can't reach it."""

        async def work() -> None:
            found = await read_for_peer(
                self.callbacks.log, topic, partition, offset, maxKilobytes
            )
            _context.results.outcome = found.outcome
            _context.results.records = list(found.records)
            _context.results.offset = found.offset
            _context.results.end = found.end

        await self.connection.run(work())

    async def grantRequests(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Grant tokens for requests to an endpoint that names a limit."""
        await self.connection.run(
            self.callbacks.grant_requests(message, _context.results)
        )

    async def leaseRequests(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Lease tokens of a workspace's quota."""
        await self.connection.run(
            self.callbacks.lease_requests(message, _context.results)
        )

    async def tellStreams(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Take note of where streams of a peer began."""
        await self.connection.run(
            self.callbacks.tell_streams(message, _context.results)
        )

    async def findStream(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Return where a stream began."""
        await self.connection.run(self.callbacks.find_stream(message, _context.results))

    async def tellTurns(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Take note of where turns that a peer has stored are."""
        await self.connection.run(self.callbacks.tell_turns(message, _context.results))

    async def findTurn(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Return where a turn is."""
        await self.connection.run(self.callbacks.find_turn(message, _context.results))

    async def fetchTurns(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Return turns that are in memory."""
        await self.connection.run(self.callbacks.fetch_turns(message, _context.results))

    async def release(self, program: str, _context: Any, **_: Any) -> None:
        """Release the unspent tokens of a program."""
        _context.results.tokens = self.callbacks.release_allowance(program)

    async def adoptDraws(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Take over draws that a stopping daemon could not record."""
        await self.connection.run(self.callbacks.adopt_draws(message, _context.results))

    async def offline(self, program: str, _context: Any, **_: Any) -> None:
        """Return the tokens spent on a program without the log, and those drawn."""
        spent, drawn = self.callbacks.offline_usage(program)
        _context.results.spent = spent
        _context.results.drawn = drawn
        # Builds without keepers give a small budget a turn if all vouch for it.
        _context.results.fullHistory = False

    async def keepDraw(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Keep a draw without the log, and tell what is known of the program."""
        await self.connection.run(self.callbacks.keep_draw(message, _context.results))

    async def tellSilent(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Take note of calls of a peer whose endpoint is silent."""
        await self.connection.run(self.callbacks.tell_silent(message, _context.results))

    async def giveDraws(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Take what a peer knows of draws without the log."""
        await self.connection.run(self.callbacks.give_draws(message, _context.results))

    async def fetchDraws(  # noqa: N802
        self, _context: Any, **message: Any
    ) -> None:
        """Tell what is known of draws without the log."""
        await self.connection.run(self.callbacks.fetch_draws(message, _context.results))


class SinkResponder:
    """A `Responder` that writes to the peer that forwarded the request."""

    def __init__(self, sink: Any) -> None:
        self.sink = sink

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        await self._call(self.sink.start(status=status, headers=encode_fields(headers)))

    async def write(self, chunk: bytes) -> None:
        """Send part of the body, waiting while the reader is slow."""
        await self._call(self.sink.write(chunk=chunk))

    async def finish(self) -> None:
        """End the body."""
        await self._call(self.sink.finish())

    async def _call(self, call: Awaitable[Any]) -> None:
        try:
            await call
        except capnp.KjException as error:
            raise ConnectionResetError(
                "The connection of the forwarding peer is lost."
            ) from error


def _from_message(message: Any) -> Request:
    return Request(
        method=message.method,
        path=message.path,
        query=message.query,
        headers=decode_fields(message.headers),
        body=bytes(message.body),
        forwarded_by=message.forwardedBy,
        trace=decode_fields(message.trace),
    )
