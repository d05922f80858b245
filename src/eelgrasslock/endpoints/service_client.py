"""The client of plain services."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
from attrs import field, frozen

from eelgrasslock.clock import Clock
from eelgrasslock.endpoints.credentials import (
    ConfigurationSource,
    Credentials,
    no_configuration,
)
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.exceptions import Ran
from eelgrasslock.http.client_session import open_session, read_body
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.telemetry.tracing import context_headers

_CONNECT_SECONDS = 5.0
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-encoding",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_PREFIX = "eelgrass-"


@frozen(kw_only=True)
class PlainRequest:
    """A request to a plain service.

    Attributes
    ----------
    method, path, query : str
        As in HTTP; `path` starts with a slash.
    headers : dict of str to str
        Already cleaned, see `clean_headers`.
    body : bytes
        The whole body.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""


@frozen(kw_only=True)
class PlainAnswer:
    """A plain service's whole answer.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : dict of str to str
        Cleaned, see `clean_headers`.
    body : bytes
        The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceClient:
    """Sends each request exactly once, on a connection of its own.

    A kept connection could turn out to be closed only once the request is
    under way; a fresh one rules that out. The HTTP library sends a broken PUT
    or DELETE a second time by itself, which is stopped here.

    Parameters
    ----------
    clock : Clock
        The time.
    configuration : callable
        Returns the configuration in force, for credentials.
    """

    def __init__(
        self, clock: Clock, configuration: ConfigurationSource = no_configuration
    ) -> None:
        self.clock = clock
        self.credentials = Credentials(configuration)
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Do nothing; connections are made when they are needed."""

    async def stop(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def send(
        self,
        url: str,
        request: PlainRequest,
        seconds: float,
        on_sending: Callable[[], None],
    ) -> PlainAnswer:
        """Send a request once and return the answer, whatever its status.

        Parameters
        ----------
        url : str
            The endpoint.
        request : PlainRequest
            The request.
        seconds : float
            The longest that it may take.
        on_sending : callable
            Called when the connection stands, before the first byte leaves.

        Raises
        ------
        EndpointFailure
            `CallOutcome.NOT_SENT` if no byte left; otherwise it may have run.
        """
        state = SimpleNamespace(sending=False, on_sending=on_sending)
        try:
            async with asyncio.timeout(seconds):
                return await self._send(url, request, state)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            message = f"{type(error).__name__}: {error}"
            if not state.sending:
                raise EndpointFailure(message, CallOutcome.NOT_SENT, Ran.NO) from error
            silent = isinstance(error, TimeoutError)
            end = CallOutcome.SILENT if silent else CallOutcome.BROKEN
            raise EndpointFailure(message, end, Ran.UNKNOWN) from error

    async def _send(
        self, url: str, request: PlainRequest, state: SimpleNamespace
    ) -> PlainAnswer:
        target = url.rstrip("/") + request.path
        if request.query:
            target = f"{target}?{request.query}"
        headers = {**request.headers, **self.credentials.headers(url)}
        async with self._open().request(
            request.method,
            target,
            data=request.body or None,
            headers={**headers, **context_headers()},
            allow_redirects=False,
            trace_request_ctx=state,
            middlewares=(_SendOnce(),),
        ) as response:
            body = await read_body(response)
            return PlainAnswer(
                status=response.status,
                headers=clean_headers(dict(response.headers)),
                body=body,
            )

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            hooks = aiohttp.TraceConfig()
            hooks.on_connection_create_end.append(_note_sending)
            self._session = open_session(
                limit=0,
                force_close=True,
                timeout=aiohttp.ClientTimeout(total=None, connect=_CONNECT_SECONDS),
                trace_configs=[hooks],
                skip_auto_headers=("User-Agent", "Content-Type"),
            )
        return self._session


def clean_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return headers without those of one connection, and without our own."""
    named = headers.get("connection", headers.get("Connection", ""))
    dropped = _DROPPED_HEADERS | {name.strip().lower() for name in named.split(",")}
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in dropped and not name.lower().startswith(_OWN_PREFIX)
    }


class _SendOnce:
    """Stops the HTTP library from sending one request again."""

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        if self._sent:
            raise aiohttp.ClientConnectionError("The connection broke off.")
        self._sent = True
        return await handler(request)


async def _note_sending(session: Any, context: SimpleNamespace, details: Any) -> None:
    state = context.trace_request_ctx
    state.sending = True
    state.on_sending()
