"""The HTTP server that callers and operators talk to."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from loguru import logger

from eelgrasslock.exceptions import Refusal
from eelgrasslock.http.caller_body import CallerBody
from eelgrasslock.requests.exchange import Request, Responder
from eelgrasslock.requests.refusal_body import refusal_body, refusal_headers

_log = logger.bind(part="front")

_HEADER_BYTES = 32_768
_BODY_BYTES = 64 * 1024 * 1024
_TRACE_HEADERS: tuple[str, ...] = ("traceparent", "tracestate")

Handle = Callable[[Request, Responder], Awaitable[None]]


class HTTPResponder:
    """Answers one HTTP request, piece by piece.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request to answer.
    """

    def __init__(self, request: web.Request) -> None:
        self.request = request
        self.response: web.StreamResponse | None = None
        self._body: CallerBody | None = None

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        self.response = web.StreamResponse(status=status, headers=headers)
        self._body = CallerBody(self.request, self.response)
        await self._body.start()

    async def write(self, chunk: bytes) -> None:
        """Send part of the body, waiting while the reader is slow."""
        assert self._body is not None
        await self._body.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        assert self._body is not None
        await self._body.finish()


class Front:
    """Listens for callers.

    Parameters
    ----------
    address : str
        Where to listen, as ``ip:port``.
    handle : callable
        Serves one request.
    routes : list of aiohttp.web.RouteDef
        Routes that don't go through the filter chain: health, operators.
    """

    def __init__(
        self, address: str, handle: Handle, routes: list[web.RouteDef]
    ) -> None:
        self.address = address
        self.handle = handle
        self.routes = routes
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Begin to listen."""
        application = web.Application(client_max_size=_BODY_BYTES)
        application.add_routes(self.routes)
        application.router.add_route("*", "/{tail:.*}", self._serve)
        self._runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            max_field_size=_HEADER_BYTES,
            max_line_size=_HEADER_BYTES,
        )
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()
        _log.info("Listening for callers on {}.", self.address)

    async def close_listener(self) -> None:
        """Take no new connection; open ones go on."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Stop listening and close what is left open."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        responder = HTTPResponder(request)
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            refusal = Refusal("body_too_large", "The request body is too large.", 413)
            return web.Response(
                status=refusal.status,
                headers=refusal_headers(refusal),
                body=refusal_body(refusal),
            )
        await self.handle(_from_http(request, body), responder)
        assert responder.response is not None
        return responder.response


def _from_http(request: web.Request, body: bytes) -> Request:
    headers = {name.lower(): value for name, value in request.headers.items()}
    trace = {name: headers[name] for name in _TRACE_HEADERS if name in headers}
    return Request(
        method=request.method,
        path=request.path,
        query=request.query_string,
        headers=headers,
        body=body,
        trace=trace,
    )
