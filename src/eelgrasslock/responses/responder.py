"""Sends responses to callers through aiohttp."""

import json
from typing import Protocol

from aiohttp import web
from multidict import CIMultiDict

from eelgrasslock.exceptions import Refusal
from eelgrasslock.http.caller_body import CallerBody
from eelgrasslock.http.messages import Header


class ResponseTruncated(ConnectionError):
    """A started response can't be completed; its connection must be closed."""


class ResponseWriter(Protocol):
    """Where the response to a request goes: to a caller, or to a peer."""

    @property
    def started(self) -> bool:
        """Whether a byte of the response may have been sent."""

    async def send(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Send a complete response."""

    async def start(
        self, status: int, headers: tuple[Header, ...], content_length: int | None
    ) -> None:
        """Send the head of a response whose body follows."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the reader is slow."""

    async def finish(self) -> None:
        """Complete the body."""


class CallerResponder:
    """Sends the response to one request.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    close_after_response : bool
        Whether to close the connection after the response.
    """

    def __init__(
        self, request: web.BaseRequest, close_after_response: bool = False
    ) -> None:
        self.request = request
        self.close_after_response = close_after_response
        self.response: web.StreamResponse | None = None
        self._body: CallerBody | None = None

    @property
    def started(self) -> bool:
        """Whether a byte of the response may have been sent."""
        return self.response is not None

    async def send(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Send a complete response."""
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        await self._start(response)
        await self.finish()

    async def start(
        self, status: int, headers: tuple[Header, ...], content_length: int | None
    ) -> None:
        """Send the head of a response whose body follows."""
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        response.content_length = content_length
        await self._start(response)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        assert self._body is not None
        await self._body.write(chunk)

    async def finish(self) -> None:
        """Complete the body."""
        assert self._body is not None
        await self._body.finish()

    async def refuse(self, refusal: Refusal, headers: list[Header]) -> None:
        """Send a refusal as the final response.

        Raises
        ------
        ResponseTruncated
            If a response has started. The connection must then be closed, so that
            the caller doesn't take the partial response as complete.
        """
        if self.started:
            raise ResponseTruncated(refusal.sentence)
        response_headers = [*headers, ("Content-Type", "application/json")]
        if refusal.retry_after is not None:
            response_headers.append(("Retry-After", f"{refusal.retry_after:.3f}"))
        await self.send(refusal.status, tuple(response_headers), _error_body(refusal))

    async def _start(self, response: web.StreamResponse) -> None:
        if self.close_after_response:
            response.force_close()
        self.response = response
        self._body = CallerBody(self.request, response)
        await self._body.start()


def _error_body(refusal: Refusal) -> bytes:
    error = {
        "code": refusal.code,
        "message": refusal.sentence,
        "ran": refusal.ran.value,
        "retry_after": refusal.retry_after,
    }
    return json.dumps({"error": error}).encode()
