"""A peer that sends no answer, or a part of one, is a lost connection in time."""

import asyncio
import resource
import time

import capnp
import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.peers.peer_connection import ConnectionLost, PeerConnection
from hold_ups import running_seconds

MAX_SECONDS = 2.0
WRITE_BYTES = 65_536
MAX_ADDED_KILOBYTES = 262_144


@pytest.fixture
async def serve():
    """Give a function that starts a server which sends bytes and then ends."""
    servers = []

    async def start(data, endless, reset):
        async def talk(reader, writer):
            try:
                writer.write(data)
                await writer.drain()
                while endless:
                    writer.write(data * (WRITE_BYTES // len(data)))
                    await writer.drain()
                    await asyncio.sleep(0)
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                if reset:
                    writer.transport.abort()
                writer.close()

        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async with capnp.kj_loop():
        yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize("endless", [False, True])
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\x00" * 4_096, id="empty messages"),
        pytest.param(b"\xff" * 4_096, id="huge lengths"),
        pytest.param(b"\x00\x00\x00\x00\x00\x10\x00\x00", id="part of a message"),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\n" * 99, id="HTTP"),
    ],
)
async def test_no_answer_is_a_lost_connection(serve, data, endless, reset):
    address = await serve(data, endless, reset)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started = time.monotonic()
    with pytest.raises(ConnectionLost):
        await PeerConnection.connect(address, "", "own", [], SystemClock())
    assert running_seconds(started) < MAX_SECONDS
    added = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    assert added < MAX_ADDED_KILOBYTES
