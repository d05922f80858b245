"""What links and heartbeats between daemons that serve routes cost."""

import time

import capnp
import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_connection import PeerConnection
from eelgrasslock.peers.peer_server import PeerServer
from eelgrasslock.scheduling.calls import PeerLoad

LINKS = 50
ENGINES = 22
BEATS = 500


@pytest.fixture
async def address():
    async with capnp.kj_loop():
        callbacks = PeerCallbacks()
        callbacks.answer_heartbeat = lambda beat: beat
        server = PeerServer([], lambda: "server", callbacks, SystemClock())
        yield await server.start("127.0.0.1:0")
        await server.stop()


class TestFigures:
    """Printed with `pytest -s`; nothing here depends on how long it takes."""

    async def test_links_and_heartbeats(self, address):
        began = time.process_time()
        links = [
            await PeerConnection.connect(
                address, "server", f"peer-{number}", [], SystemClock()
            )
            for number in range(LINKS)
        ]
        connected = time.process_time()
        load = PeerLoad(
            incarnation="peer", in_flight={f"i-{n}": 2 for n in range(ENGINES)}
        )
        for number in range(BEATS):
            answer = await links[number % LINKS].heartbeat(Heartbeat(load=load), 5.0)
        ended = time.process_time()
        assert answer.load.in_flight == load.in_flight
        for link in links:
            link.close()
        print(f"\nlink: {(connected - began) / LINKS * 1_000:.2f} ms, both sides")
        print(f"heartbeat: {(ended - connected) / BEATS * 1_000:.2f} ms, both sides")
