"""A responder that knows how far its answer has come."""

from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.exchange import Responder
from eelgrasslock.requests.refusal_body import refusal_body, refusal_headers


class TrackedResponder:
    """Passes an answer on and notes its beginning and its end.

    Parameters
    ----------
    responder : Responder
        Where the answer goes.
    """

    def __init__(self, responder: Responder) -> None:
        self.responder = responder
        self.started = False
        self.finished = False

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        self.started = True
        await self.responder.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Send part of the body, waiting while the reader is slow."""
        await self.responder.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        await self.responder.finish()
        self.finished = True

    async def refuse(self, refusal: Refusal) -> None:
        """Give the request its final answer, if it has none yet.

        An answer that ended has told the refusal by an error event.

        Raises
        ------
        Refusal
            If the answer has begun and not ended; the connection must then be
            cut, so that nobody takes the part for the whole.
        """
        if self.finished:
            return
        if self.started:
            raise refusal
        body = refusal_body(refusal)
        headers = refusal_headers(refusal)
        headers["Content-Length"] = str(len(body))
        await self.start(refusal.status, headers)
        await self.write(body)
        await self.finish()
