"""CPU time of connections and heartbeats between daemons that serve routes."""

import time

import capnp
import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_connection import PeerConnection
from eelgrasslock.peers.peer_server import PeerServer
from eelgrasslock.scheduling.calls import PeerLoad

CONNECTIONS = 50
ENGINES = 22
HEARTBEATS = 500


@pytest.fixture
async def address():
    async with capnp.kj_loop():
        callbacks = PeerCallbacks()
        callbacks.answer_heartbeat = lambda heartbeat: heartbeat
        server = PeerServer([], lambda: "server", callbacks, SystemClock())
        yield await server.start("127.0.0.1:0")
        await server.stop()


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
