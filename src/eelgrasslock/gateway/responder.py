"""The way of an answer to one caller, over aiohttp."""

import json

from aiohttp import web
from multidict import CIMultiDict

from eelgrasslock.exceptions import Refusal
from eelgrasslock.http.messages import Header


class ResponseTruncated(ConnectionError):
    """An answer that has begun can't be finished; the connection is closed."""


class CallerResponder:
    """Answers one request.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    closes : bool
        Whether the connection ends after the answer.
    """

    def __init__(
        self, request: web.BaseRequest, close_after_response: bool = False
    ) -> None:
        self.request = request
        self.close_after_response = close_after_response
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether a byte of the answer may have left."""
        return self.response is not None

    async def send(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Send a whole answer."""
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        await self._prepare(response)
        await response.write_eof()

    async def start(
        self, status: int, headers: tuple[Header, ...], content_length: int | None
    ) -> None:
        """Send the head of an answer whose body follows."""
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        response.content_length = content_length
        await self._prepare(response)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the caller is slow."""
        assert self.response is not None
        await self.response.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        assert self.response is not None
        await self.response.write_eof()

    async def refuse(self, refusal: Refusal, headers: list[Header]) -> None:
        """Give the request its final answer.

        Raises
        ------
        ResponseTruncated
            If an answer has begun; the connection must be closed then, so that
            nobody takes the part for the whole.
        """
        if self.started:
            raise ResponseTruncated(refusal.sentence)
        all_headers = [*headers, ("Content-Type", "application/json")]
        if refusal.retry_after is not None:
            all_headers.append(("Retry-After", f"{refusal.retry_after:.3f}"))
        await self.send(refusal.status, tuple(all_headers), _body(refusal))

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self.close_after_response:
            response.force_close()
        self.response = response
        await response.prepare(self.request)


def _body(refusal: Refusal) -> bytes:
    error = {
        "code": refusal.code,
        "message": refusal.sentence,
        "ran": refusal.ran.value,
        "retry_after": refusal.retry_after,
    }
    return json.dumps({"error": error}).encode()
