"""Serves the requests that peers without links to the endpoints pass on."""

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.forwarding.forwarder import Forwarder
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.http.messages import Header
from eelgrasslock.relaying.peer_forwarder import NO_LINKS
from eelgrasslock.relaying.relay_messages import (
    decode_relayed_request,
    encode_head,
    encode_refusal,
)
from eelgrasslock.requests.exchange import Request, Responder
from eelgrasslock.responses.responder import ResponseTruncated

_log = logger.bind(part="peer_requests")


class PeerResponder:
    """Sends the response to one request to the peer that passed it on.

    Parameters
    ----------
    responder : Responder
        Writes to the peer.

    Attributes
    ----------
    context : RequestContext or None
        The request, once it is decoded.
    started : bool
        Whether a byte of the response may have been sent.
    """

    def __init__(self, responder: Responder) -> None:
        self.responder = responder
        self.context: RequestContext | None = None
        self.started = False

    async def send(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Send a complete response."""
        await self.start(status, headers, len(body))
        if body:
            await self.write(body)
        await self.finish()

    async def start(
        self, status: int, headers: tuple[Header, ...], content_length: int | None
    ) -> None:
        """Send the head of a response whose body follows."""
        assert self.context is not None
        self.started = True
        fields = encode_head(self.context, headers, content_length)
        await self.responder.start(status, fields)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        await self.responder.write(chunk)

    async def finish(self) -> None:
        """Complete the body."""
        await self.responder.finish()

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the final response."""
        self.started = True
        fields = encode_refusal(refusal, self.context)
        await self.responder.start(refusal.status, fields)
        await self.responder.finish()


class PeerRequestHandler:
    """Handles requests of peers: one attempt after the other, at own endpoints only.

    The peer has selected the route and keeps the budget; it is told by a broken
    call if a response breaks off.

    Parameters
    ----------
    handler : GatewayHandler
        The handler of this daemon's own callers, whose drain waits for both.
    forwarder : Forwarder
        Sends requests to endpoints.
    codec : MessageCodec
        Decodes requests.
    clock : Clock
        The source of time.
    """

    def __init__(
        self,
        handler: GatewayHandler,
        forwarder: Forwarder,
        codec: MessageCodec,
        clock: Clock,
    ) -> None:
        self.handler = handler
        self.forwarder = forwarder
        self.codec = codec
        self.clock = clock
        self.served = 0

    async def serve(self, message: Request, responder: Responder) -> None:
        """Serve a request of a peer.

        Raises
        ------
        ResponseTruncated
            If a response failed after a part of it was relayed.
        """
        writer = PeerResponder(responder)
        try:
            self._check()
            with self.handler.in_flight.enter():
                await self._forward(message, writer)
        except Refusal as refusal:
            await self.refuse(writer, refusal)

    async def refuse(self, writer: PeerResponder, refusal: Refusal) -> None:
        """Send a refusal as the only response.

        Raises
        ------
        ResponseTruncated
            If a response has started.
        """
        if writer.started:
            raise ResponseTruncated(refusal.sentence)
        await writer.refuse(refusal)

    def _check(self) -> None:
        if self.handler.stopping or self.handler.routing.current is None:
            raise Refusal(NO_LINKS, "This daemon serves no requests now.", 503)
        if self.forwarder.links.is_lost:
            raise Refusal(NO_LINKS, "This daemon reaches no endpoint either.", 503)

    async def _forward(self, message: Request, writer: PeerResponder) -> None:
        current = self.handler.routing.current
        assert current is not None
        context = decode_relayed_request(
            message, writer, current.services, self.codec, self.clock.monotonic()
        )
        context.request = self.handler.access.admit_relayed(context.request)
        writer.context = context
        self.handler.check_end(context.deadline)
        self.served += 1
        _log.bind(
            request=context.request.id,
            program=context.request.program,
            asker=message.forwarded_by,
            service=context.service.name,
            wanted_version=context.version,
        ).info("Serves a request of a daemon without links.")
        await self.forwarder.forward(context)
