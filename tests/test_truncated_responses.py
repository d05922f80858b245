"""A response that an endpoint broke off never reaches its caller as complete."""

import pytest

from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import Framing
from eelgrasslock_standins.raw_server import Ending, RawAnswer, frame
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet

STAMP = "Server-Stamp: s\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
ORDERLY_ENDINGS = [Ending.FIN, Ending.HALF_CLOSE]


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


def signed(body, framing, ending=Ending.FIN):
    return RawAnswer(data=frame(body, framing, more=STAMP), ending=ending)


class TestStreams:
    async def serve(self, fleet, answer, **headers):
        engine = await fleet.raw_endpoint(answer, "models")
        daemon = await fleet.ready_daemon([engine])
        fleet.make_known(daemon, "r0")
        return await fleet.turn(daemon, "p", **headers)

    @pytest.mark.parametrize("headers", [{}, {"Last_Event_Id": 4, "Resumes": "r0"}])
    @pytest.mark.parametrize("ending", ORDERLY_ENDINGS)
    @pytest.mark.parametrize("framing", list(Framing))
    @pytest.mark.parametrize("missing_bytes", [1, 2, 8, len(EVENTS) - 2])
    async def test_a_stream_that_ends_inside_an_event_is_not_completed(
        self, fleet, missing_bytes, framing, ending, headers
    ):
        # A crashed engine's orderly close was taken for the end of its stream.
        answer = signed(EVENTS[:-missing_bytes], framing, ending)
        with pytest.raises(ConnectionBroken):
            await self.serve(fleet, answer, **headers)

    @pytest.mark.parametrize("ending", ORDERLY_ENDINGS)
    async def test_a_close_before_the_first_event_completes_no_stream(
        self, fleet, ending
    ):
        with pytest.raises(ConnectionBroken):
            await self.serve(fleet, signed(b"", Framing.CLOSE, ending))

    @pytest.mark.parametrize("ending", ORDERLY_ENDINGS)
    @pytest.mark.parametrize("framing", list(Framing))
    async def test_a_whole_stream_is_delivered(self, fleet, framing, ending):
        status, body = await self.serve(fleet, signed(EVENTS, framing, ending))
        assert (status, body) == (200, EVENTS)

    async def test_a_failure_that_breaks_off_is_not_passed_on(self, fleet):
        data = frame(b"failed", Framing.LENGTH, status=500, more=STAMP)[:-1]
        status, body = await self.serve(fleet, RawAnswer(data=data))
        assert status == 502
        assert b"failed" not in body


class TestKeptConnections:
    @pytest.mark.parametrize("ending", [Ending.NEXT, *ORDERLY_ENDINGS, Ending.RESET])
    @pytest.mark.parametrize("framing", list(Framing))
    async def test_a_second_stream_reaches_nobody(self, fleet, framing, ending):
        whole = frame(EVENTS, Framing.CHUNKED, more=STAMP)
        other = b"id: 1\ndata: other\n\n"
        second = frame(other, framing, more=STAMP).replace(b"{id}", b"another")
        engine = await fleet.raw_endpoint(
            RawAnswer(data=whole, ending=Ending.NEXT), "models"
        )
        engine.queued.append(RawAnswer(data=whole + second, ending=ending))
        daemon = await fleet.ready_daemon([engine])
        for _ in range(3):
            status, body = await fleet.turn(daemon, "p")
            assert (status, body) == (200, EVENTS)

    @pytest.mark.parametrize("path", [POSTS, TURNS])
    async def test_a_second_response_without_an_id_reaches_nobody(self, fleet, path):
        body = EVENTS if path == TURNS else b"whole"
        whole = frame(body, Framing.LENGTH, more=STAMP)
        second = frame(b"id: 1\ndata: other\n\n", Framing.LENGTH, more=STAMP)
        second = second.replace(b"Request-Id: {id}\r\n", b"")
        engine = await fleet.raw_endpoint(
            RawAnswer(data=whole, ending=Ending.NEXT),
            "models" if path == TURNS else "desk",
        )
        daemon = await fleet.ready_daemon([engine])
        connection = await fleet.connect(daemon)
        engine.answer = RawAnswer(data=second + whole, ending=Ending.NEXT)
        status, _, received = await fleet.send(connection, f"{path}x", "POST", b"x")
        assert status == 502
        assert b"other" not in received


PLAIN = b"a fee was posted"
BROKEN_PLAIN = [
    (Framing.CLOSE, 0, Ending.RESET),
    (Framing.CLOSE, 4, Ending.RESET),
    *((Framing.LENGTH, 4, ending) for ending in (*ORDERLY_ENDINGS, Ending.RESET)),
    *((Framing.CHUNKED, 4, ending) for ending in (*ORDERLY_ENDINGS, Ending.RESET)),
]


def plain(framing, missing_bytes, ending):
    data = frame(PLAIN, framing, more=STAMP)
    return RawAnswer(data=data[: len(data) - missing_bytes], ending=ending)


class TestPlainResponses:
    @pytest.mark.parametrize(("framing", "missing_bytes", "ending"), BROKEN_PLAIN)
    async def test_a_post_with_a_broken_off_response_fails_and_runs_once(
        self, fleet, framing, missing_bytes, ending
    ):
        engine = await fleet.raw_endpoint(plain(framing, missing_bytes, ending))
        daemon = await fleet.ready_daemon([engine])
        status, head, _ = await fleet.call(daemon, f"{POSTS}x", "POST", b"x")
        assert status == 502
        assert not head.header("server-stamp")
        assert len(engine.runs) == 1

    @pytest.mark.parametrize(("framing", "missing_bytes", "ending"), BROKEN_PLAIN)
    async def test_a_lookup_with_a_broken_off_response_runs_elsewhere(
        self, fleet, framing, missing_bytes, ending
    ):
        broken = await fleet.raw_endpoint(plain(framing, missing_bytes, ending))
        sound = await fleet.raw_endpoint(plain(Framing.CLOSE, 0, Ending.FIN))
        daemon = await fleet.ready_daemon([broken, sound])
        for _ in range(3):
            status, _, body = await fleet.call(daemon, f"{LOOKUPS}x")
            assert (status, body) == (200, PLAIN)

    @pytest.mark.parametrize("framing", list(Framing))
    async def test_a_response_that_goes_silent_fails_at_the_deadline(
        self, fleet, framing
    ):
        engine = await fleet.raw_endpoint(plain(framing, 1, Ending.SILENCE))
        daemon = await fleet.ready_daemon([engine])
        status, _, _ = await fleet.call(
            daemon, f"{POSTS}x", "POST", b"x", Deadline_Ms=400
        )
        assert status == 504

    @pytest.mark.parametrize("ending", ORDERLY_ENDINGS)
    @pytest.mark.parametrize("framing", list(Framing))
    async def test_a_whole_response_is_delivered(self, fleet, framing, ending):
        engine = await fleet.raw_endpoint(plain(framing, 0, ending))
        daemon = await fleet.ready_daemon([engine])
        status, _, body = await fleet.call(daemon, f"{POSTS}x", "POST", b"x")
        assert (status, body) == (200, PLAIN)
