"""A bare HTTP/1.1 server for stand-ins that send what a proper one can't."""

import asyncio
import socket
import struct
import time

from attrs import define, field


@define(kw_only=True)
class Run:
    """A request that the endpoint received.

    Attributes
    ----------
    method, target : str
        The request line.
    headers : dict of str to str
        By lower-case name.
    body : bytes
        The body.
    ran : bool
        Whether work began.
    finished : bool
        Whether it was answered to the end.
    arrived_at : float
        When its head was read, on the monotonic clock, in seconds.
    event_times : list of float
        When each event was written, on the monotonic clock, in seconds.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    ran: bool = False
    finished: bool = False
    arrived_at: float = field(factory=time.monotonic)
    event_times: list[float] = field(factory=list)

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get("request-id", "")


@define(eq=False, kw_only=True)
class BareServer:
    """Reads requests; what it answers is up to the classes that extend it.

    Attributes
    ----------
    id : str
        The id of the endpoint that it stands in for.
    runs : list of Run
        The requests received.
    connections : int
        The number of connections accepted.
    address : str
        Its ``ip:port`` once it is started.
    """

    id: str = ""
    runs: list[Run] = field(factory=list)
    connections: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def start(self) -> None:
        """Listen on a free port, or again on the one that it had."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop, and reset all connections."""
        self.close()
        for writer in list(self._writers):
            reset(writer)

    def close(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    @property
    def busy(self) -> bool:
        """Whether a caller is connected."""
        return bool(self._writers)

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether another one may follow."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, where a mere close would end it properly."""
    connected = writer.get_extra_info("socket")
    if connected is not None and not writer.is_closing():
        linger = struct.pack("ii", 1, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Run:
    """Return a request with its body."""
    run = await read_head(reader)
    await read_body(reader, run)
    return run


async def read_head(reader: asyncio.StreamReader) -> Run:
    """Return a request without its body."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = [line.partition(":") for line in lines]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Run(method=method, target=target, headers=headers)


async def read_body(reader: asyncio.StreamReader, run: Run) -> None:
    """Read the body of a request."""
    run.body = await reader.readexactly(int(run.headers.get("content-length", "0")))
