"""Links from one daemon to the servers, which can be cut for it alone.

A daemon sees the servers at addresses of its own, those of a proxy for each of them,
by a door of its own to the store. A cut link refuses new connections and resets those
that are open.
"""

import asyncio
import contextlib
import json
import socket
import struct

from aiohttp import web

from deployment import HOST, SERVERS_TOPIC, free_ports

_LINGER = struct.pack("ii", 1, 0)


def _reset(writer):
    connected = writer.get_extra_info("socket")
    if connected is not None:
        with contextlib.suppress(OSError):
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
    writer.transport.abort()


class Link:
    """A proxy between a daemon and a server."""

    def __init__(self, target):
        self.target = target
        (self.port,) = free_ports(1)
        self.address = f"{HOST}:{self.port}"
        self._server = None
        self._writers = set()

    async def open(self):
        """Take connections."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def cut(self):
        """Refuse new connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for one in list(self._writers):
            _reset(one)

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        both = {writer, far_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pass_on(reader, far_writer), self._pass_on(far_reader, writer)
            )
        except OSError:
            for one in both:
                _reset(one)
        finally:
            self._writers -= both
            for one in both:
                one.close()

    async def _pass_on(self, reader, writer):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
        writer.close()


class OwnView:
    """One daemon's view of the servers, at the addresses of its links.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.links = {}
        self.topic = f"{SERVERS_TOPIC}.own"
        self._runner = None

    async def start(self):
        """Start the door to the store; return its address."""
        app = self.deployment.store.door().application()
        app.middlewares.insert(0, self._read_own)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        (port,) = free_ports(1)
        await web.TCPSite(self._runner, HOST, port).start()
        return f"{HOST}:{port}"

    async def add(self, id):
        """Add a server that is registered."""
        entry = json.loads(self.deployment.store.newest[SERVERS_TOPIC][id])
        link = Link(entry["address"])
        await link.open()
        self.links[id] = link
        entry["address"] = link.address
        self.deployment.store.put(self.topic, id, json.dumps(entry).encode())

    def cut(self):
        """Cut all links."""
        for one in self.links.values():
            one.cut()

    async def stop(self):
        """Stop all."""
        self.cut()
        with contextlib.suppress(Exception):
            await self._runner.cleanup()

    @web.middleware
    async def _read_own(self, request, handler):
        query = dict(request.rel_url.query)
        if query.get("topic") == SERVERS_TOPIC:
            query["topic"] = self.topic
            request = request.clone(rel_url=request.rel_url.with_query(query))
        return await handler(request)
