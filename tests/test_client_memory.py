"""Callers that keep to no bound but the legal sizes end no daemon.

Daemons of small machines ran out of memory under large bodies that came at once, or
that stopped short of their ends, and under requests sent ahead.
"""

import contextlib

import pytest

from client_crowds import (
    BODY_BYTES,
    MAX_DESCRIPTORS,
    MEMORY_MEGABYTES,
    PIECE_BYTES,
    Crowd,
    ask,
    head,
    start_small,
    with_length,
)
from eelgrasslock.http.messages import Framing
from eelgrasslock_standins.raw_server import Ending, RawAnswer, frame
from platform_fleet import POSTS, TURNS, PlatformFleet

MAX_BYTES = MEMORY_MEGABYTES * 1_000_000
WHOLE_BODIES = 30
SHORT_BODIES = 40
AHEAD_CONNECTIONS = 16
AHEAD_REQUESTS = 60
AHEAD_BODY_BYTES = 400_000
SLOW_READERS = 300
FILLER_BYTES = 65_536
IDLE_CONNECTIONS = 700
PART_HEADS = 400
PART_HEAD_FIELDS = 40
TURN_BYTES = 17_000
SLOW_SECONDS = 20.0


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


class Scene:
    """A small daemon with endpoints, one kind of which is slow, and a crowd."""

    def __init__(self, fleet, daemon):
        self.fleet = fleet
        self.daemon = daemon
        self.crowd = Crowd(daemon)

    async def check(self):
        """Check the daemon's bounds and an ordinary turn while the crowd stays."""
        peak = self.daemon.peak_bytes()
        descriptors = self.daemon.descriptors()
        status = await self.send_turn()
        print(f"peak {peak / 1e6:.1f} MB, {descriptors} descriptors, turn {status}")
        assert self.daemon.process.returncode is None, self.daemon.log_text()
        assert max(peak, self.daemon.peak_bytes()) < MAX_BYTES
        assert descriptors < MAX_DESCRIPTORS
        assert status == 200

    async def send_turn(self):
        values = {"Program_Id": "p", "Session_Id": "s", "Token_Budget": 9_000}
        values |= {"Token_Usage": "100,220", "Prompt_Prefix": "5c1e:90"}
        body = b"t" * TURN_BYTES
        return await ask(self.fleet, self.daemon, f"{TURNS}x", "POST", body, **values)


@contextlib.asynccontextmanager
async def scene(fleet, folder, work_seconds=0.0, desk=None):
    """Start a scene; the endpoints of posts may be slow or give long answers."""
    model = await fleet.endpoint("models", events=2, event_seconds=0.01)
    fleet.register(model, "models", slots=200)
    if desk is None:
        desk = await fleet.endpoint(work_seconds=work_seconds)
    fleet.register(desk, slots=2_000)
    daemon = await start_small(fleet, folder)
    one = Scene(fleet, daemon)
    assert await one.send_turn() == 200
    try:
        yield one
    finally:
        one.crowd.leave()


class TestLargeBodies:
    async def test_a_single_one_is_served_in_calm(self, fleet, tmp_path):
        async with scene(fleet, tmp_path) as one:
            status, *_ = await fleet.call(
                one.daemon, f"{POSTS}x", "POST", b"b" * BODY_BYTES
            )
            assert status == 200
            await one.check()

    async def test_whole_ones_come_at_once(self, fleet, tmp_path):
        async with scene(fleet, tmp_path, SLOW_SECONDS) as one:
            await one.crowd.come(WHOLE_BODIES, lambda n: [with_length(n, BODY_BYTES)])
            await one.check()

    async def test_those_with_a_length_stop_short(self, fleet, tmp_path):
        async with scene(fleet, tmp_path) as one:
            await one.crowd.come(
                SHORT_BODIES, lambda n: [with_length(n, BODY_BYTES)[:-1]]
            )
            await one.check()

    async def test_those_in_chunks_stop_short(self, fleet, tmp_path):
        async with scene(fleet, tmp_path) as one:
            piece = b"b" * PIECE_BYTES
            chunk = f"{PIECE_BYTES:x}\r\n".encode() + piece + b"\r\n"
            chunks = [chunk] * (BODY_BYTES // PIECE_BYTES - 1)
            await one.crowd.come(
                SHORT_BODIES,
                lambda n: [head(n, "Transfer-Encoding: chunked"), *chunks],
            )
            await one.check()


class TestRequestsAhead:
    async def test_they_wait_unread(self, fleet, tmp_path):
        async with scene(fleet, tmp_path, SLOW_SECONDS) as one:
            numbers = range(AHEAD_REQUESTS)
            await one.crowd.come(
                AHEAD_CONNECTIONS,
                lambda n: [with_length(f"{n}-{i}", AHEAD_BODY_BYTES) for i in numbers],
            )
            await one.check()


class TestSlowReaders:
    async def test_they_take_endless_answers(self, fleet, tmp_path):
        data = frame(b"", Framing.CLOSE, more="Server-Stamp: s\r\n")
        filler = b"a" * FILLER_BYTES
        answer = RawAnswer(data=data, ending=Ending.ENDLESS, filler=filler)
        desk = await fleet.raw_endpoint(answer)
        async with scene(fleet, tmp_path, desk=desk) as one:
            await one.crowd.come(SLOW_READERS, lambda n: [with_length(n, 9)])
            assert len(desk.runs) > SLOW_READERS / 2
            await one.check()


class TestConnections:
    async def test_they_stay_idle(self, fleet, tmp_path):
        async with scene(fleet, tmp_path) as one:
            await one.crowd.come(IDLE_CONNECTIONS, lambda n: [])
            await one.check()

    async def test_they_send_part_of_a_head(self, fleet, tmp_path):
        async with scene(fleet, tmp_path) as one:
            field = b"X-Part: " + b"p" * 8_000 + b"\r\n"
            fields = [field] * PART_HEAD_FIELDS
            await one.crowd.come(
                PART_HEADS,
                lambda n: [head(n, "X: 1").removesuffix(b"\r\n"), *fields],
            )
            await one.check()
