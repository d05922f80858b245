"""Bodies sent to callers that can't be told complete by their connection's close."""

import asyncio
import socket
import struct

from aiohttp import HttpVersion11, web

_SENT_CHECK_SECONDS = 0.01
_LINGER = struct.Struct("ii")


class CallerBody:
    """The body of a response, which is incomplete until it is finished.

    A body without a length or chunks, as a caller of HTTP/1.0 gets it, ends with its
    connection. That connection is reset, whatever closes it, also the end of the
    process, unless the body was finished.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    response : aiohttp.web.StreamResponse
        Its response, not yet prepared.
    """

    def __init__(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        self.request = request
        self.response = response
        self._is_reset_on_close = False

    async def start(self) -> None:
        """Send the head."""
        ends_with_connection = (
            self.request.version < HttpVersion11
            and self.response.content_length is None
        )
        if ends_with_connection:
            self._reset_on_close(True)
        await self.response.prepare(self.request)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        await self.response.write(chunk)

    async def finish(self) -> None:
        """Complete the body."""
        await self.response.write_eof()
        if self._is_reset_on_close:
            await self._wait_until_sent()
            self._reset_on_close(False)

    async def _wait_until_sent(self) -> None:
        """Wait until the kernel has all of the body; the process may end before."""
        transport = self.request.transport
        while transport is not None and transport.get_write_buffer_size():
            await asyncio.sleep(_SENT_CHECK_SECONDS)
            transport = self.request.transport

    def _reset_on_close(self, enabled: bool) -> None:
        transport = self.request.transport
        if transport is None:
            return
        connected = transport.get_extra_info("socket")
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(enabled, 0)
        )
        self._is_reset_on_close = enabled
