"""Asks an endpoint for what follows the last event of a stream without an end mark."""

from collections.abc import Callable

from eelgrasslock.clock import Clock
from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import OutgoingRequest
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool
from eelgrasslock.registry.current_endpoints import CurrentEndpoints
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.responses.event_counter import EventCounter
from eelgrasslock.running_timeout import RunningTimeout

# How long an endpoint may take to begin; it has read the prompt before.
HEAD_SECONDS = 1.0
MAX_FIRST_EVENT_BYTES = 262_144
_SUCCESS = range(200, 300)


class StreamContinuation:
    """Resumes a stream at the endpoint that sent it, within the same response.

    An endpoint that ended the stream early sends the rest. One that sent all of it
    sends nothing more, or the same events again.

    Parameters
    ----------
    context : RequestContext
        The request, whose counter knows the last event.
    record : EndpointRecord
        The endpoint.
    codec : MessageCodec
        Encodes the request, and decodes the head of the response.
    clock : Clock
        The source of time.
    pool : ConnectionPool
        Opens a connection.
    current_endpoints : CurrentEndpoints
        Checks the endpoint just before the request is sent to it once more.
    """

    def __init__(
        self,
        context: RequestContext,
        record: EndpointRecord,
        codec: MessageCodec,
        clock: Clock,
        pool: ConnectionPool,
        current_endpoints: CurrentEndpoints,
    ) -> None:
        self.context = context
        self.record = record
        self.codec = codec
        self.clock = clock
        self.pool = pool
        self.current_endpoints = current_endpoints

    async def relay(self, on_heard: Callable[[str], None]) -> bool:
        """Relay what follows; return whether its end was that of the connection.

        An endpoint that has no room for the request tells nothing of the stream.

        Raises
        ------
        ConnectionBroken
            If the endpoint does not tell whether the stream was whole, or may not be
            asked any more.
        """
        self.context.continuations += 1
        try:
            connection = await self.pool.connect(self.record.address)
        except ConnectFailed as error:
            if error.was_refused:
                raise ConnectionBroken(str(error), True) from error
            return False
        try:
            if not await self.current_endpoints.may_send(self.record):
                raise ConnectionBroken("The endpoint takes no more requests.", True)
            if not await self._begins(connection):
                return False
            on_heard(self.record.id)
            await self._relay_events(connection)
            return connection.ended_response
        finally:
            connection.close()

    async def _begins(self, connection: HTTPConnection) -> bool:
        """Return whether the endpoint runs the request; it may be full or busy."""
        try:
            async with RunningTimeout(HEAD_SECONDS):
                head = await connection.send(self._encode())
        except TimeoutError:
            return False
        response = self.codec.decode_response(head, self.context.request.id)
        if response.not_run:
            return False
        if not response.is_valid or response.status not in _SUCCESS:
            raise ConnectionBroken("The endpoint did not resume the stream.", True)
        return True

    def _encode(self) -> OutgoingRequest:
        context = self.context
        last_event_id = context.event_counter.last_id
        assert last_event_id is not None
        remaining_seconds = context.deadline - self.clock.monotonic()
        return self.codec.encode_resumption(
            context.request, self.record.id, remaining_seconds, last_event_id
        )

    async def _relay_events(self, connection: HTTPConnection) -> None:
        """Relay the events after the last one, if there are any."""
        counter = self.context.event_counter
        last_id = counter.last_id
        first = await _read_first_event(connection)
        resumed = EventCounter()
        resumed.feed(first)
        if resumed.last_id is None:
            if resumed.in_event:
                raise ConnectionBroken("The stream ended inside an event.", True)
            return
        if resumed.last_id <= (last_id or 0):
            await self._compare(connection, resumed)
            return
        chunk: bytes | None = first
        while chunk:
            counter.feed(chunk)
            if not counter.is_ordered:
                raise ConnectionBroken("An event came twice or too late.", True)
            await self.context.responder.write(chunk)
            chunk = await connection.read()
        if counter.in_event:
            raise ConnectionBroken("The stream ended inside an event.", True)

    async def _compare(self, connection: HTTPConnection, resumed: EventCounter) -> None:
        """Fail unless a stream that began anew ends with the same event."""
        while (chunk := await connection.read()) is not None:
            resumed.feed(chunk)
        if resumed.in_event or resumed.last_id != self.context.event_counter.last_id:
            raise ConnectionBroken("Another run of the stream ended elsewhere.", True)


async def _read_first_event(connection: HTTPConnection) -> bytes:
    """Return the bytes up to the first event with an id, or all that come."""
    counter = EventCounter()
    data = b""
    while counter.last_id is None and len(data) <= MAX_FIRST_EVENT_BYTES:
        chunk = await connection.read()
        if chunk is None:
            break
        counter.feed(chunk)
        data += chunk
    return data
