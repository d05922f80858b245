"""Sessions of aiohttp whose answers are read whole or not at all."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from eelgrasslock.running_timeout import RunningTimeout

CONNECT_SECONDS = 0.5
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
MAX_ANSWER_BYTES = 67_108_864


class StrictResponseHandler(ResponseHandler):
    """A connection whose reset never ends an answer.

    aiohttp takes any end of the connection for the end of an answer without a length
    or chunks.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that the connection's error interrupts."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            message = f"The connection was lost inside the answer: {exc!r}."
            payload.set_exception(aiohttp.ClientPayloadError(message), exc)
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """A connector of strict connections; the parameters are those of aiohttp."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        make_handler: type[ResponseHandler] = StrictResponseHandler
        self._factory = functools.partial(make_handler, loop=self._loop)


def open_session(
    limit: int = 100, force_close: bool = False, **options: Any
) -> aiohttp.ClientSession:
    """Return a session with strict connections.

    Parameters
    ----------
    limit : int
        The maximum number of connections, 0 for no limit.
    force_close : bool
        Whether each request gets a connection of its own.
    **options
        Further parameters of `aiohttp.ClientSession`.
    """
    connector = StrictConnector(limit=limit, force_close=force_close)
    return aiohttp.ClientSession(connector=connector, **options)


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    aiohttp.ClientPayloadError
        If it breaks off, or is longer than `max_bytes`.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > max_bytes:
            raise aiohttp.ClientPayloadError("The answer is too long.")
        parts.append(part)
    await check_outlived(response)
    return b"".join(parts)


async def check_outlived(response: aiohttp.ClientResponse) -> None:
    """Fail if a body that ended with its connection may have ended with its server.

    The kernel ends the connections of a killed process in order, and takes no new
    ones for it.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the server takes no connection any more.
    """
    if _has_end_mark(response):
        return
    url = response.url
    try:
        async with RunningTimeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(url.host, url.port)
    except (OSError, TimeoutError) as error:
        message = f"The server ended with its answer: {error!r}."
        raise aiohttp.ClientPayloadError(message) from error
    writer.close()


def _has_end_mark(response: aiohttp.ClientResponse) -> bool:
    if response.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
        return True
    headers = response.headers
    is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return is_chunked or "Content-Length" in headers
