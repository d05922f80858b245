"""A caller that may read its answers slowly."""

import asyncio
import contextlib
import socket
import time

from deployment import CALLER_HOST, HOST

BUFFER_BYTES = 4_096
# As over an Ethernet; loopback would let far more bytes be under way.
SEGMENT_BYTES = 1_460


class Answer:
    """What a caller has got of an answer.

    Attributes
    ----------
    status : int
        The status, 0 without a head.
    body : bytes
        The body without its framing.
    is_complete : bool
        Whether the framing says that the body is complete.
    end : str
        How the connection ended, empty if it did not.
    """

    def __init__(self):
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.end = ""

    def parse(self, data):
        """Take all bytes that have come so far."""
        head, separator, rest = data.partition(b"\r\n\r\n")
        if not separator:
            return
        self.status = int(head.split(b" ")[1])
        lines = [one.partition(b":") for one in head.lower().split(b"\r\n")[1:]]
        headers = {name: value.strip() for name, _, value in lines}
        if b"chunked" in headers.get(b"transfer-encoding", b""):
            self._parse_chunks(rest)
            return
        length = int(headers.get(b"content-length", b"0"))
        self.body = rest[:length]
        self.is_complete = len(rest) >= length

    def _parse_chunks(self, rest):
        parts = []
        while True:
            size, separator, rest = rest.partition(b"\r\n")
            if not separator:
                break
            length = int(size, 16)
            if not length:
                self.is_complete = rest.startswith(b"\r\n")
                break
            parts.append(rest[:length])
            if len(rest) < length + 2:
                break
            rest = rest[length + 2 :]
        self.body = b"".join(parts)

    def __str__(self):
        word = "complete" if self.is_complete else "not complete"
        end = f", connection: {self.end}" if self.end else ""
        return f"status {self.status}, {len(self.body)} bytes of body, {word}{end}"


class Caller:
    """A connection of a caller, which is kept for several requests.

    Parameters
    ----------
    port : int
        The port of the daemon.
    is_slow : bool
        Whether it has a small buffer, as one that reads slowly.
    """

    def __init__(self, port, is_slow):
        self.port = port
        self.is_slow = is_slow
        self.socket = None

    async def ask(
        self, id, path, deadline_seconds, pause_seconds=0.0, body=None, more=""
    ):
        """Send a request, read nothing for a while, then read the answer.

        With a body it is a POST; `more` are further headers, each with its line end.
        """
        loop = asyncio.get_running_loop()
        answer = Answer()
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(deadline_seconds):
                if self.socket is None:
                    await self._connect()
                method = "GET" if body is None else "POST"
                length = "" if body is None else f"Content-Length: {len(body)}\r\n"
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
                    f"Request-Id: {id}\r\n{length}{more}"
                    f"Deadline-Ms: {int(1_000 * deadline_seconds)}\r\n\r\n"
                )
                await loop.sock_sendall(self.socket, head.encode() + (body or b""))
                await asyncio.sleep(began_at + pause_seconds - time.monotonic())
                data = b""
                while not answer.is_complete:
                    part = await loop.sock_recv(self.socket, 65_536)
                    if not part:
                        answer.end = "closed"
                        break
                    data += part
                    answer.parse(data)
        except TimeoutError:
            answer.end = "left at its deadline"
        except OSError as error:
            answer.end = type(error).__name__
        return answer

    async def _connect(self):
        one = socket.socket()
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        if self.is_slow:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        one.setblocking(False)
        self.socket = one
        address = (HOST, self.port)
        await asyncio.get_running_loop().sock_connect(one, address)

    def close(self):
        """Close the connection."""
        if self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.close()
