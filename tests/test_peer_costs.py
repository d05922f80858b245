"""CPU time of connections and heartbeats between daemons that serve routes."""

import time
import tracemalloc

import capnp
import pytest

from eelgrasslock.clock import SystemClock
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


@pytest.fixture
async def address():
    async with capnp.kj_loop():
        callbacks = PeerCallbacks()
        callbacks.answer_heartbeat = lambda heartbeat: heartbeat
        clock = SystemClock()
        watch = VersionWatch(clock, lambda: True)
        controller = StreamController(None, None, watch, clock)
        callbacks.tell_streams = controller.serve_tell
        callbacks.find_stream = controller.serve_find
        server = PeerServer([], lambda: "server", callbacks, SystemClock())
        yield await server.start("127.0.0.1:0")
        await server.stop()


class CountingMesh:
    """Makes calls over one connection."""

    def __init__(self, connection):
        self.connection = connection

    async def call(self, entry, send):
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
