"""CPU time of connections and heartbeats between daemons that serve routes."""

import time
import tracemalloc

import capnp
import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.conversations.history_finder import HistoryFinder
from eelgrasslock.conversations.turn import Turn, TurnLink
from eelgrasslock.conversations.turn_cache import TurnCache
from eelgrasslock.conversations.turn_codec import encode_turn
from eelgrasslock.conversations.turn_directory import TurnDirectory
from eelgrasslock.conversations.turn_index import TurnIndex, TurnPlace
from eelgrasslock.conversations.turn_log import TurnLog
from eelgrasslock.conversations.turn_messages import (
    ask_place,
    fetch_turns,
    tell_place,
)
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_connection import PeerConnection
from eelgrasslock.peers.peer_server import PeerServer
from eelgrasslock.scheduling.calls import PeerLoad
from eelgrasslock.streams.stream_controller import StreamController
from eelgrasslock.streams.stream_messages import ask_origin, tell_origins
from eelgrasslock.streams.stream_table import StreamOrigin, StreamTable
from eelgrasslock.streams.version_watch import VersionWatch

CONNECTIONS = 50
ENGINES = 22
HEARTBEATS = 500
ORIGINS = 2_000
TURNS = 1_000
MAX_CACHE_BYTES = 100_000
LINK = TurnLink(id="r1", offset=7, size=19_000, stored_at=1_000.0)
TURN = Turn(
    id="r1",
    parent="",
    endpoint="e",
    ended_at=1_000.0,
    input=b"x" * 17_000,
    output=b"y" * 1_600,
)


@pytest.fixture
async def address():
    async with capnp.kj_loop():
        callbacks = PeerCallbacks()
        callbacks.answer_heartbeat = lambda heartbeat: heartbeat
        clock = SystemClock()
        watch = VersionWatch(clock, lambda: True)
        controller = StreamController(None, None, watch, None, clock)
        callbacks.tell_streams = controller.serve_tell
        callbacks.find_stream = controller.serve_find
        finder = HistoryFinder(None, TurnCache(MAX_CACHE_BYTES), clock)
        finder.cache.put(TURN, LINK, 0.0)
        directory = TurnDirectory(None, None, TurnLog(None, 12), clock)
        callbacks.tell_turns = directory.serve_tell
        callbacks.find_turn = directory.serve_find
        callbacks.fetch_turns = finder.serve_fetch
        server = PeerServer([], lambda: "server", callbacks, SystemClock())
        yield await server.start("127.0.0.1:0")
        await server.stop()


class CountingMesh:
    """Makes calls over one connection."""

    def __init__(self, connection):
        self.connection = connection

    async def call(self, entry, send, timeout_seconds=5.0):
        return await self.connection.call(send, 5.0)


class TestFigures:
    """Figures that `pytest -s` prints; no check depends on them."""

    async def test_links_and_heartbeats(self, address):
        began = time.process_time()
        connections = [
            await PeerConnection.connect(
                address, "server", f"peer-{number}", [], SystemClock()
            )
            for number in range(CONNECTIONS)
        ]
        connected = time.process_time()
        load = PeerLoad(
            incarnation="peer", in_flight={f"i-{n}": 2 for n in range(ENGINES)}
        )
        for number in range(HEARTBEATS):
            answer = await connections[number % CONNECTIONS].heartbeat(
                Heartbeat(load=load), 5.0
            )
        ended = time.process_time()
        assert answer.load.in_flight == load.in_flight
        for connection in connections:
            connection.close()
        print(f"\nlink: {(connected - began) / CONNECTIONS * 1_000:.2f} ms, both sides")
        print(
            f"heartbeat: {(ended - connected) / HEARTBEATS * 1_000:.2f} ms, both sides"
        )

    async def test_origins_of_streams(self, address):
        connection = await PeerConnection.connect(
            address, "server", "peer", [], SystemClock()
        )
        mesh = CountingMesh(connection)
        began, began_at = time.process_time(), time.monotonic()
        for number in range(ORIGINS):
            origin = StreamOrigin(
                key=2**63 + number, service="lm-pool", version="v1.1", expires_at=12.0
            )
            await tell_origins(mesh, None, [origin], 0.0)
        seconds = time.process_time() - began
        waited = time.monotonic() - began_at
        found = await ask_origin(mesh, None, 2**63, "lm-pool")
        assert found.version == "v1.1"
        tracemalloc.start()
        table = StreamTable()
        for number in range(ORIGINS):
            table.put(
                StreamOrigin(
                    key=2**63 + number, service="s", version="v", expires_at=1.0
                ),
                0.0,
            )
        size = tracemalloc.get_traced_memory()[0] / ORIGINS
        tracemalloc.stop()
        connection.close()
        print(f"\norigin told: {seconds / ORIGINS * 1_000:.2f} ms, both sides")
        print(f"until it is known: {waited / ORIGINS * 1_000:.2f} ms on one machine")
        print(f"origin kept: {size:.0f} bytes")

    async def test_turns_of_conversations(self, address):
        connection = await PeerConnection.connect(
            address, "server", "peer", [], SystemClock()
        )
        mesh = CountingMesh(connection)
        tell = ask = fetch = 0.0
        for number in range(TURNS):
            place = make_place(number)
            began = time.process_time()
            await tell_place(mesh, None, [place], 0.0)
            told = time.process_time()
            found = await ask_place(mesh, None, number, False, 0.0)
            asked = time.process_time()
            fetched = await fetch_turns(mesh, None, ["r1"])
            fetch += time.process_time() - asked
            ask += asked - told
            tell += told - began
            assert found.place.offset == place.offset
            assert fetched == [(TURN, LINK)]
        began = time.process_time()
        for _ in range(TURNS):
            encode_turn(TURN)
        encode = time.process_time() - began
        tracemalloc.start()
        index = TurnIndex()
        for number in range(TURNS):
            index.put(make_place(number))
        size = tracemalloc.get_traced_memory()[0] / TURNS
        tracemalloc.stop()
        connection.close()
        print(f"\nturn told: {tell / TURNS * 1_000:.2f} ms, both sides")
        print(f"turn asked for: {ask / TURNS * 1_000:.2f} ms, both sides")
        print(f"turn of 18.6 KB fetched: {fetch / TURNS * 1_000:.2f} ms, both sides")
        print(f"turn encoded: {encode / TURNS * 1_000:.3f} ms")
        print(f"place kept: {size:.0f} bytes")


def make_place(number):
    return TurnPlace(
        key=number,
        offset=2**40 + number,
        size=19_000 + number,
        holder=f"edge-a-{number % 7}-0123456789ab",
        stored_at=float(number),
    )
