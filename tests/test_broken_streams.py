"""A stream that has begun and breaks off is followed by no byte of another answer."""

import pytest

from eelgrasslock.exceptions import PeerUnavailable, Ran, Refusal
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.relaying.peer_forwarder import RelayedResponse
from eelgrasslock.relaying.peer_requests import PeerRequestHandler, PeerResponder
from eelgrasslock.relaying.relay_messages import encode_refusal
from eelgrasslock.responses.responder import ResponseTruncated
from eelgrasslock_standins.platform_engine import Fault
from link_faults import Cut
from platform_fleet import TURNS, PlatformFleet, route
from test_relay_messages import make_context
from test_stranded_daemons import StrandedFleet

EVENTS = 6
BREAKS = [Fault.TRUNCATED, Fault.UNFRAMED_RESET, Fault.UNFRAMED_CUT]


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


def stream_route(resumable):
    return route(
        "turns", TURNS, "streaming", "models", maxAttempts=3, resumable=resumable
    )


async def read_broken(fleet, daemon, **headers):
    """Return the bytes of a stream up to its break, None for a whole one."""
    connection = await fleet.connect(daemon)
    request = fleet.request(f"{TURNS}x", "POST", b"prompt", **headers)
    await connection.send(request)
    received = b""
    try:
        while (chunk := await connection.read()) is not None:
            received += chunk
    except ConnectionBroken:
        return received
    return None


def check_only_events(received, id):
    """Check that a break was seen, and events of one run before it."""
    assert received is not None
    lines = [line for line in received.split(b"\n") if line]
    numbers = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
    assert numbers == list(range(1, len(numbers) + 1))
    assert 0 < len(numbers) < EVENTS
    data = f"data: {id}".encode()
    assert all(
        line.startswith(b"id: ") or data.startswith(line) or line == data
        for line in lines
    )


class TestNextEndpointFails:
    """The text of its error, or its whole head, came in the middle of the stream."""

    @pytest.mark.parametrize("resumable", [True, False])
    @pytest.mark.parametrize("fault", BREAKS)
    async def test_nothing_of_its_answer_is_in_the_stream(
        self, fleet, fault, resumable
    ):
        fleet.configure(routes=[stream_route(resumable)])
        engines = [await fleet.endpoint("models", events=EVENTS) for _ in range(3)]
        daemon = await fleet.ready_daemon(engines)
        for engine in engines:
            engine.faults.extend([fault, Fault.ERROR, Fault.ERROR, Fault.ERROR])
        received = await read_broken(fleet, daemon, Request_Id="one")
        check_only_events(received, "one")

    async def test_a_resumed_stream_gets_the_error_as_an_answer_of_its_own(self, fleet):
        fleet.configure(routes=[stream_route(True)])
        engine = await fleet.endpoint("models", events=EVENTS)
        daemon = await fleet.ready_daemon([engine])
        engine.faults.extend([Fault.TRUNCATED, Fault.ERROR])
        check_only_events(await read_broken(fleet, daemon, Request_Id="one"), "one")
        status, _, body = await fleet.call(
            daemon, f"{TURNS}x", "POST", b"prompt", Last_Event_Id=3, Resumes="one"
        )
        assert (status, body) == (500, b"failed")

    @pytest.mark.parametrize("fault", BREAKS)
    async def test_nothing_of_its_answer_is_in_a_stream_through_a_peer(
        self, fleet, fault
    ):
        stranded = await StrandedFleet(fleet).start()
        fleet.configure(version=2, routes=[stream_route(True)])
        daemon = stranded.daemons[0]
        await stranded.strand(daemon, cut=Cut.REFUSE)
        for engine in stranded.engines:
            engine.faults.extend([fault, Fault.ERROR, Fault.ERROR, Fault.ERROR])
        received = await read_broken(fleet, daemon, Request_Id="one")
        check_only_events(received, "one")


class RecordingResponder:
    """Keeps what a caller, or a peer, would receive."""

    def __init__(self):
        self.started = False
        self.heads = []
        self.body = b""

    async def start(self, status, headers, content_length=None):
        self.started = True
        self.heads.append(status)

    async def write(self, chunk):
        self.body += chunk

    async def finish(self):
        self.body += b"END"


class TestSecondHead:
    async def test_a_second_head_of_a_peer_is_an_error(self):
        """The stream ended as if it were complete."""
        responder = RecordingResponder()
        context = make_context(responder=responder)
        response = RelayedResponse(context)
        await response.start(200, {":endpoint": "i-1"})
        await response.write(b"id: 1\ndata: x\n\n")
        refusal = Refusal("no_endpoint", "None.", 503, Ran.NO)
        with pytest.raises(PeerUnavailable):
            await response.start(503, encode_refusal(refusal, context))
        assert responder.heads == [200]
        assert not responder.body.endswith(b"END")

    async def test_a_refusal_after_the_head_breaks_the_response_off(self):
        peer = RecordingResponder()
        writer = PeerResponder(peer)
        writer.context = make_context()
        handler = PeerRequestHandler(None, None, None, None)
        await writer.start(200, (), None)
        with pytest.raises(ResponseTruncated):
            await handler.refuse(writer, Refusal("late", "Too late.", 503))
        assert peer.heads == [200]
