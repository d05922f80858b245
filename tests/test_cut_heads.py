"""An engine stops in the middle of its answer's head and closes.

Clients of other systems got a 200 with an empty or short body, framed as whole.
"""

import pytest

from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.messages import Framing
from eelgrasslock_standins.raw_server import Ending, RawAnswer, frame
from link_faults import Cut, LinkFaults
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet, wait_until

STAMP = "Server-Stamp: s\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
BODY = b"0123456789"
STEP_BYTES = 3
ENDINGS = [Ending.FIN, Ending.HALF_CLOSE, Ending.RESET]


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


def whole(path, framing):
    return frame(EVENTS if path == TURNS else BODY, framing, more=STAMP)


def cuts(path, framing):
    """Return the beginnings of an answer up to its body's first bytes.

    They end inside the length and inside a chunk's size, too.
    """
    data = whole(path, framing)
    head_bytes = data.index(b"\r\n\r\n") + 4
    places = {*range(0, head_bytes, STEP_BYTES), head_bytes - 5, head_bytes - 1}
    if framing is Framing.CHUNKED:
        places |= {head_bytes, head_bytes + 1, head_bytes + 2}
    return [data[:place] for place in sorted(places) if 0 <= place < len(data)]


async def status_of(fleet, daemon, path):
    """Return the status of a whole answer, 0 if it breaks off."""
    try:
        if path == TURNS:
            status, _ = await fleet.turn(daemon, f"p{next(fleet.ids)}")
        else:
            method = "GET" if path == LOOKUPS else "POST"
            status, _, _ = await fleet.call(daemon, f"{path}x", method)
    except ConnectionBroken:
        return 0
    return status


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
@pytest.mark.parametrize("path", [LOOKUPS, POSTS, TURNS])
class TestCutHeads:
    async def start(self, fleet, path, framing):
        answer = RawAnswer(data=whole(path, framing), ending=Ending.NEXT)
        service = "models" if path == TURNS else "desk"
        engine = await fleet.raw_endpoint(answer, service)
        return engine, await fleet.ready_daemon([engine])

    @pytest.mark.parametrize("ending", ENDINGS)
    async def test_no_client_gets_a_success(self, fleet, path, framing, ending):
        engine, daemon = await self.start(fleet, path, framing)
        for data in cuts(path, framing):
            engine.answer = RawAnswer(data=data, ending=ending)
            daemon.application.scheduler.close_breakers()
            assert await status_of(fleet, daemon, path) not in range(200, 300), data

    async def test_not_after_a_whole_answer_on_the_same_connection(
        self, fleet, path, framing
    ):
        engine, daemon = await self.start(fleet, path, framing)
        sound = engine.answer
        for data in cuts(path, framing):
            daemon.application.scheduler.close_breakers()
            engine.answer = sound
            assert await status_of(fleet, daemon, path) == 200
            engine.answer = RawAnswer(data=data)
            assert await status_of(fleet, daemon, path) not in range(200, 300), data

    async def test_a_head_in_many_pieces_is_whole(self, fleet, path, framing):
        engine, daemon = await self.start(fleet, path, framing)
        engine.answer = RawAnswer(
            data=whole(path, framing), ending=Ending.NEXT, piece_bytes=1
        )
        assert await status_of(fleet, daemon, path) == 200

    async def test_no_client_of_a_daemon_without_links_gets_one(
        self, fleet, path, framing
    ):
        """The request goes through a peer."""
        service = "models" if path == TURNS else "desk"
        sound = RawAnswer(data=whole(path, framing), ending=Ending.NEXT)
        engines = [await fleet.raw_endpoint(sound, service) for _ in range(3)]
        for engine, zone in zip(engines, "abc", strict=True):
            fleet.register(engine, service, zone=zone)
        stranded = await fleet.ready_daemon(engines, name="a-1")
        peer = await fleet.ready_daemon(engines, name="b-1", domain="b")
        live = stranded.application.load_exchange.live_peers
        await wait_until(lambda: live)
        LinkFaults(stranded, engines).begin(Cut.REFUSE)
        links = stranded.application.links
        for _ in range(20):
            await status_of(fleet, stranded, path)
            if links.is_lost:
                break
        assert links.is_lost
        assert await status_of(fleet, stranded, path) == 200
        for data in cuts(path, framing)[::4]:
            for engine in engines:
                engine.answer = RawAnswer(data=data)
            peer.application.scheduler.close_breakers()
            status = await status_of(fleet, stranded, path)
            assert status not in range(200, 300), data
