"""A client that takes its streams up at another daemon after they broke off."""

from attrs import define

from eelgrasslock.http.errors import ConnectionBroken
from platform_fleet import TURNS


@define(eq=False)
class ClientStream:
    """A stream as its client knows it.

    Attributes
    ----------
    first_attempt : str
        The id of the attempt that brought the first event, empty before it.
    last_event : int
        The number of the last event.
    attempts : list of (str, int)
        The id and the status of each attempt.
    ended : bool
        Whether the stream came to its end.
    retry_after : float or None
        What the last refusal said, in seconds.
    refused : str
        The body of the last refusal.
    """

    first_attempt: str = ""
    last_event: int = 0
    attempts: list = None
    ended: bool = False
    retry_after: float | None = None
    refused: str = ""


class StreamClient:
    """Begins streams and takes them up again.

    Parameters
    ----------
    fleet : PlatformFleet
        The fleet that serves them.
    """

    def __init__(self, fleet):
        self.fleet = fleet

    async def begin(self, daemon, **headers):
        stream = ClientStream(attempts=[])
        await self.attempt(stream, daemon, **headers)
        return stream

    async def attempt(self, stream, daemon, **headers):
        """Make an attempt at a stream, which goes on where it broke off."""
        if stream.last_event:
            headers["Resumes"] = stream.first_attempt
            headers["Last_Event_Id"] = stream.last_event
        headers = {"Token_Usage": "100,220", **headers}
        request = self.fleet.request(f"{TURNS}x", "POST", b"prompt", **headers)
        id = dict(request.headers)["Request-Id"]
        connection = await self.fleet.connect(daemon)
        try:
            head = await connection.send(request)
            stream.attempts.append((id, head.status))
            if head.status != 200:
                body = dict((name.lower(), value) for name, value in head.headers)
                stream.retry_after = float(body.get("retry-after", "nan"))
                stream.refused = (await connection.read_all()).decode()
                return
            await self.read_events(stream, id, connection)
        except ConnectionBroken:
            return
        finally:
            connection.close()

    async def read_events(self, stream, id, connection):
        received = b""
        try:
            while (chunk := await connection.read()) is not None:
                received += chunk
            stream.ended = True
        finally:
            whole = received.count(b"\n\n")
            if whole and not stream.first_attempt:
                stream.first_attempt = id
            stream.last_event += whole


def versions_of(stream, engines_by_version):
    """Return the versions whose engines made events of a stream."""
    ids = {id for id, status in stream.attempts if status == 200}
    return {
        version
        for version, engines in engines_by_version.items()
        for engine in engines
        if ids & set(engine.ids())
    }
