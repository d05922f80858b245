"""Crowds of callers that cost a daemon memory and descriptors, and an ordinary one."""

import asyncio
import contextlib
import json
import pathlib
import socket

from builds import THIS_BUILD, BuildDaemon
from platform_fleet import POSTS, configuration

BODY_BYTES = 4_194_304
PIECE_BYTES = 65_536
CALLER_BUFFER_BYTES = 4_096
MEMORY_MEGABYTES = 128
MAX_DESCRIPTORS = 600
SETTLE_SECONDS = 3.0
SEND_SECONDS = 20.0
DEADLINE_MILLISECONDS = 60_000
_ENDPOINT_CONNECTIONS = 2_000


def knows(source, setting):
    """Return whether a build has a setting; others reject what they don't know."""
    text = (source / "eelgrasslock" / "gateway" / "settings.py").read_text()
    return f"{setting}:" in text


class SmallDaemon(BuildDaemon):
    """A daemon that is told of a small machine, as far as its build knows one."""

    def settings(self):
        text = super().settings()
        for name, value in (
            ("memory_megabytes", MEMORY_MEGABYTES),
            ("max_descriptors", MAX_DESCRIPTORS),
        ):
            if knows(THIS_BUILD, name):
                text += f"{name}: {value}\n"
        return text

    @property
    def proc(self):
        return pathlib.Path(f"/proc/{self.process.pid}")

    def peak_bytes(self):
        """Return the most memory that the process has had."""
        lines = (self.proc / "status").read_text().splitlines()
        (line,) = [one for one in lines if one.startswith("VmHWM:")]
        return int(line.split()[1]) * 1_024

    def descriptors(self):
        """Return the number of its open descriptors."""
        return len(list((self.proc / "fd").iterdir()))


async def start_small(fleet, folder):
    """Return a daemon whose configuration allows large bodies."""
    document = configuration(limits={"maxBodyBytes": BODY_BYTES})
    for service in document["services"]:
        service["maxConns"] = _ENDPOINT_CONNECTIONS
    fleet.configure_raw(json.dumps(document).encode())
    daemon = SmallDaemon(fleet, folder, "a-1", "a")
    await daemon.open_door()
    fleet.stack.push_async_callback(daemon.kill)
    await daemon.start(THIS_BUILD, is_first_start=True)
    return daemon


def head(number, framing):
    """Return the head of a request."""
    return (
        f"POST {POSTS}x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: q{number}\r\n"
        f"Deadline-Ms: {DEADLINE_MILLISECONDS}\r\n{framing}\r\n\r\n"
    ).encode()


def with_length(number, size):
    """Return a request whose body has a length; no two bodies are the same.

    Copies of a request that may crash endpoints are not run side by side.
    """
    body = str(number).encode().ljust(size, b" ")
    return head(number, f"Content-Length: {size}") + body


class Crowd:
    """Connections that send bytes and read none.

    Attributes
    ----------
    sockets : list of socket.socket
        The connections, in the order of their opening.
    """

    def __init__(self, daemon):
        self.address = daemon.front_address.rpartition(":")
        self.sockets = []
        self.sending = []

    async def connect(self):
        host, _, port = self.address
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        one.setblocking(False)
        self.sockets.append(one)
        with contextlib.suppress(ConnectionError):
            await asyncio.get_running_loop().sock_connect(one, (host, int(port)))
        return one

    async def send(self, parts):
        """Send parts on a new connection, until all are sent or it is closed."""
        one = await self.connect()
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            for part in parts:
                await loop.sock_sendall(one, part)

    async def come(self, count, parts):
        """Let some callers send at once, and wait until they are done or stuck.

        Each sends the parts that are made of its number.
        """
        self.sending = [
            asyncio.create_task(self.send(parts(number))) for number in range(count)
        ]
        await asyncio.wait(self.sending, timeout=SEND_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)

    def leave(self):
        for one in self.sending:
            one.cancel()
        for one in self.sockets:
            one.close()


async def ask(fleet, daemon, path, method="GET", body=b"", **headers):
    """Return the status of an ordinary request, which is sent again if refused."""
    status = 0
    for _ in range(5):
        status, *_ = await fleet.call(daemon, path, method, body, **headers)
        if status not in (429, 503):
            break
        await asyncio.sleep(0.5)
    return status
