"""Relays the responses of endpoints, and completes only what is whole."""

from collections.abc import Callable

from eelgrasslock.clock import Clock
from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.exchanges.messages import EndpointResponse
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import Framing
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.registry.current_endpoints import CurrentEndpoints
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.responses.continuation import StreamContinuation
from eelgrasslock.responses.liveness import LivenessCheck
from eelgrasslock.responses.stream_versions import Recording, StreamVersions
from eelgrasslock.routing.routes import RouteKind, ServiceSpec

MAX_BUFFERED_BODY_BYTES = 65_536
_SUCCESS = range(200, 300)


class ResponseRelay:
    """Relays responses whose heads are accepted.

    The end of a connection marks the end of a response only if the process of the
    endpoint has outlived it, since the kernel ends connections of a killed process
    in the same way.

    Parameters
    ----------
    pool : ConnectionPool
        Opens further connections to the endpoint of a response.
    current_endpoints : CurrentEndpoints
        Checks the endpoint just before it is asked for more of a stream.
    codec : MessageCodec
        Encodes requests and decodes responses.
    clock : Clock
        The source of time.
    stream_versions : StreamVersions
        Records at which versions streams begin.
    find_state_path : callable
        Returns where the endpoints of a service tell their state.
    on_heard : callable
        Called with the id of an endpoint from which something was received.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        current_endpoints: CurrentEndpoints,
        codec: MessageCodec,
        clock: Clock,
        stream_versions: StreamVersions,
        find_state_path: Callable[[ServiceSpec], str],
        on_heard: Callable[[str], None],
    ) -> None:
        self.pool = pool
        self.current_endpoints = current_endpoints
        self.codec = codec
        self.clock = clock
        self.stream_versions = stream_versions
        self.find_state_path = find_state_path
        self.on_heard = on_heard

    async def relay(
        self,
        context: RequestContext,
        record: EndpointRecord,
        response: EndpointResponse,
        connection: HTTPConnection,
    ) -> None:
        """Relay a response to its end.

        Raises
        ------
        ConnectionBroken
            If it broke off, or it can't be known that it did not.
        """
        is_stream = context.route.kind is RouteKind.STREAM
        async with self._liveness_check(context, record) as liveness:
            if context.response_framing is Framing.CLOSE:
                liveness.start()
            if is_stream and response.status in _SUCCESS:
                await self._relay_stream(
                    context, record, response, connection, liveness
                )
            else:
                await self._relay_plain(context, response, connection, liveness)

    def _liveness_check(
        self, context: RequestContext, record: EndpointRecord
    ) -> LivenessCheck:
        path = self.find_state_path(context.service)
        return LivenessCheck(self.pool, self.codec, record, path)

    async def _relay_plain(
        self,
        context: RequestContext,
        response: EndpointResponse,
        connection: HTTPConnection,
        liveness: LivenessCheck,
    ) -> None:
        """Relay a body, as a whole if it is short."""
        responder = context.responder
        body = b""
        length = response.content_length
        if length is None or length <= MAX_BUFFERED_BODY_BYTES:
            body, is_complete = await connection.read_up_to(MAX_BUFFERED_BODY_BYTES)
            if is_complete:
                await self._check_end(context, connection, liveness)
                context.response_status = response.status
                await responder.send(response.status, response.headers, body)
                return
        context.response_status = response.status
        await responder.start(response.status, response.headers, length)
        if body:
            await responder.write(body)
        while (chunk := await connection.read()) is not None:
            await responder.write(chunk)
        await self._check_end(context, connection, liveness)
        await responder.finish()

    async def _relay_stream(
        self,
        context: RequestContext,
        record: EndpointRecord,
        response: EndpointResponse,
        connection: HTTPConnection,
        liveness: LivenessCheck,
    ) -> None:
        """Relay events; the response is completed only after a whole stream.

        The endpoint's length is not passed on: a caller that has it would take the
        last byte for the end before the stream was checked.
        """
        responder = context.responder
        context.response_status = response.status
        await responder.start(response.status, response.headers, None)
        recording = self.stream_versions.begin(context, record.version)
        await self._relay_events(context, record, connection, recording)
        await self._check_end(context, connection, liveness)
        if connection.ended_response and context.route.resumable:
            await self._continue_stream(context, record)
        await responder.finish()

    async def _continue_stream(
        self, context: RequestContext, record: EndpointRecord
    ) -> None:
        """Ask for more events until none comes, or the end is marked."""
        counter = context.event_counter
        events = 0
        while counter.last_id is not None and counter.completed > events:
            events = counter.completed
            continuation = StreamContinuation(
                context,
                record,
                self.codec,
                self.clock,
                self.pool,
                self.current_endpoints,
            )
            async with self._liveness_check(context, record) as liveness:
                liveness.start()
                if not await continuation.relay(self.on_heard):
                    return
                await self._require_alive(context, liveness)

    async def _relay_events(
        self,
        context: RequestContext,
        record: EndpointRecord,
        connection: HTTPConnection,
        recording: Recording,
    ) -> None:
        counter = context.event_counter
        counter.last_id = context.request.last_event_id
        while (chunk := await connection.read()) is not None:
            await recording.wait()
            self.on_heard(record.id)
            counter.feed(chunk)
            if not counter.is_ordered:
                raise ConnectionBroken("An event came twice or too late.", True)
            await context.responder.write(chunk)
        if not context.is_stream_whole:
            raise ConnectionBroken("The stream ended inside an event.", True)

    async def _check_end(
        self,
        context: RequestContext,
        connection: HTTPConnection,
        liveness: LivenessCheck,
    ) -> None:
        """Fail if the end of the connection may be that of the endpoint."""
        if connection.ended_response:
            await self._require_alive(context, liveness)

    async def _require_alive(
        self, context: RequestContext, liveness: LivenessCheck
    ) -> None:
        context.outlived_response = await liveness.is_alive()
        if not context.outlived_response:
            raise ConnectionBroken("The endpoint ended with its response.", True)
