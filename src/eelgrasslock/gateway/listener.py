"""The HTTP servers of the gateway for callers, health probes and metrics."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from attrs import evolve
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.gateway.caller_connections import (
    CallerConnection,
    CallerConnections,
    CallerServer,
)
from eelgrasslock.gateway.request_bodies import (
    SHORTAGE_STATUS,
    read_body,
    request_bytes,
    shortage_refusal,
)
from eelgrasslock.http.socket_options import READ_BYTES
from eelgrasslock.responses.responder import CallerResponder, ResponseTruncated
from eelgrasslock.routing.routes import RequestLimits

BACKLOG = 1_024
METRICS_PATH = "/metrics"
# How long a handler may take to end at the stop; aiohttp takes 0 for no limit.
HANDLER_END_SECONDS = 0.1

_log = logger.bind(part="listener")

HandleRequest = Callable[[GatewayRequest, CallerResponder], Awaitable[None]]


class Listener:
    """The HTTP server for callers.

    Parameters
    ----------
    address : str
        The address to listen on, as ``ip:port``.
    handle : callable
        Handles one decoded request.
    codec : MessageCodec
        Decodes requests.
    limits : callable
        Returns the current limits on requests.
    clock : Clock
        The source of time.
    connections : CallerConnections
        Bounds what callers hold.

    Attributes
    ----------
    close_after_response : bool
        Whether connections are closed after their next response.
    """

    def __init__(
        self,
        address: str,
        handle: HandleRequest,
        codec: MessageCodec,
        limits: Callable[[], RequestLimits],
        clock: Clock,
        connections: CallerConnections,
    ) -> None:
        self.address = address
        self.handle = handle
        self.connections = connections
        self.codec = codec
        self.limits = limits
        self.clock = clock
        self.close_after_response = False
        self._awaits_bodies = True
        self._body_limits: set[asyncio.Timeout] = set()
        self._servers: list[web.Server] = []
        self._active_connections: set[web.RequestHandler] = set()
        self._socket_server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._socket_server = await loop.create_server(
            self._make_protocol, host, int(port), backlog=BACKLOG
        )
        _log.info("Listening for callers on {}.", self.address)

    def close_idle(self) -> None:
        """Close the connections without a request in progress.

        aiohttp's own shutdown leaves idle connections open but does not read them.
        """
        for server in self._servers:
            for connection in server.connections:
                if connection not in self._active_connections:
                    connection.force_close()

    def stop_awaiting_bodies(self) -> None:
        """Handle requests whose bodies have not come as incomplete, from now on."""
        self._awaits_bodies = False
        now = asyncio.get_running_loop().time()
        for limit in self._body_limits:
            limit.reschedule(now)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._socket_server is not None:
            self._socket_server.close()
            self._socket_server = None
        self.close_idle()
        for server in self._servers:
            await server.shutdown(HANDLER_END_SECONDS)

    def reload_limits(self) -> None:
        """Apply the current limits to new connections."""
        self._servers = [one for one in self._servers if one.connections]
        self._servers.append(self._make_server())

    def _make_protocol(self) -> asyncio.Protocol:
        if not self._servers:
            self._servers.append(self._make_server())
        return self._servers[-1]()

    def _make_server(self) -> web.Server:
        limits = self.limits()
        bounds: dict[str, Any] = {}
        if self.connections.is_memory_bounded:
            bounds["read_bufsize"] = READ_BYTES
        return CallerServer(
            self.connections,
            self._serve,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_seconds,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            auto_decompress=False,
            **bounds,
        )

    def _make_request(
        self,
        message: Any,
        payload: Any,
        protocol: Any,
        writer: Any,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self.limits().max_body_bytes,
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        self._active_connections.add(connection)
        connection.begin_request()
        try:
            return await self._respond(request)
        except ConnectionError as error:
            _log.info("A caller left while its response was written: {}", error)
            raise asyncio.CancelledError from None
        finally:
            connection.end_request()
            self._active_connections.discard(connection)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        received_at = self.clock.monotonic()
        responder = CallerResponder(request, self.close_after_response)
        try:
            self._check_head(request)
            body = await self._read_body(request)
            decoded = self.codec.decode_request(
                request.method,
                request.raw_path,
                list(request.headers.items()),
                body or b"",
                received_at,
            )
            if body is None:
                decoded = evolve(decoded, is_complete=False)
        except web.HTTPRequestEntityTooLarge:
            refusal = Refusal("body_too_large", "The request body is too large.", 413)
            await responder.refuse(refusal, [])
        except Refusal as refusal:
            _log.info("Refused a request unread: {}", refusal.sentence)
            responder.close_after_response |= refusal.status == SHORTAGE_STATUS
            await responder.refuse(refusal, [])
        else:
            await self._handle(request, decoded, responder)
        assert responder.response is not None
        return responder.response

    async def _read_body(self, request: web.BaseRequest) -> bytes | None:
        """Return the body, or None if it is not awaited to its end.

        Raises
        ------
        Refusal
            If memory is short.
        """
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        if request.content.is_eof():
            body = await request.read()
            connection.end_body(request_bytes(request))
            return body
        try:
            async with asyncio.timeout(None if self._awaits_bodies else 0.0) as limit:
                self._body_limits.add(limit)
                connection.await_body(limit)
                try:
                    return await read_body(request, self.limits().max_body_bytes)
                finally:
                    self._body_limits.discard(limit)
                    connection.end_body(request_bytes(request))
        except TimeoutError:
            if connection.is_refused:
                raise shortage_refusal() from None
            return None

    def _check_head(self, request: web.BaseRequest) -> None:
        """Refuse a request whose line and headers are too large in total."""
        size = len(request.raw_path)
        size += sum(len(name) + len(value) for name, value in request.raw_headers)
        if size > self.limits().max_header_bytes:
            raise Refusal("head_too_large", "The request's head is too large.", 431)

    async def _handle(
        self,
        request: web.BaseRequest,
        decoded: GatewayRequest,
        responder: CallerResponder,
    ) -> None:
        try:
            await self.handle(decoded, responder)
        except ResponseTruncated:
            # aiohttp would complete a response that a handler leaves unfinished.
            request.protocol.force_close()
            raise asyncio.CancelledError from None


class SinglePathServer:
    """An HTTP server for a single path, called by the platform.

    Parameters
    ----------
    address : str
        The address to listen on, as ``ip:port``; an empty one disables the server.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._server: web.Server | None = None
        self._socket_server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        if not self.address:
            return
        host, _, port = self.address.rpartition(":")
        self._server = web.Server(self.serve, access_log=None)
        loop = asyncio.get_running_loop()
        self._socket_server = await loop.create_server(self._server, host, int(port))

    async def stop(self) -> None:
        """Stop listening."""
        if self._socket_server is not None:
            self._socket_server.close()
            self._socket_server = None
        if self._server is not None:
            await self._server.shutdown(HANDLER_END_SECONDS)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request."""
        raise NotImplementedError


class ReadinessServer(SinglePathServer):
    """Responds to the load balancer's readiness probes.

    Parameters
    ----------
    address : str
        The address to listen on, as ``ip:port``.
    path : str
        The path of the probe.
    is_ready : callable
        Returns whether the daemon accepts new connections.
    """

    def __init__(self, address: str, path: str, is_ready: Callable[[], bool]) -> None:
        super().__init__(address)
        self.path = path
        self.is_ready = is_ready

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with 200 if the daemon accepts new connections, else with 503."""
        if request.path != self.path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)


class MetricsServer(SinglePathServer):
    """Serves the metrics.

    Parameters
    ----------
    address : str
        The address to listen on, as ``ip:port``.
    text : callable
        Returns the metrics in the Prometheus text format.
    """

    def __init__(self, address: str, text: Callable[[], bytes]) -> None:
        super().__init__(address)
        self.text = text

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with all metrics."""
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=self.text(), content_type="text/plain")
