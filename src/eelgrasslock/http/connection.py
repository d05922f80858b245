"""A persistent HTTP/1.1 connection that carries one request at a time.

A response that echoes another request's id belongs to an earlier request and is
skipped. A connection is closed if it receives bytes that belong to no request.
"""

import asyncio
from typing import cast

import httptools

from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import Framing, Header, OutgoingRequest, ResponseHead
from eelgrasslock.http.received_body import ReceivedBody
from eelgrasslock.http.socket_options import (
    limit_reads,
    set_socket_options,
    unsent_bytes,
)

READ_PAUSE_BYTES = 32_768
LARGE_BODY_BYTES = 65_536
MAX_OVERHEAD_BYTES = 262_144
MAX_HEADERS = 256
MAX_BODY_BYTES = 16_777_216
_FIRST_FINAL_STATUS = 200
_STATUSES = range(100, 600)
_SUCCESS = range(200, 300)


class HTTPConnection(asyncio.Protocol):
    """A connection: call `send`, then `read` until it returns None.

    Attributes
    ----------
    stale_responses : int
        The number of skipped responses to earlier requests.
    last_used_at : float
        When the last exchange ended, set by the pool.
    ended_response : bool
        Whether the end of the connection marked the end of the last response.
    ended_in_order_at : float or None
        When the peer ended the connection other than by a reset, on the event loop's
        clock, in seconds.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.stale_responses = 0
        self.last_used_at = 0.0
        self.ended_response = False
        self.ended_in_order_at: float | None = None
        self.request: OutgoingRequest | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head: asyncio.Future[ResponseHead] | None = None
        self._received = ReceivedBody()
        self._paused = False
        self._data_waiter: asyncio.Future[None] | None = None
        self._end_waiter: asyncio.Future[None] | None = None
        self._in_head = False
        self._overhead_bytes = 0
        self._skipping = False
        self._response_started = False
        self._body_until_eof = False
        self._is_early = False
        self._complete = True
        self._usable = False
        self._error: ConnectionBroken | None = None

    # --- public interface --------------------------------------------------------

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self._usable and self._complete and self._is_flushed()

    async def send(self, request: OutgoingRequest) -> ResponseHead:
        """Send a request and wait for the head of its response.

        Raises
        ------
        ConnectionBroken
            If the connection fails first; the request may have been read.
        """
        if not self.reusable or self.transport is None:
            raise ConnectionBroken("The connection was closed.", response_started=False)
        self.request = request
        self._complete = False
        self._overhead_bytes = 0
        self._response_started = False
        self._head = asyncio.get_running_loop().create_future()
        self._write(request)
        return await self._head

    async def read(self) -> bytes | None:
        """Return the next bytes of the response's body, None at its end.

        Raises
        ------
        ConnectionBroken
            If the connection fails before the body is complete.
        """
        while not self._received.size:
            if self._complete:
                return None
            if self._error is not None:
                raise self._error
            self._data_waiter = asyncio.get_running_loop().create_future()
            await self._data_waiter
        data = self._received.take()
        if self._paused and not self._received.size and self.transport is not None:
            self._paused = False
            self.transport.resume_reading()
        return data

    async def read_all(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the response's body.

        Raises
        ------
        ConnectionBroken
            If the connection fails before the body is complete, or the body is
            longer than `max_bytes`.
        """
        body, is_complete = await self.read_up_to(max_bytes)
        if not is_complete:
            raise ConnectionBroken("The response is too long.", response_started=True)
        return body

    async def read_up_to(self, max_bytes: int) -> tuple[bytes, bool]:
        """Read until the body's end, or until it is longer than `max_bytes`.

        Returns
        -------
        tuple of (bytes, bool)
            The bytes that were read and whether the body is complete.

        Raises
        ------
        ConnectionBroken
            If the connection fails first.
        """
        parts: list[bytes] = []
        size = 0
        while size <= max_bytes:
            chunk = await self.read()
            if chunk is None:
                return b"".join(parts), True
            parts.append(chunk)
            size += len(chunk)
        return b"".join(parts), False

    def close(self) -> None:
        """Close the connection and abandon an unfinished request."""
        self._usable = False
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_open(self) -> bool:
        """Whether the peer has not ended the connection."""
        return self._usable

    async def wait_ended(self) -> None:
        """Wait until the peer ends the connection, or it is closed."""
        if self._usable:
            self._end_waiter = asyncio.get_running_loop().create_future()
            await self._end_waiter

    # --- asyncio.Protocol -------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set timeouts that detect a dead peer."""
        self.transport = cast(asyncio.Transport, transport)
        self._usable = True
        limit_reads(transport)
        connected_socket = transport.get_extra_info("socket")
        if connected_socket is not None:
            set_socket_options(connected_socket)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are no response.

        Bytes that bring neither the awaited head nor a part of its body, such as
        those of an endless header, count as overhead.
        """
        if self.request is None:
            self.close()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._abort_with_error(f"The response is not valid HTTP: {error}.")
        except httptools.HttpParserUpgrade:
            self._abort_with_error("The peer switched to another protocol.")
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._abort_with_error("Too many bytes without a response.")

    def eof_received(self) -> bool:
        """Handle the end of the peer's bytes."""
        if self._body_until_eof and not self._complete and not self._is_early:
            self.ended_response = True
            self._finish()
        self.ended_in_order_at = asyncio.get_running_loop().time()
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self._end()
        if not self._complete:
            reset = isinstance(exc, ConnectionResetError)
            cause = "was reset" if reset else "ended early"
            self._fail(f"The connection {cause}.", reset)

    # --- httptools callbacks ----------------------------------------------------

    def on_message_begin(self) -> None:
        """Handle the start of a response."""
        self._headers = []
        self._in_head = True
        if self.request is None:
            self._usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of a head; trailers are ignored."""
        if not self._in_head:
            return
        if len(self._headers) >= MAX_HEADERS:
            raise ValueError("The response has too many headers.")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Complete `send`, unless the response belongs to an earlier request."""
        self._in_head = False
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            raise ValueError(f"HTTP has no status {status}.")
        request = self.request
        self._skipping = True
        if request is None or status < _FIRST_FINAL_STATUS:
            return
        head = ResponseHead(status=status, headers=tuple(self._headers))
        if request.response_id_header and self._is_stale(request, head):
            self.stale_responses += 1
            return
        self._skipping = False
        self._response_started = True
        self._overhead_bytes = 0
        self._body_until_eof = head.framing is Framing.CLOSE
        self._is_early = status in _SUCCESS and self._has_unsent()
        if self._head is not None and not self._head.done():
            self._head.set_result(head)
        if request.method == "HEAD":
            self._usable = False
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body; pause reading if the buffer is large."""
        if self._skipping or self._complete:
            return
        self._overhead_bytes = 0
        self._received.add(data)
        if self._received.size > READ_PAUSE_BYTES and not self._paused:
            self._paused = True
            if self.transport is not None:
                self.transport.pause_reading()
        self._wake_reader()

    def on_message_complete(self) -> None:
        """Handle the end of a response."""
        if self._skipping:
            self._skipping = False
            return
        if not self._parser.should_keep_alive():
            self._usable = False
        self._finish()

    # --- helpers ----------------------------------------------------------------

    def _write(self, request: OutgoingRequest) -> None:
        """Send a request; a large body is not copied before it is sent."""
        assert self.transport is not None
        if len(request.body) <= LARGE_BODY_BYTES:
            self.transport.write(request.encode())
            return
        self.transport.write(request.encode_head())
        self.transport.write(memoryview(request.body))

    def _is_stale(self, request: OutgoingRequest, head: ResponseHead) -> bool:
        echoed = head.header(request.response_id_header)
        return bool(echoed) and echoed != request.expected_response_id

    def _is_flushed(self) -> bool:
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    def _has_unsent(self) -> bool:
        """Return whether the peer answers before it has taken the whole request.

        The end of its connection does not show then that its answer is whole.
        """
        return self.transport is not None and unsent_bytes(self.transport) > 0

    def _end(self) -> None:
        self._usable = False
        if self._end_waiter is not None and not self._end_waiter.done():
            self._end_waiter.set_result(None)

    def _finish(self) -> None:
        self._complete = True
        self._overhead_bytes = 0
        self._body_until_eof = False
        self.request = None
        self._wake_reader()

    def _abort_with_error(self, message: str) -> None:
        self._usable = False
        if not self._complete:
            self._fail(message, reset=False)
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, message: str, reset: bool) -> None:
        self._error = ConnectionBroken(message, self._response_started, reset)
        self.request = None
        head = self._head
        if head is not None and not head.done():
            head.set_exception(self._error)
            head.exception()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)
