"""A TCP proxy that can freeze or break connections, and settings for peers."""

import asyncio

from eelgrasslock.configuration.settings import DaemonSettings
from eelgrasslock.log.records import MemberJoined


def daemon_settings(name, domain="a", address="127.0.0.1:0", **more):
    return DaemonSettings(
        name=name,
        domain=domain,
        http_address="127.0.0.1:0",
        peer_address=address,
        log_url="",
        **more,
    )


def member(name, domain="a", address="127.0.0.1:1", incarnation=None):
    return MemberJoined(
        author=name,
        time=0.0,
        incarnation=incarnation or f"{name}-1",
        name=name,
        domain=domain,
        peer_address=address,
        http_address="127.0.0.1:0",
    )


class TCPProxy:
    """Proxies TCP connections to a target.

    `freeze` stops all data on the open connections for good, and `cut` breaks
    them. While `refuse` is set, each new connection is closed at once; while
    `freeze_new` is set, new connections carry no data.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.accepted = 0
        self.refuse = False
        self.freeze_new = False
        self._open = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def stop(self):
        self._server.close()
        self.cut()
        await asyncio.sleep(0)

    def freeze(self):
        for gate, _ in self._open:
            gate.clear()

    def cut(self):
        for _, writers in self._open:
            for writer in writers:
                writer.transport.abort()
        self._open.clear()

    async def _accept(self, reader, writer):
        self.accepted += 1
        if self.refuse:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        gate = asyncio.Event()
        if not self.freeze_new:
            gate.set()
        self._open.append((gate, (writer, far_writer)))
        pumps = (
            self._pump(reader, far_writer, gate),
            self._pump(far_reader, writer, gate),
        )
        await asyncio.gather(*pumps)

    async def _pump(self, reader, writer, gate):
        try:
            while data := await reader.read(65536):
                await gate.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
