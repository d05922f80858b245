"""Handles a request from route selection to its final response."""

import asyncio
import random

import xxhash
from loguru import logger

from eelgrasslock.allowances.account import Reservation
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError, Ran, Refusal
from eelgrasslock.exchanges.interfaces import FollowedView, MessageCodec
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.exchanges.request_digest import request_digest, wide_digests
from eelgrasslock.forwarding.forwarder import Forwarder
from eelgrasslock.gateway.access_log import AccessLogEntry, AccessLogger
from eelgrasslock.gateway.refusals import no_configuration, no_route, stopping
from eelgrasslock.quotas.quota_controller import QuotaController
from eelgrasslock.registry.endpoint_registry import EndpointRegistry
from eelgrasslock.requests.in_flight import InFlight
from eelgrasslock.responses.responder import CallerResponder, ResponseTruncated
from eelgrasslock.responses.stream_versions import StreamVersions
from eelgrasslock.routing.affinity import preferred_endpoint
from eelgrasslock.routing.routes import Route, ServiceSpec
from eelgrasslock.routing.routing_state import RoutingState
from eelgrasslock.scheduling.load_shedding import CallerWorkspace, LoadShedder
from eelgrasslock.streams.stream_controller import KnownOrigin
from eelgrasslock.turns.conversations import (
    MAX_INTERRUPT_SECONDS,
    Conversations,
)
from eelgrasslock.workspaces.access import WorkspaceAccess

_HASH_RANGE = 2.0**64

_log = logger.bind(part="requests")


class GatewayHandler:
    """Handles requests; each gets exactly one final response.

    Parameters
    ----------
    routing : RoutingState
        The active configuration.
    routing_view : FollowedView
        The age of the active configuration.
    allowances : AllowanceManager
        Keeps turns within their programs' budgets.
    forwarder : Forwarder
        Forwards requests to endpoints.
    codec : MessageCodec
        Provides the headers of refusals.
    clock : Clock
        The source of time.
    rng : random.Random
        Splits the requests of routes with several services.
    access_logger : AccessLogger
        Logs the outcome of each request.
    load_shedder : LoadShedder
        Refuses new programs while engines are overloaded.
    stream_versions : StreamVersions
        Finds out at which version a resumed stream began.
    conversations : Conversations
        Keeps the chains of turns.
    endpoint_registry : EndpointRegistry
        The endpoints, one of which requests for the same object prefer.
    access : WorkspaceAccess
        Finds the workspaces of requests.
    quotas : QuotaController
        Keeps workspaces within their quotas.

    Attributes
    ----------
    in_flight : InFlight
        The requests in progress.
    stopping : bool
        Whether new requests are refused because the daemon is stopping.
    ends_at : float
        When this daemon ends, on the monotonic clock; infinite unless it drains.
    refused_while_stopping : int
        How many requests were refused for that reason.
    """

    def __init__(
        self,
        routing: RoutingState,
        routing_view: FollowedView,
        allowances: AllowanceManager,
        forwarder: Forwarder,
        codec: MessageCodec,
        clock: Clock,
        rng: random.Random,
        access_logger: AccessLogger,
        load_shedder: LoadShedder,
        stream_versions: StreamVersions,
        conversations: Conversations,
        endpoint_registry: EndpointRegistry,
        access: WorkspaceAccess,
        quotas: QuotaController,
    ) -> None:
        self.quotas = quotas
        self.access = access
        self.conversations = conversations
        self.endpoint_registry = endpoint_registry
        self.stream_versions = stream_versions
        self.load_shedder = load_shedder
        self.access_logger = access_logger
        self.routing = routing
        self.routing_view = routing_view
        self.allowances = allowances
        self.forwarder = forwarder
        self.codec = codec
        self.clock = clock
        self.rng = rng
        self.in_flight = InFlight()
        self.stopping = False
        self.ends_at = float("inf")
        self.refused_while_stopping = 0

    async def handle(self, request: GatewayRequest, responder: CallerResponder) -> None:
        """Handle one request until its response is complete.

        Raises
        ------
        ResponseTruncated
            If the caller's connection must be closed.
        """
        log_entry = AccessLogEntry(request)
        try:
            with self.in_flight.enter():
                await self._respond(request, responder, log_entry)
        finally:
            self.access_logger.write(log_entry)

    async def _respond(
        self,
        request: GatewayRequest,
        responder: CallerResponder,
        log_entry: AccessLogEntry,
    ) -> None:
        try:
            if self.stopping or not request.is_complete:
                self.refused_while_stopping += 1
                raise stopping()
            await self._serve(request, responder, log_entry)
            log_entry.mark_served()
        except Refusal as refusal:
            await self._refuse(request, responder, refusal, log_entry)
        except ResponseTruncated as error:
            log_entry.mark_truncated(None, str(error))
            raise
        except EelgrassError as error:
            _log.opt(exception=error).error("Request {} failed.", request.id)
            sentence = "The request failed inside the daemon."
            failure = Refusal("internal_error", sentence, 500, Ran.UNKNOWN)
            await self._refuse(request, responder, failure, log_entry)

    async def _serve(
        self,
        request: GatewayRequest,
        responder: CallerResponder,
        log_entry: AccessLogEntry,
    ) -> None:
        await self._wait_until_routing_is_current()
        route = self._find_route(request)
        request = self.access.admit(request, route)
        log_entry.request = request
        token = await self.quotas.take(request.workspace)
        try:
            await self._serve_admitted(request, route, responder, log_entry)
        finally:
            if not log_entry.may_have_run:
                self.quotas.give_back(token)

    async def _serve_admitted(
        self,
        request: GatewayRequest,
        route: Route,
        responder: CallerResponder,
        log_entry: AccessLogEntry,
    ) -> None:
        origin = await self.stream_versions.find_origin(request, route)
        service = self._select_service(request, route, origin)
        timeout_seconds = route.timeout_seconds
        if request.caller_timeout_seconds is not None:
            timeout_seconds = min(timeout_seconds, request.caller_timeout_seconds)
        assert self.routing.current is not None
        context = RequestContext(
            request=request,
            responder=responder,
            route=route,
            service=service,
            deadline=request.received_at + timeout_seconds,
            configuration_version=self.routing.current.version,
            origin=origin,
            digest=request_digest(request),
            wide_digests=wide_digests(request),
        )
        log_entry.context = context
        self.check_end(context.deadline)
        await self._begin_turn(context)
        reservation = await self._reserve(context)
        self._prefer_endpoint(context)
        if reservation is None:
            await self._forward(context)
        else:
            self._admit(context, reservation)
            await self._forward_within(context, reservation)
        if context.turn is not None:
            await self.conversations.end(context.turn, context)

    def check_end(self, deadline: float) -> None:
        """Refuse a request that may outlast this daemon, which drains."""
        if deadline > self.ends_at:
            self.refused_while_stopping += 1
            raise stopping()

    async def _begin_turn(self, context: RequestContext) -> None:
        """Let a turn whose chain the fleet keeps carry the whole conversation."""
        current = self.routing.current
        assert current is not None
        context.turn = await self.conversations.begin(
            context.request,
            context.route,
            context.responder,
            current.limits.max_body_bytes,
        )
        if context.turn is not None:
            context.request = context.turn.request
            context.responder = context.turn.recorder

    async def _forward_within(
        self, context: RequestContext, reservation: Reservation
    ) -> None:
        """Forward a turn whose tokens are reserved, and settle what it used."""
        try:
            await self._forward(context)
            reservation.account.record_endpoint(
                context.endpoint, context.request.session
            )
        finally:
            self.allowances.settle(reservation, context.tokens_used)

    async def _forward(self, context: RequestContext) -> None:
        """Forward a request; keep the events of a turn that breaks off."""
        try:
            await self.forwarder.forward(context)
        except (ResponseTruncated, asyncio.CancelledError) as error:
            if context.turn is not None:
                task = self.conversations.interrupt(context.turn, context)
                if task is not None and isinstance(error, ResponseTruncated):
                    await asyncio.wait({task}, timeout=MAX_INTERRUPT_SECONDS)
            raise

    def _prefer_endpoint(self, context: RequestContext) -> None:
        """Prefer the engine of the turn before, or the endpoint of the same object."""
        if context.turn is not None and context.turn.preferred_endpoint:
            context.preferred_endpoint = context.turn.preferred_endpoint
        key = context.request.affinity_key
        if key and context.route.is_sticky and not context.preferred_endpoint:
            context.preferred_endpoint = preferred_endpoint(
                self.endpoint_registry.entries.values(), context.service.name, key
            )

    async def _wait_until_routing_is_current(self) -> None:
        """Wait for a read of the log if the active configuration may be outdated."""
        if self.routing.current is not None:
            await self.routing_view.wait_until_current()

    def _find_route(self, request: GatewayRequest) -> Route:
        if self.routing.current is None:
            raise no_configuration()
        route = self.routing.table.find(request.host, request.path)
        if route is None:
            raise no_route()
        return route

    def _select_service(
        self, request: GatewayRequest, route: Route, origin: KnownOrigin | None
    ) -> ServiceSpec:
        """Return a service of the route, the same for all turns of a program.

        A resumed stream stays with the service that began it.
        """
        fraction = self.rng.random()
        if request.program:
            digest = xxhash.xxh64_intdigest(request.program_key.encode())
            fraction = digest / _HASH_RANGE
        name = route.select_service(fraction) if origin is None else origin.service
        assert self.routing.current is not None
        spec = self.routing.current.services.get(name)
        return spec if spec is not None else ServiceSpec(name=name)

    async def _reserve(self, context: RequestContext) -> Reservation | None:
        request = context.request
        if not context.route.is_turn or request.budget_tokens is None:
            return None
        reservation = await self.allowances.reserve(
            request.program_key,
            request.budget_tokens,
            context.max_generated_tokens,
            request.id,
            lambda: self.forwarder.suggest(context),
        )
        context.preferred_endpoint = reservation.account.preferred_endpoint
        return reservation

    def _admit(self, context: RequestContext, reservation: Reservation) -> None:
        """Refuse a new program while the engines are overloaded."""
        route = context.route
        service = context.service.name
        has_top_priority = self.routing.table.has_top_priority(route, service)
        workspace = None
        if name := context.request.workspace:
            is_lower = self.routing.workspaces.has_lower_priority(name)
            workspace = CallerWorkspace(name, is_lower)
        try:
            self.load_shedder.check(
                service,
                reservation.stage,
                has_top_priority,
                self.forwarder.limited_wait_ratio(context),
                workspace,
            )
        except Refusal:
            self.allowances.cancel(reservation)
            raise

    async def _refuse(
        self,
        request: GatewayRequest,
        responder: CallerResponder,
        refusal: Refusal,
        log_entry: AccessLogEntry,
    ) -> None:
        if responder.started:
            log_entry.mark_truncated(refusal, refusal.sentence)
        else:
            log_entry.mark_refused(refusal)
        await responder.refuse(refusal, self.codec.refusal_headers(request.id))
