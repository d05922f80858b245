"""Takes down the events of a turn while they are relayed to the caller."""

from eelgrasslock.conversations.event_data import EventDataReader, StreamEvent
from eelgrasslock.http.messages import Header
from eelgrasslock.responses.responder import ResponseWriter

_SUCCESS = range(200, 300)


class TurnRecorder:
    """A `ResponseWriter` that passes a response on except for its end.

    All events go out as they come. The end of a turn is held back until the turn is
    stored, since a turn counts from the end of its response.

    Parameters
    ----------
    responder : ResponseWriter
        Where the response goes.
    resumed_events : list of StreamEvent
        The events that the caller has from attempts before, if it resumes a stream.

    Attributes
    ----------
    is_turn : bool
        Whether the response is a success, the end of which makes a turn.
    is_complete : bool
        Whether all of it but its end has been passed on.
    """

    def __init__(
        self, responder: ResponseWriter, resumed_events: list[StreamEvent]
    ) -> None:
        self.responder = responder
        self.resumed_events = resumed_events
        self.reader = EventDataReader()
        self.is_turn = False
        self.is_complete = False

    @property
    def started(self) -> bool:
        """Whether a byte of the response may have been sent."""
        return self.responder.started

    @property
    def events(self) -> list[StreamEvent]:
        """All events that the caller has been sent, over all attempts."""
        return [*self.resumed_events, *self.reader.events]

    @property
    def output(self) -> bytes:
        """The data of each event, followed by a line feed."""
        return b"".join(event.data + b"\n" for event in self.events)

    async def send(self, status: int, headers: tuple[Header, ...], body: bytes) -> None:
        """Send a complete response."""
        if status not in _SUCCESS:
            await self.responder.send(status, headers, body)
            return
        await self.start(status, headers, None)
        if body:
            await self.write(body)
        await self.finish()

    async def start(
        self, status: int, headers: tuple[Header, ...], content_length: int | None
    ) -> None:
        """Send the head of a response; the length of a turn is not told.

        A caller that knew it would take the last byte for the end.
        """
        self.is_turn = status in _SUCCESS
        if self.is_turn:
            content_length = None
        await self.responder.start(status, headers, content_length)

    async def write(self, chunk: bytes) -> None:
        """Pass a part of the body on."""
        if self.is_turn:
            self.reader.feed(chunk)
        await self.responder.write(chunk)

    async def finish(self) -> None:
        """Complete the body, or hold its end back if it is a turn."""
        if not self.is_turn:
            await self.responder.finish()
            return
        self.is_complete = True

    async def finish_turn(self) -> None:
        """Send the end of a turn."""
        await self.responder.finish()
