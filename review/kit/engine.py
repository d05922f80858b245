"""A sound engine: runs requests, streams events, turns away what is not for it."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable

Note = Callable[..., None]
TOKENS_PER_EVENT = 22


class Engine:
    """One incarnation of an engine on a loopback address.

    Parameters
    ----------
    id : str
        Its id.
    note : callable
        Writes what ran to the record.
    events : int
        The events of a stream; 0 for plain answers.
    event_seconds : float
        The pause before each event.
    work_seconds : float
        How long a plain answer takes.
    slots : int
        How many requests it runs at once; others wait.
    first_seconds : float
        How long it reads a prompt before the first event; a stream runs from then on.
    drops : bool
        Whether it drops a stream whose connection closes, as most engines do.
    """

    def __init__(
        self,
        id: str,
        note: Note,
        events: int = 0,
        event_seconds: float = 0.01,
        work_seconds: float = 0.02,
        slots: int = 12,
        first_seconds: float = 0.0,
        drops: bool = True,
    ) -> None:
        self.id = id
        self.note = note
        self.events = events
        self.event_seconds = event_seconds
        self.work_seconds = work_seconds
        self.first_seconds = first_seconds
        self.drops = drops
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.runs: list[str] = []
        self.address = ""
        self.born = int(time.time() * 1_000)
        self.stamps = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Take no more connections, and end those that there are."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
        id = headers.get("request-id", "")
        echo = f"Request-Id: {id}\r\n"
        if headers.get("expect-instance", self.id) != self.id:
            more = f"{echo}Instance-Id: {self.id}\r\nNot-Run: 1\r\n"
            writer.write(_plain(421, more, b""))
            return True
        deadline = time.monotonic() + int(headers["deadline-ms"]) / 1_000
        gone = asyncio.ensure_future(reader.read(1))
        try:
            async with self.slots:
                first_at = time.monotonic() + self.first_seconds
                await asyncio.wait({gone}, timeout=self.first_seconds)
                if gone.done() and self.drops:
                    self.note("drops unrun", engine=self.id, request=id)
                    return False
                await asyncio.sleep(max(0.0, first_at - time.monotonic()))
                if time.monotonic() > deadline:
                    self.note("ends unrun", engine=self.id, request=id)
                    return False
                self.runs.append(id)
                self.note("runs", engine=self.id, request=id, line=first, body=body)
                return await self._run(id, echo, headers, deadline, gone, writer)
        finally:
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone

    async def _run(
        self,
        id: str,
        echo: str,
        headers: dict[str, str],
        deadline: float,
        gone: "asyncio.Future[bytes]",
        writer: asyncio.StreamWriter,
    ) -> bool:
        stamp = f"Server-Stamp: {self.id}.{next(self.stamps)}\r\n"
        if not self.events:
            await asyncio.wait({gone}, timeout=self.work_seconds)
            if gone.done():
                self.note("ends early", engine=self.id, request=id)
                return False
            writer.write(_plain(200, echo + stamp, f"answer to {id}".encode()))
            return True
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}{stamp}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        start = int(headers.get("last-event-id", "0")) + 1
        for number in range(start, self.events + 1):
            await asyncio.wait({gone}, timeout=self.event_seconds)
            if (gone.done() and self.drops) or time.monotonic() > deadline:
                self.note("ends early", engine=self.id, request=id, events=number - 1)
                return False
            event = f"id: {number}\ndata: {id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.note("ends", engine=self.id, request=id, events=self.events)
        return True


def _plain(status: int, more: str, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status} Status\r\n{more}Keep-Alive: timeout=5\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
