"""The stand-in for an endpoint of the platform, which can answer wrongly.

It is a bare HTTP/1.1 server, since a proper one can't send what is no answer.
"""

import asyncio
import enum
import time
from collections import deque

from attrs import define, field

from eelgrasslock_standins.bare_server import (
    BareServer,
    Run,
    read_body,
    read_head,
    reset,
)

EVENT_TOKENS = 22
HEALTH_PATH = "/healthz"
_RESET_SECONDS = 0.05
_CHUNK_END = b"0\r\n\r\n"
_CHUNKED_HEAD = "Transfer-Encoding: chunked\r\n"


class Fault(enum.Enum):
    """What an endpoint does with one request."""

    NONE = "none"
    FULL = "full"
    FULL_COPIED = "full_copied"
    FULL_COPIED_BARE = "full_copied_bare"
    ERROR = "error"
    SILENT = "silent"
    RESET_BEFORE = "reset_before"
    LOST = "lost"
    TRUNCATED = "truncated"
    EXTRA = "extra"
    LATE = "late"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    UNFRAMED_CUT = "unframed_cut"
    UNFRAMED_ENDED = "unframed_ended"
    GARBAGE = "garbage"
    ENCODED = "encoded"
    UNSIGNED = "unsigned"
    EARLY = "early"


@define(eq=False, kw_only=True)
class PlatformEngineStandin(BareServer):
    """One endpoint, which turns away a request that expects another one.

    What it is told to do with requests does not concern questions for its health.

    Attributes
    ----------
    events : int
        How many events a stream has; 0 for a plain answer.
    event_format : str
        The bytes of an event, with the fields `number` and `id`.
    chunk_bytes : int
        The length of the chunks in which events are sent, 0 for one chunk an event.
    first_seconds : float
        The pause before the head of a stream, in which the prompt is read.
    event_seconds : float
        The pause before each event.
    work_seconds : float
        How long a plain answer takes.
    body_seconds : float
        The pause inside the body of a plain answer without a length.
    load : str
        What it says of its load with each answer, empty for nothing.
    limit : str
        The requests a second that it names with each answer, empty for nothing.
    leaving : str
        What it says of its leaving with each answer, empty for nothing.
    crashes_on : bytes
        A body that ends the endpoint, empty for none.
    crashes_on_target : str
        A target that ends the endpoint, empty for none.
    crash_seconds : float
        How long such a request runs before the end.
    crashes_silently : bool
        Whether its connections then stay open without a word, as after a loss of
        power, in place of being reset.
    keeps_port : bool
        Whether it then still takes connections, as a process that stands still.
    crashed_at : list of float
        When it ended so, on the monotonic clock, in seconds.
    faults : deque of Fault
        One is used up by each request.
    usual_fault : Fault
        What it does with requests after those.
    copies : dict of StreamWriter to bytes
        Refusals that are sent once more when the next request comes.
    silent : set of StreamWriter
        Connections from before a silent end, on which nothing is sent any more.
    """

    events: int = 0
    event_format: str = "id: {number}\ndata: {id}\n\n"
    chunk_bytes: int = 0
    first_seconds: float = 0.0
    event_seconds: float = 0.0
    work_seconds: float = 0.0
    body_seconds: float = 0.0
    load: str = ""
    limit: str = ""
    leaving: str = ""
    crashes_on: bytes = b""
    crashes_on_target: str = ""
    crash_seconds: float = 0.0
    crashes_silently: bool = False
    keeps_port: bool = False
    crashed_at: list[float] = field(factory=list)
    faults: deque[Fault] = field(factory=deque)
    usual_fault: Fault = Fault.NONE
    late: bytes = b""
    copies: dict[asyncio.StreamWriter, bytes] = field(factory=dict)
    silent: set[asyncio.StreamWriter] = field(factory=set)

    def ids(self) -> list[str]:
        """Return the ids of the requests that ran."""
        return [run.id for run in self.runs if run.ran]

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether another one may follow."""
        run = await read_head(reader)
        if writer in self.silent or (self.keeps_port and self.crashed_at):
            return await _ignore(reader)
        if run.target == HEALTH_PATH:
            writer.write(_whole(run, 200, b"", f"Instance-Id: {self.id}\r\n"))
            return True
        if copy := self.copies.pop(writer, b""):
            writer.write(copy)
        fault = self.faults.popleft() if self.faults else self.usual_fault
        self.runs.append(run)
        if fault is not Fault.EARLY:
            await read_body(reader, run)
        expected = run.headers.get("expect-instance", self.id)
        if expected != self.id:
            writer.write(_whole(run, 421, b"", f"Instance-Id: {self.id}\r\n"))
            return True
        return await self._answer(run, fault, reader, writer)

    async def _answer(
        self,
        run: Run,
        fault: Fault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if fault in _FULL:
            refusal = _whole(run, 503, b"", f"Not-Run: 1\r\n{self._leaving()}")
            if fault is Fault.FULL_COPIED_BARE:
                refusal = refusal.replace(f"Request-Id: {run.id}\r\n".encode(), b"")
            writer.write(refusal)
            if fault is not Fault.FULL:
                self.copies[writer] = refusal
            return True
        if fault is Fault.RESET_BEFORE:
            reset(writer)
            return False
        run.ran = True
        if self._is_crashed_by(run):
            return await self._crash(reader)
        if fault is Fault.SILENT:
            return await _ignore(reader)
        if fault is Fault.EARLY:
            writer.write(_whole(run, 413, b"too long", self._stamp()))
            await read_body(reader, run)
            return True
        if fault is Fault.LOST:
            reset(writer)
            return False
        if fault is Fault.ERROR:
            writer.write(_whole(run, 500, b"failed", self._stamp()))
            return True
        if self.events:
            return await self._stream(run, fault, reader, writer)
        await asyncio.sleep(self.work_seconds)
        return await self._plain(run, fault, writer)

    async def _crash(self, reader: asyncio.StreamReader) -> bool:
        await asyncio.sleep(self.crash_seconds)
        self.crashed_at.append(time.monotonic())
        if not self.crashes_silently:
            await self.stop()
            return False
        if not self.keeps_port:
            self.close()
        self.silent |= self._writers
        return await _ignore(reader)

    def _is_crashed_by(self, run: Run) -> bool:
        if self.crashes_on and run.body == self.crashes_on:
            return True
        return run.target == self.crashes_on_target

    async def _plain(
        self, run: Run, fault: Fault, writer: asyncio.StreamWriter
    ) -> bool:
        body = f"answer to {run.id}".encode()
        stamp = self._stamp()
        if fault is Fault.UNSIGNED:
            stamp = ""
        if fault is Fault.ENCODED:
            stamp += "Content-Encoding: gzip\r\n"
        whole = _whole(run, 200, body, stamp)
        if fault is Fault.GARBAGE:
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")
            return False
        if fault is Fault.TRUNCATED:
            writer.write(whole[:-3])
            return False
        if fault in _UNFRAMED:
            return await self._unframed(run, fault, body, writer)
        before, self.late = self.late, b""
        writer.write(before + whole)
        if fault is Fault.EXTRA:
            writer.write(whole)
        if fault is Fault.LATE:
            self.late = whole
        run.finished = True
        return True

    async def _unframed(
        self, run: Run, fault: Fault, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {run.id}\r\n{self._stamp()}\r\n"
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_ENDED):
            writer.write(head.encode() + body[:5])
            await asyncio.sleep(self.body_seconds)
            writer.write(body[5:])
        else:
            writer.write(head.encode() + body[:5])
            asyncio.get_running_loop().call_later(_RESET_SECONDS, reset, writer)
            return True
        return False

    async def _stream(
        self,
        run: Run,
        fault: Fault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(self.first_seconds)
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {run.id}\r\n{self._stamp()}"
            "Content-Type: text/event-stream\r\n"
            f"{'' if fault in _UNFRAMED else _CHUNKED_HEAD}\r\n"
        )
        writer.write(head.encode())
        gone = asyncio.ensure_future(reader.read(1))
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.wait({gone}, timeout=self.event_seconds)
            if gone.done():
                return False
            if fault is Fault.TRUNCATED and number > self.events // 2:
                gone.cancel()
                return False
            if fault is Fault.UNFRAMED_ENDED and number > self.events // 2:
                gone.cancel()
                return False
            event = self.event_format.format(number=number, id=run.id).encode()
            if fault in _CUT_INSIDE and number > self.events // 2:
                writer.write(event[:-1])
                gone.cancel()
                return self._end_inside(fault, writer)
            run.event_times.append(time.monotonic())
            self._send_event(writer, event, fault)
        if fault not in _UNFRAMED:
            writer.write(_CHUNK_END)
        gone.cancel()
        run.finished = True
        return False

    def _send_event(
        self, writer: asyncio.StreamWriter, event: bytes, fault: Fault
    ) -> None:
        if fault in _UNFRAMED:
            writer.write(event)
            return
        size = self.chunk_bytes or len(event)
        for start in range(0, len(event), size):
            writer.write(_chunk(event[start : start + size]))

    def _end_inside(self, fault: Fault, writer: asyncio.StreamWriter) -> bool:
        if fault is Fault.UNFRAMED_CUT:
            return False
        asyncio.get_running_loop().call_later(_RESET_SECONDS, reset, writer)
        return True

    def _stamp(self) -> str:
        load = f"Server-Load: {self.load}\r\n" if self.load else ""
        limit = f"Server-Limit: {self.limit}\r\n" if self.limit else ""
        return f"Server-Stamp: {self.id}.stamp\r\n{load}{limit}{self._leaving()}"

    def _leaving(self) -> str:
        return f"Server-Leaving: {self.leaving}\r\n" if self.leaving else ""


_FULL = frozenset({Fault.FULL, Fault.FULL_COPIED, Fault.FULL_COPIED_BARE})
_CUT_INSIDE = frozenset({Fault.UNFRAMED_RESET, Fault.UNFRAMED_CUT})
_UNFRAMED = _CUT_INSIDE | {Fault.UNFRAMED, Fault.UNFRAMED_ENDED}


async def _ignore(reader: asyncio.StreamReader) -> bool:
    """Read what a caller sends until it leaves."""
    while await reader.read(1_024):
        pass
    return False


def _whole(run: Run, status: int, body: bytes, more: str) -> bytes:
    head = (
        f"HTTP/1.1 {status} Status\r\nRequest-Id: {run.id}\r\n{more}"
        f"Keep-Alive: timeout=5\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
