"""A stand-in that sends given bytes and ends its connections in given ways.

It plays what a proper HTTP server can't: answers that break off, end in a way that
hides it, or never end.
"""

import asyncio
import enum
from collections import deque

from attrs import define, field, frozen

from eelgrasslock.http.messages import Framing
from eelgrasslock_standins.bare_server import BareServer, read_request, reset

_RESET_DELAY_SECONDS = 0.05
_PIECE_SECONDS = 0.001
_LAST_CHUNK = b"0\r\n\r\n"


class Ending(enum.Enum):
    """What follows the bytes of an answer.

    Attributes
    ----------
    FIN
        The connection is closed.
    HALF_CLOSE
        No more bytes are sent, but the caller's are still read.
    RESET
        The connection is reset.
    SILENCE
        Nothing, until the caller closes.
    NEXT
        The next request is read.
    ENDLESS
        The filler, again and again, until the caller closes.
    """

    FIN = "fin"
    HALF_CLOSE = "half_close"
    RESET = "reset"
    SILENCE = "silence"
    NEXT = "next"
    ENDLESS = "endless"


@frozen(kw_only=True)
class RawAnswer:
    """The bytes of an answer and the end of its connection.

    Attributes
    ----------
    data : bytes
        The bytes; ``{id}`` stands for the id of the request.
    ending : Ending
        What follows them.
    filler : bytes
        What is repeated by `Ending.ENDLESS`.
    piece_bytes : int
        The length of the pieces in which the bytes are sent, 0 for all at once.
    """

    data: bytes
    ending: Ending = Ending.FIN
    filler: bytes = b""
    piece_bytes: int = 0


@define(eq=False, kw_only=True)
class RawServer(BareServer):
    """Gives the same answer to each request, after those that are queued.

    Attributes
    ----------
    answer : RawAnswer
        The answer.
    queued : deque of RawAnswer
        Answers that come first, one for each request.
    sent_bytes : int
        The number of bytes sent.
    """

    answer: RawAnswer
    queued: deque[RawAnswer] = field(factory=deque)
    sent_bytes: int = 0

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether another one may follow."""
        run = await read_request(reader)
        run.ran = True
        self.runs.append(run)
        answer = self.queued.popleft() if self.queued else self.answer
        data = answer.data.replace(b"{id}", run.id.encode())
        size = answer.piece_bytes or len(data) or 1
        for start in range(0, len(data), size):
            await self._write(writer, data[start : start + size])
            if answer.piece_bytes:
                await asyncio.sleep(_PIECE_SECONDS)
        if answer.ending is Ending.NEXT:
            return True
        if answer.ending is Ending.RESET:
            await asyncio.sleep(_RESET_DELAY_SECONDS)
            reset(writer)
        elif answer.ending is Ending.HALF_CLOSE:
            writer.write_eof()
            await reader.read()
        elif answer.ending is Ending.SILENCE:
            await reader.read()
        while answer.ending is Ending.ENDLESS:
            await self._write(writer, answer.filler)
            await asyncio.sleep(0)
        return False

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)


def frame(body: bytes, framing: Framing, status: int = 200, more: str = "") -> bytes:
    """Return an answer whose framing says that the body is whole."""
    lines = f"HTTP/1.1 {status} Status\r\nRequest-Id: {{id}}\r\n{more}"
    if framing is Framing.LENGTH:
        lines += f"Content-Length: {len(body)}\r\n"
    if framing is Framing.CHUNKED:
        lines += "Transfer-Encoding: chunked\r\n"
        body = f"{len(body):x}\r\n".encode() + body + b"\r\n" if body else b""
        body += _LAST_CHUNK
    return f"{lines}\r\n".encode() + body
