"""Callers that do not read cost a daemon a bounded memory each, however many come.

A machine kept all the bytes that a faulty engine sent, and ran out of memory.
"""

import asyncio
import pathlib
import socket

import pytest

from builds import THIS_BUILD
from eelgrasslock.http.messages import Framing
from eelgrasslock_standins.raw_server import Ending, RawAnswer, frame
from platform_fleet import POSTS, TURNS, PlatformFleet
from test_upgrades import start_daemons

CALLERS = 150
CALLER_BUFFER_BYTES = 4_096
FILLER = b"data: " + b"a" * 4_088 + b"\n\n"
# The connection to the endpoint stops reading at 128 KiB, after one read of up to
# 256 KiB; the one to the caller holds 64 KiB, and a part as large as a read.
MAX_BYTES_A_CALLER = 786_432
DEADLINE_MILLISECONDS = 3_000
READING_SECONDS = 2.0


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


class SlowCallers:
    """Callers that send a request and read nothing."""

    def __init__(self, fleet, daemon):
        self.fleet = fleet
        self.address = daemon.front_address.rpartition(":")
        self.sockets = []

    async def send(self, path, number):
        host, _, port = self.address
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        one.setblocking(False)
        self.sockets.append(one)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(one, (host, int(port)))
        head = (
            f"POST {path}x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: q{number}\r\n"
            f"Deadline-Ms: {DEADLINE_MILLISECONDS}\r\nProgram-Id: p{number}\r\n"
            "Session-Id: s\r\nToken-Budget: 9000\r\nToken-Usage: 100,220\r\n"
            "Prompt-Prefix: 5c1e:9\r\nContent-Length: 1\r\n\r\nx"
        )
        await loop.sock_sendall(one, head.encode())

    def close(self):
        for one in self.sockets:
            one.close()


def peak_bytes(daemon):
    """Return the most memory that the daemon's process has had."""
    status = pathlib.Path(f"/proc/{daemon.process.pid}/status").read_text()
    (line,) = [one for one in status.splitlines() if one.startswith("VmHWM:")]
    return int(line.split()[1]) * 1_024


class TestManySlowCallers:
    @pytest.mark.parametrize("path", [POSTS, TURNS])
    @pytest.mark.parametrize("framing", [Framing.CLOSE, Framing.CHUNKED])
    async def test_each_takes_a_bounded_memory(self, fleet, tmp_path, path, framing):
        head = frame(b"", framing, more="Server-Stamp: s\r\n")
        head = head.removesuffix(b"0\r\n\r\n")
        size = f"{len(FILLER):x}\r\n".encode()
        is_chunked = framing is Framing.CHUNKED
        filler = size + FILLER + b"\r\n" if is_chunked else FILLER
        service = "models" if path == TURNS else "desk"
        answer = RawAnswer(data=head, ending=Ending.ENDLESS, filler=filler)
        engine = await fleet.raw_endpoint(answer, service)
        fleet.register(engine, service, slots=2 * CALLERS)
        daemon, *_ = await start_daemons(fleet, tmp_path, THIS_BUILD)
        before = peak_bytes(daemon)
        callers = SlowCallers(fleet, daemon)
        await asyncio.gather(*(callers.send(path, n) for n in range(CALLERS)))
        await asyncio.sleep(READING_SECONDS)
        taken = (peak_bytes(daemon) - before) / CALLERS
        callers.close()
        assert len(engine.runs) > CALLERS / 2
        assert taken < MAX_BYTES_A_CALLER
        assert daemon.process.returncode is None
