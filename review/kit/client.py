"""A client of the system: one request on one connection."""

import asyncio
import contextlib
from collections.abc import Mapping

CONNECT_SECONDS = 1.0


class Answer:
    """What a client got for one attempt.

    Attributes
    ----------
    status : int
        The status, 0 without one.
    headers : dict of str to str
        By lower-case name.
    body : bytes
        The body so far, without its framing.
    whole : bool
        Whether the answer came to its end.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False

    @property
    def events(self) -> int:
        """The events that have arrived; one cut in its middle counts."""
        if self.status != 200:
            return 0
        whole = self.body.count(b"\n\n")
        return whole + (not self.body.endswith(b"\n\n") and bool(self.body))

    @property
    def retry_after(self) -> float:
        """The seconds that a refusal asks for."""
        return float(self.headers.get("retry-after", "0"))


async def attempt(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, object],
    body: bytes = b"",
    seconds: float = 3.0,
) -> Answer:
    """Make one attempt on a new connection; it is given up after some seconds."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    writer = None
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(seconds):
            async with asyncio.timeout(min(CONNECT_SECONDS, seconds)):
                reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await read_answer(reader, answer)
    if writer is not None:
        writer.close()
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    answer.status = int(first.split(" ")[1])
    pairs = (line.partition(":") for line in lines)
    answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
    if answer.headers.get("transfer-encoding", "").lower() != "chunked":
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
        answer.whole = True
        return
    while True:
        size = int((await reader.readline()).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if not size:
            answer.whole = True
            return
        answer.body += data[:-2]
