"""Two daemons that are connected to each other."""

import asyncio
import contextlib
import random

import capnp

from eelgrasslock.clock import SystemClock
from eelgrasslock.peers.peer_transport import PeerTransport
from peer_helpers import TCPProxy, daemon_settings, member


class Caller:
    """A responder that records the response.

    Each chunk takes `pause` seconds, and chunk `break_after` fails.
    """

    def __init__(self, pause=0.0, break_after=None):
        self.status = None
        self.headers = {}
        self.chunks = []
        self.finished = False
        self.pause = pause
        self.break_after = break_after

    async def start(self, status, headers):
        self.status, self.headers = status, headers

    async def write(self, chunk):
        await asyncio.sleep(self.pause)
        if len(self.chunks) == self.break_after:
            raise BrokenPipeError("gone")
        self.chunks.append(chunk)

    async def finish(self):
        self.finished = True


class Service:
    """Serves forwarded requests with some chunks; may hang or fail before them."""

    def __init__(self, chunks=3, hang=False, fail=False):
        self.chunks = chunks
        self.hang = hang
        self.fail = fail
        self.requests = []
        self.written = 0
        self.cancelled = asyncio.Event()
        self.begun = asyncio.Event()

    async def __call__(self, request, responder):
        self.requests.append(request)
        self.begun.set()
        try:
            if self.fail:
                raise ValueError("a secret upstream text")
            if self.hang:
                await asyncio.sleep(100)
            await responder.start(200, {"x-one": "1"})
            for _ in range(self.chunks):
                await responder.write(b"chunk")
                self.written += 1
            await responder.finish()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


@contextlib.asynccontextmanager
async def pair(keys=((), ()), proxied=False):
    """Yield two daemons' transports, and the second daemon's member record.

    With `proxied`, the first reaches the second through the proxy, yielded last.
    """
    async with capnp.kj_loop(), contextlib.AsyncExitStack() as stack:
        ends = []
        for name, own_keys in zip("xy", keys, strict=True):
            settings = daemon_settings(name, peer_keys=list(own_keys))
            transport = PeerTransport(
                settings, f"{name}-1", SystemClock(), random.Random(1)
            )
            await transport.start()
            stack.push_async_callback(transport.stop)
            ends.append(transport)
        address = ends[1].address
        proxy = None
        if proxied:
            proxy = await TCPProxy(address).start()
            stack.push_async_callback(proxy.stop)
            address = proxy.address
        yield ends[0], ends[1], member("y", address=address), proxy
