"""Passes requests on through peers while this daemon has no links to endpoints."""

import asyncio
import random
from collections import Counter

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable, Ran, Refusal
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.failures.link_monitor import LinkMonitor
from eelgrasslock.peers.daemon_health import DaemonHealth
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.relaying.relay_messages import (
    RelayedHead,
    decode_head,
    encode_relayed_request,
)
from eelgrasslock.requests.exchange import Request
from eelgrasslock.responses.relay import MAX_BUFFERED_BODY_BYTES
from eelgrasslock.responses.responder import ResponseTruncated
from eelgrasslock.routing.routes import RouteKind

MAX_PEERS_TRIED = 8
COMPARED_PEERS = 3
UNABLE_SECONDS = 1.0
# Kept back of the time of a request for the way to the peer and back.
WAY_SECONDS = 0.01
HEAD_CHECK_SECONDS = 0.6
NO_PEER_RETRY_SECONDS = 0.25
NO_LINKS = "no_links"

_log = logger.bind(part="relay")


class RelayedResponse:
    """Receives the response that a peer relays, and passes it on to the caller.

    A short body of known length is passed on as a whole.

    Parameters
    ----------
    context : RequestContext
        The request.

    Attributes
    ----------
    head : RelayedHead or None
        The head of the response, None until it has come.
    body : bytearray or None
        What has come of a body that is passed on as a whole, else None.
    """

    def __init__(self, context: RequestContext) -> None:
        self.context = context
        self.head: RelayedHead | None = None
        self.body: bytearray | None = None

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head, and pass it on unless it is a refusal.

        Raises
        ------
        PeerUnavailable
            If there was a head before: another answer follows one that has begun.
        """
        if self.head is not None:
            raise PeerUnavailable("The peer sent a second head.", Ran.UNKNOWN)
        self.head = decode_head(status, headers)
        context = self.context
        context.endpoint = self.head.endpoint
        context.endpoint_version = self.head.endpoint_version
        if self.head.refusal is not None:
            return
        context.response_status = status
        length = self.head.content_length
        if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
            self.body = bytearray()
            return
        await context.responder.start(status, self.head.headers, length)

    async def write(self, chunk: bytes) -> None:
        """Pass a part of the body on, and count its events."""
        if self.body is not None:
            self.body += chunk
            return
        if self.context.route.kind is RouteKind.STREAM:
            self.context.event_counter.feed(chunk)
        await self.context.responder.write(chunk)

    async def finish(self) -> None:
        """Complete the body."""
        head = self.head
        if head is None or head.refusal is not None:
            return
        responder = self.context.responder
        if self.body is None:
            await responder.finish()
        else:
            await responder.send(head.status, head.headers, bytes(self.body))


class PeerForwarder:
    """Passes requests on to peers, one hop only.

    Parameters
    ----------
    mesh : PeerMesh
        Calls the peers.
    load_exchange : LoadExchange
        Knows the registered daemons and which of them are live.
    health : DaemonHealth
        Remembers which peers answer.
    links : LinkMonitor
        Looks whether the links are back.
    clock : Clock
        The source of time.
    rng : random.Random
        Spreads the requests over the peers.

    Attributes
    ----------
    in_flight : Counter of str
        The requests under way through each peer, by name.
    relayed : int
        How many requests peers have served.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        load_exchange: LoadExchange,
        health: DaemonHealth,
        links: LinkMonitor,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.mesh = mesh
        self.load_exchange = load_exchange
        self.health = health
        self.links = links
        self.clock = clock
        self.rng = rng
        self.in_flight: Counter[str] = Counter()
        self.relayed = 0
        self._unable_until: dict[str, float] = {}

    async def forward(self, context: RequestContext) -> None:
        """Pass a request on until a peer has given a final response.

        Raises
        ------
        Refusal
            If no peer gave one.
        ResponseTruncated
            If a response failed after a part of it was relayed.
        """
        self.links.check_return()
        tried: set[str] = set()
        for _ in range(MAX_PEERS_TRIED):
            entry = self._choose(tried)
            if entry is None:
                break
            tried.add(entry.incarnation)
            if await self._forward_to(entry, context):
                self.relayed += 1
                return
        raise _no_peer(context)

    def _choose(self, tried: set[str]) -> DaemonEntry | None:
        """Return the least used of a few random peers, a near one if they are equal."""
        now = self.clock.monotonic()
        registry = self.load_exchange.daemon_registry
        able = [
            one
            for one in registry.entries.values()
            if one.incarnation in self.load_exchange.live_peers
            and one.incarnation not in tried
            and self._unable_until.get(one.incarnation, 0.0) <= now
        ]
        if not able:
            return None
        compared = self.rng.sample(able, min(COMPARED_PEERS, len(able)))
        return min(
            compared,
            key=lambda one: (
                self.in_flight[one.name],
                one.domain != registry.own.domain,
            ),
        )

    async def _forward_to(self, entry: DaemonEntry, context: RequestContext) -> bool:
        """Pass a request on to one peer; return False if another one may be tried."""
        context.relayed_through = entry.name
        response = RelayedResponse(context)
        seconds = context.deadline - self.clock.monotonic() - WAY_SECONDS
        own = self.load_exchange.daemon_registry.own
        message = encode_relayed_request(context, seconds, own.incarnation)
        self.in_flight[entry.name] += 1
        try:
            await self._exchange(entry, message, response)
        except PeerUnavailable as error:
            # A response that breaks off after its head is the endpoint's doing.
            if response.head is None:
                self._mark_unable(entry)
            self._lose(context, error)
            return False
        finally:
            self.in_flight[entry.name] -= 1
        return self._conclude(entry, context, response)

    async def _exchange(
        self, entry: DaemonEntry, message: Request, response: RelayedResponse
    ) -> None:
        """Exchange one request and response with a peer.

        A request that may be repeated is given up if the peer gives neither the
        head of a response nor an answer to a ping.

        Raises
        ------
        PeerUnavailable
            If the response is not complete.
        """
        route = response.context.route
        may_repeat = route.is_idempotent or route.resumable
        task = asyncio.ensure_future(self.mesh.forward(entry, message, response))
        try:
            while may_repeat and response.head is None:
                done, _ = await asyncio.wait({task}, timeout=HEAD_CHECK_SECONDS)
                if done or response.head is not None:
                    break
                if not await self.health.answers(entry):
                    raise PeerUnavailable(f"{entry.name} is silent.", Ran.UNKNOWN)
            await task
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _lose(self, context: RequestContext, error: PeerUnavailable) -> None:
        """Count a lost response; raise unless another peer may be tried."""
        _log.bind(request=context.request.id, ran=error.ran.value).info(
            "{} did not serve a request that was passed on: {}",
            context.relayed_through,
            error,
        )
        if context.responder.started:
            raise ResponseTruncated(str(error)) from error
        if error.ran is Ran.NO:
            return
        context.possible_executions += 1
        route = context.route
        is_left = context.possible_executions < route.max_endpoints
        if not (is_left and (route.is_idempotent or route.resumable)):
            sentence = "The answer was lost on its way through another daemon."
            raise Refusal("answer_lost", sentence, 502, Ran.UNKNOWN) from error

    def _conclude(
        self, entry: DaemonEntry, context: RequestContext, response: RelayedResponse
    ) -> bool:
        """Return whether the request has its response; raise the peer's refusal."""
        head = response.head
        assert head is not None
        context.possible_executions += head.possible_executions
        refusal = head.refusal
        if refusal is None:
            return True
        if refusal.code == NO_LINKS:
            self._mark_unable(entry)
            return False
        if context.possible_executions and refusal.ran is Ran.NO:
            raise Refusal(refusal.code, refusal.sentence, 502, Ran.UNKNOWN)
        raise refusal

    def _mark_unable(self, entry: DaemonEntry) -> None:
        until = self.clock.monotonic() + UNABLE_SECONDS
        self._unable_until[entry.incarnation] = until

    def forget_past(self) -> None:
        """Forget the peers that may be tried again."""
        now = self.clock.monotonic()
        self._unable_until = {
            one: until for one, until in self._unable_until.items() if until > now
        }
        self.health.forget_past()


def _no_peer(context: RequestContext) -> Refusal:
    ran = Ran.NO if context.possible_executions == 0 else Ran.UNKNOWN
    status = 503 if ran is Ran.NO else 502
    sentence = "Neither this daemon nor a peer that answers reaches an endpoint."
    return Refusal("no_endpoint", sentence, status, ran, NO_PEER_RETRY_SECONDS)
