"""A server as a process of its own, so that its end is that of a real one.

It answers its health path, and gives each other request the same long body without a
length, which ends with the connection: a first part at once, the rest later. What it
does is printed, one line each.

Usage: server_process.py PORT ID FIRST_BYTES REST_BYTES REST_AFTER_SECONDS
"""

import asyncio
import sys

HOST = "127.0.0.1"
HEALTH_PATH = "/healthz"


class Server:
    """One incarnation of a server."""

    def __init__(self, id, first, rest, seconds):
        self.id = id
        self.first = int(first)
        self.rest = int(rest)
        self.seconds = float(seconds)

    async def serve(self, reader, writer):
        """Serve a connection."""
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = text.strip().split("\r\n")
        pairs = [one.partition(":") for one in lines]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        id = headers.get("request-id", "")
        head = f"Request-Id: {id}\r\nInstance-Id: {self.id}\r\n"
        empty = "Content-Length: 0\r\n\r\n"
        if headers.get("expect-instance", self.id) != self.id:
            refusal = f"HTTP/1.1 421 Other\r\n{head}Not-Run: 1\r\n{empty}"
            writer.write(refusal.encode())
            return True
        if line.split(" ")[1] == HEALTH_PATH:
            writer.write(f"HTTP/1.1 200 OK\r\n{head}{empty}".encode())
            return True
        print("runs", id, flush=True)
        stamp = f"Server-Stamp: {self.id}.stamp\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{head}{stamp}\r\n".encode())
        writer.write(b"f" * self.first)
        await asyncio.sleep(self.seconds)
        writer.write(b"r" * self.rest)
        await writer.drain()
        print("whole", id, flush=True)
        return False


async def _main():
    port, *shape = sys.argv[1:]
    serve = Server(*shape).serve
    server = await asyncio.start_server(serve, HOST, int(port), reuse_address=True)
    print("listens", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main())
