"""One attempt: sending a request to an endpoint and relaying its response."""

import asyncio
from collections.abc import Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exchanges.attempt_result import AttemptOutcome, AttemptResult
from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.failures.failure_classifier import FailureClassifier
from eelgrasslock.failures.link_monitor import LinkMonitor
from eelgrasslock.forwarding.endpoint_reports import EndpointReports
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import Framing, OutgoingRequest, ResponseHead
from eelgrasslock.http.pool import MAX_IDLE_SECONDS, ConnectFailed, ConnectionPool
from eelgrasslock.registry.current_endpoints import CurrentEndpoints
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.responses.relay import ResponseRelay
from eelgrasslock.responses.responder import ResponseTruncated
from eelgrasslock.responses.response_timeouts import (
    ResponseWait,
    response_check_seconds,
    should_fail_over,
)
from eelgrasslock.routing.routes import RouteKind
from eelgrasslock.running_timeout import is_done_within
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

NON_IDEMPOTENT_MAX_IDLE_SECONDS = 2.5
MAX_DISCARDED_BODY_BYTES = 65_536
DISCARD_SECONDS = 0.1
_SUCCESS = range(200, 300)

_log = logger.bind(part="attempts")


class AttemptRunner:
    """Sends requests to endpoints and relays their responses.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the endpoints.
    current_endpoints : CurrentEndpoints
        Knows the endpoints, and checks one just before a request is sent to it.
    codec : MessageCodec
        Encodes requests and decodes responses.
    clock : Clock
        The source of time.
    metrics : GatewayMetrics
        Records the time to the first byte.
    domain : str
        The daemon's failure domain.
    is_domain_tripped : callable
        Returns whether the circuit breaker of a failure domain has tripped.
    links : LinkMonitor
        Is told which connections open and which fail.
    relay : ResponseRelay
        Relays responses whose heads are accepted.
    reports : EndpointReports
        Takes what endpoints say of themselves.
    failures : FailureClassifier
        Tells crashes of endpoints from broken connections.
    on_heard : callable
        Called with the id of an endpoint from which something was received.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        current_endpoints: CurrentEndpoints,
        codec: MessageCodec,
        clock: Clock,
        metrics: GatewayMetrics,
        domain: str,
        is_domain_tripped: Callable[[str], bool],
        links: LinkMonitor,
        relay: ResponseRelay,
        reports: EndpointReports,
        failures: FailureClassifier,
        on_heard: Callable[[str], None],
    ) -> None:
        self.on_heard = on_heard
        self.failures = failures
        self.reports = reports
        self.links = links
        self.relay = relay
        self.domain = domain
        self.is_domain_tripped = is_domain_tripped
        self.metrics = metrics
        self.pool = pool
        self.current_endpoints = current_endpoints
        self.codec = codec
        self.clock = clock

    async def run(self, context: RequestContext, endpoint: str) -> AttemptResult:
        """Send a request to an endpoint and relay a final response.

        Raises
        ------
        ResponseTruncated
            If the connection was lost after a part of the response was relayed.
        """
        record = self.current_endpoints.registry.find_usable(endpoint)
        if record is None or context.version not in ("", record.version):
            return AttemptResult(outcome=AttemptOutcome.NOT_SENT)
        if not self.links.may_send(record):
            return AttemptResult(outcome=AttemptOutcome.NO_LINK)
        max_idle_seconds = (
            MAX_IDLE_SECONDS
            if context.route.is_idempotent
            else NON_IDEMPOTENT_MAX_IDLE_SECONDS
        )
        try:
            connection = await self.pool.acquire(record.address, max_idle_seconds)
        except ConnectFailed as error:
            self.failures.record_unreachable(record)
            _log.bind(request=context.request.id, endpoint=endpoint).info("{}", error)
            await self.links.wait_until_verified()
            outcome = AttemptOutcome.NOT_SENT
            if self.links.is_lost:
                outcome = AttemptOutcome.NO_LINK
            return AttemptResult(outcome=outcome)
        if not connection.last_used_at:
            self.links.record_opened()
        try:
            result = await self._exchange(context, record, connection)
        except BaseException:
            connection.close()
            raise
        keep_alive_seconds = (
            result.response.keep_alive_seconds if result.response is not None else None
        )
        self.pool.release(record.address, connection, keep_alive_seconds)
        return result

    async def _exchange(
        self,
        context: RequestContext,
        record: EndpointRecord,
        connection: HTTPConnection,
    ) -> AttemptResult:
        may_send = await self.current_endpoints.may_send(record)
        if not connection.reusable or not may_send:
            return AttemptResult(outcome=AttemptOutcome.NOT_SENT)
        remaining_seconds = context.deadline - self.clock.monotonic()
        outgoing = self.codec.encode_request(
            context.request, record.id, remaining_seconds
        )
        context.possible_executions += 1
        context.endpoint_version = record.version
        context.response_framing = None
        context.endpoints_age_seconds = self.current_endpoints.view.age()
        try:
            sent_at = self.clock.monotonic()
            head = await self._await_head(context, record, connection, outgoing)
            if head is None:
                connection.close()
                return AttemptResult(outcome=AttemptOutcome.SILENT)
            first_byte_seconds = self.clock.monotonic() - sent_at
            self.metrics.first_byte_seconds.labels(context.route_kind).observe(
                first_byte_seconds
            )
        except ConnectionBroken as error:
            return await self._classify(context, record, error)
        context.response_framing = head.framing
        response = self.codec.decode_response(head, context.request.id)
        if not response.is_own:
            connection.close()
            return AttemptResult(outcome=AttemptOutcome.UNSOUND, response=response)
        limit = response.request_limit
        context.named_limit = None if limit is None else limit.per_second
        self.reports.record(context.service.name, record, response, sent_at)
        if response.not_run:
            context.possible_executions -= 1
            await _discard_body(connection, head.framing)
            return AttemptResult(outcome=AttemptOutcome.NOT_RUN, response=response)
        if response.claims_not_run and not context.route.is_idempotent:
            connection.close()
            return AttemptResult(outcome=AttemptOutcome.UNSOUND, response=response)
        if response.status in _SUCCESS and not response.is_valid:
            connection.close()
            return AttemptResult(outcome=AttemptOutcome.UNSOUND, response=response)
        try:
            await self.relay.relay(context, record, response, connection)
        except ConnectionBroken as error:
            result = await self._classify(context, record, error)
            if context.responder.started:
                context.endpoint_crashed = result.outcome is AttemptOutcome.CRASHED
                raise ResponseTruncated(str(error)) from error
            return result
        finally:
            context.ended_by_connection = connection.ended_response
        return AttemptResult(outcome=AttemptOutcome.SERVED, response=response)

    async def _await_head(
        self,
        context: RequestContext,
        record: EndpointRecord,
        connection: HTTPConnection,
        outgoing: OutgoingRequest,
    ) -> ResponseHead | None:
        """Send a request; return the response's head, None on a timeout."""
        is_remote_domain = record.domain != self.domain
        check_seconds = response_check_seconds(context.route, is_remote_domain)
        waited_seconds = 0.0
        response_task = asyncio.ensure_future(connection.send(outgoing))
        try:
            while not await is_done_within(response_task, check_seconds):
                waited_seconds += check_seconds
                self.links.check_silence()
                is_tripped = is_remote_domain and self.is_domain_tripped(record.domain)
                response_wait = ResponseWait(
                    is_unreachable=is_tripped or not self.links.are_old_alive,
                    possible_executions=context.possible_executions,
                    waited_seconds=waited_seconds,
                )
                if not should_fail_over(context.route, response_wait):
                    continue
                may_give_up = await self._may_give_up(context, record)
                if may_give_up and not response_task.done():
                    _log.bind(request=context.request.id, endpoint=record.id).info(
                        "No response after {} s; trying another endpoint.",
                        check_seconds,
                    )
                    return None
            head = await response_task
            self.links.record_answer()
            self.on_heard(record.id)
            return head
        finally:
            response_task.cancel()

    async def _may_give_up(
        self, context: RequestContext, record: EndpointRecord
    ) -> bool:
        """Return whether another endpoint may be tried while this one may still run.

        A stream may run again only if this very endpoint is out of reach: failures of
        others, and of its domain, say nothing of what it does.
        """
        if context.route.kind is RouteKind.SAFE:
            return True
        return await self.links.is_out_of_reach(record)

    async def _classify(
        self, context: RequestContext, record: EndpointRecord, error: ConnectionBroken
    ) -> AttemptResult:
        """Return what became of the endpoint of a broken connection."""
        outcome = await self.failures.classify(record)
        _log.bind(
            request=context.request.id,
            digest=context.digest,
            endpoint=record.id,
            end=outcome.value,
        ).info("Connection lost before the response was complete: {}", error)
        return AttemptResult(outcome=outcome)


async def _discard_body(connection: HTTPConnection, framing: Framing) -> None:
    """Keep the connection if the body soon ends, else close it."""
    if framing is Framing.CLOSE:
        connection.close()
        return
    try:
        async with asyncio.timeout(DISCARD_SECONDS):
            await connection.read_all(MAX_DISCARDED_BODY_BYTES)
    except (ConnectionBroken, TimeoutError):
        connection.close()
