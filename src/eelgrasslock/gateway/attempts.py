"""One attempt to have a request run by an endpoint."""

import asyncio
import enum
from collections.abc import Callable

from attrs import frozen
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.gateway.endpoint_registry import EndpointRecord, EndpointRegistry
from eelgrasslock.gateway.interfaces import MessageCodec
from eelgrasslock.gateway.messages import EndpointLoadHeader, EndpointResponse
from eelgrasslock.gateway.request_context import RequestContext
from eelgrasslock.gateway.responder import ResponseTruncated
from eelgrasslock.gateway.response_timeouts import (
    ResponseWait,
    response_check_seconds,
    should_fail_over,
)
from eelgrasslock.gateway.routes import RouteKind
from eelgrasslock.http.connection import ConnectionBroken, HTTPConnection
from eelgrasslock.http.messages import OutgoingRequest, ResponseHead
from eelgrasslock.http.pool import MAX_IDLE_SECONDS, ConnectFailed, ConnectionPool
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

NON_IDEMPOTENT_MAX_IDLE_SECONDS = 2.5
CORRELATION_DELAY_SECONDS = 0.05
CORRELATION_WINDOW_SECONDS = 0.5
MAX_BUFFERED_BODY_BYTES = 65_536
_SUCCESS = range(200, 300)

_log = logger.bind(part="attempts")


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    SERVED = "served"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    CRASHED = "crashed"
    SILENT = "silent"
    UNSOUND = "unsound"


@frozen(kw_only=True)
class AttemptResult:
    """What an attempt came to.

    Attributes
    ----------
    outcome : AttemptOutcome
        How it ended.
    answer : EndpointResponse or None
        The head of the endpoint's answer, if one came.
    """

    outcome: AttemptOutcome
    response: EndpointResponse | None = None


LoadCallback = Callable[[str, str, EndpointLoadHeader], None]


class AttemptRunner:
    """Sends requests to endpoints and hands their answers on.

    Parameters
    ----------
    pool : ConnectionPool
        Keeps the connections.
    directory : EndpointRegistry
        Knows the endpoints' addresses.
    dialect : Dialect
        Writes requests and reads answers.
    clock : Clock
        The time.
    metrics : GatewayMetrics
        Times first bytes.
    domain : str
        The daemon's failure domain.
    is_suspect : callable
        Whether a domain seems to be cut off.
    on_load_report : callable
        Told what an endpoint of a service says of its load.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint_registry: EndpointRegistry,
        codec: MessageCodec,
        clock: Clock,
        metrics: GatewayMetrics,
        domain: str,
        is_suspect: Callable[[str], bool],
        on_load_report: LoadCallback,
    ) -> None:
        self.on_load_report = on_load_report
        self.unreachable_at: dict[str, float] = {}
        self.domain = domain
        self.is_suspect = is_suspect
        self.metrics = metrics
        self.pool = pool
        self.endpoint_registry = endpoint_registry
        self.codec = codec
        self.clock = clock

    async def run(self, context: RequestContext, endpoint: str) -> AttemptResult:
        """Send a request to an endpoint and hand a final answer on.

        Raises
        ------
        ResponseTruncated
            If the answer broke off after its beginning was handed on.
        """
        record = self.endpoint_registry.entries.get(endpoint)
        if record is None or record.leaving:
            return AttemptResult(outcome=AttemptOutcome.NOT_SENT)
        idle = (
            MAX_IDLE_SECONDS
            if context.route.is_idempotent
            else NON_IDEMPOTENT_MAX_IDLE_SECONDS
        )
        try:
            connection = await self.pool.acquire(record.address, idle)
        except ConnectFailed as error:
            self.unreachable_at[record.id] = self.clock.monotonic()
            _log.bind(request=context.request.id, endpoint=endpoint).info("{}", error)
            return AttemptResult(outcome=AttemptOutcome.NOT_SENT)
        try:
            result = await self._exchange(context, record, connection)
        except BaseException:
            connection.close()
            raise
        keep = (
            result.response.keep_alive_seconds if result.response is not None else None
        )
        self.pool.release(record.address, connection, keep)
        return result

    async def _exchange(
        self,
        context: RequestContext,
        record: EndpointRecord,
        connection: HTTPConnection,
    ) -> AttemptResult:
        seconds = context.deadline - self.clock.monotonic()
        outgoing = self.codec.encode_request(context.request, record.id, seconds)
        context.possible_executions += 1
        try:
            sent = self.clock.monotonic()
            head = await self._await_head(context, record, connection, outgoing)
            if head is None:
                connection.close()
                return AttemptResult(outcome=AttemptOutcome.SILENT)
            seconds = self.clock.monotonic() - sent
            self.metrics.first_byte_seconds.labels(context.route_kind).observe(seconds)
        except ConnectionBroken as error:
            return await self._classify_failure(context, record, error)
        response = self.codec.decode_response(head)
        if response.load is not None:
            self.on_load_report(context.service.name, record.id, response.load)
        if response.not_run:
            context.possible_executions -= 1
            await _discard_body(connection)
            return AttemptResult(outcome=AttemptOutcome.NOT_RUN, response=response)
        if response.status in _SUCCESS and not response.is_valid:
            connection.close()
            return AttemptResult(outcome=AttemptOutcome.UNSOUND, response=response)
        try:
            await self._relay_response(context, response, connection)
        except ConnectionBroken as error:
            result = await self._classify_failure(context, record, error)
            if context.responder.started:
                context.endpoint_crashed = result.outcome is AttemptOutcome.CRASHED
                raise ResponseTruncated(str(error)) from error
            return result
        return AttemptResult(outcome=AttemptOutcome.SERVED, response=response)

    async def _await_head(
        self,
        context: RequestContext,
        record: EndpointRecord,
        connection: HTTPConnection,
        outgoing: OutgoingRequest,
    ) -> ResponseHead | None:
        """Send a request; return its answer's head, None if it was given up on."""
        is_remote_domain = record.domain != self.domain
        seconds = response_check_seconds(context.route, is_remote_domain)
        started = self.clock.monotonic()
        waiting = asyncio.ensure_future(connection.send(outgoing))
        try:
            while seconds is not None:
                done, _ = await asyncio.wait({waiting}, timeout=seconds)
                if done:
                    break
                silence = ResponseWait(
                    is_remote_domain=is_remote_domain,
                    is_domain_suspect=self.is_suspect(record.domain),
                    possible_executions=context.possible_executions,
                    waited_seconds=self.clock.monotonic() - started,
                )
                if should_fail_over(context.route, silence):
                    _log.bind(request=context.request.id, endpoint=record.id).info(
                        "No answer for {} s; another endpoint is tried.", seconds
                    )
                    return None
            return await waiting
        finally:
            waiting.cancel()

    async def _relay_response(
        self,
        context: RequestContext,
        response: EndpointResponse,
        connection: HTTPConnection,
    ) -> None:
        responder = context.responder
        is_stream = context.route.kind is RouteKind.STREAM
        is_short = (
            response.content_length is None
            or response.content_length <= MAX_BUFFERED_BODY_BYTES
        )
        if not is_stream and is_short:
            body = await connection.read_all()
            context.response_status = response.status
            await responder.send(response.status, response.headers, body)
            return
        context.response_status = response.status
        await responder.start(
            response.status, response.headers, response.content_length
        )
        while (chunk := await connection.read()) is not None:
            context.event_counter.feed(chunk)
            await responder.write(chunk)
        await responder.finish()

    async def _classify_failure(
        self, context: RequestContext, record: EndpointRecord, error: ConnectionBroken
    ) -> AttemptResult:
        """Find out whether an endpoint crashed, or just lost an answer.

        One that crashed takes no connection now. One that lives has a new
        connection, which is kept for the next request.
        """
        try:
            connection = await self.pool.acquire(record.address, 0.0)
        except ConnectFailed:
            self.pool.drop(record.address)
            is_alone = await self._is_isolated_failure(record)
            end = AttemptOutcome.CRASHED if is_alone else AttemptOutcome.BROKEN
        else:
            end = AttemptOutcome.BROKEN
            self.pool.release(record.address, connection, None)
        _log.bind(request=context.request.id, endpoint=record.id, end=end.value).info(
            "The answer broke off: {}", error
        )
        return AttemptResult(outcome=end)

    async def _is_isolated_failure(self, record: EndpointRecord) -> bool:
        """Return whether no other endpoint became unreachable just now.

        Several at once are cut off from this daemon, and have not crashed.
        """
        self.unreachable_at[record.id] = self.clock.monotonic()
        await self.clock.sleep(CORRELATION_DELAY_SECONDS)
        oldest = self.clock.monotonic() - CORRELATION_WINDOW_SECONDS
        lately = {one for one, time in self.unreachable_at.items() if time >= oldest}
        self.unreachable_at = {one: self.unreachable_at[one] for one in lately}
        return lately <= {record.id}


async def _discard_body(connection: HTTPConnection) -> None:
    try:
        await connection.read_all()
    except ConnectionBroken:
        connection.close()
