"""Faults of the links between one daemon and its endpoints."""

import asyncio
import enum

from eelgrasslock.http.pool import ConnectFailed


class Cut(enum.StrEnum):
    """How links fail: what becomes of the connections, and of new ones."""

    NONE = "none"
    HANG = "hang"
    REFUSE = "refuse"
    RESET = "reset"
    OLD_LIVE = "old_live"


class LinkFaults:
    """Cuts a daemon off from some endpoints; the store and peers stay in reach.

    Parameters
    ----------
    daemon : Daemon
        The daemon, before it has opened any connection to them.
    endpoints : list of PlatformEngineStandin
        The endpoints.
    """

    def __init__(self, daemon, endpoints):
        self.pool = daemon.application.pool
        self.addresses = {one.address for one in endpoints}
        self.cut = Cut.NONE
        self.opened = []
        self.tried = 0
        self.connect = self.pool.connect
        self.pool.connect = self.connect_if_uncut

    async def connect_if_uncut(self, address):
        if address in self.addresses:
            self.tried += self.cut is not Cut.NONE
            if self.cut is Cut.HANG:
                await asyncio.sleep(0.25)
            if self.cut is not Cut.NONE:
                raise ConnectFailed(f"Could not connect to {address}: cut.")
        connection = await self.connect(address)
        if address in self.addresses:
            self.opened.append(connection)
        return connection

    def begin(self, cut):
        self.cut = cut
        for connection in self.opened:
            if connection.transport is None or connection.transport.is_closing():
                continue
            if cut is Cut.HANG:
                connection.transport.pause_reading()
                connection.transport.write = lambda data: None
            elif cut in (Cut.RESET, Cut.REFUSE):
                connection.transport.abort()

    def end(self):
        self.cut = Cut.NONE
        for connection in self.opened:
            if connection.transport is not None:
                connection.transport.abort()
        self.opened.clear()
