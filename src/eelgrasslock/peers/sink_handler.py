"""Handler for the response to a forwarded request."""

from collections.abc import Callable, Coroutine
from typing import Any

from eelgrasslock.peers.peer_schema import decode_fields, schema
from eelgrasslock.requests.exchange import Responder


class SinkHandler(schema.Sink.Server):
    """Passes the response that a peer writes to a responder.

    Parameters
    ----------
    responder : Responder
        Receives the response.
    on_activity : callable
        Called each time that the peer writes.

    Attributes
    ----------
    response_started : bool
        Whether any part of the response has arrived.
    closed : bool
        Whether the forward has ended, so that writes fail.
    error : Exception or None
        What the responder raised, such as when the caller is gone.
    """

    def __init__(self, responder: Responder, on_activity: Callable[[], None]) -> None:
        self.responder = responder
        self.on_activity = on_activity
        self.response_started = False
        self.closed = False
        self.error: Exception | None = None

    async def start(self, status: int, headers: Any, **_: Any) -> None:
        """Send status and headers."""
        self.response_started = True
        await self._relay(self.responder.start(status, decode_fields(headers)))

    async def write(self, chunk: bytes, **_: Any) -> None:
        """Send part of the body; the peer waits until the reader has taken it."""
        await self._relay(self.responder.write(bytes(chunk)))

    async def finish(self, **_: Any) -> None:
        """End the body."""
        await self._relay(self.responder.finish())

    async def _relay(self, step: Coroutine[Any, Any, None]) -> None:
        self.on_activity()
        if self.closed:
            step.close()
            raise ConnectionError("The reader of the answer is gone.")
        try:
            await step
        except Exception as error:
            self.error = error
            raise ConnectionError("The reader of the answer is gone.") from None
