"""Kept connections, by address."""

import asyncio
from collections import deque

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError
from eelgrasslock.http.connection import HTTPConnection

CONNECT_TIMEOUT_SECONDS = 0.25
MAX_IDLE_SECONDS = 10.0
DEFAULT_KEEP_ALIVE_SECONDS = 0.5
KEEP_ALIVE_MARGIN_SECONDS = 0.3
MAX_IDLE_CONNECTIONS = 16
_SWEEP_SECONDS = 1.0

_log = logger.bind(part="connections")


class ConnectFailed(EelgrassError):
    """No connection came about, so nothing was sent."""


class ConnectionPool:
    """Opens connections and keeps them for the next request.

    Parameters
    ----------
    clock : Clock
        The time.

    Attributes
    ----------
    opened, reused : int
        Counted since the start.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.opened = 0
        self.reused = 0
        self.idle: dict[str, deque[HTTPConnection]] = {}
        self.keep_alive_seconds: dict[str, float] = {}
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start closing connections that idle too long."""
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Close all idle connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for address in list(self.idle):
            self.drop(address)

    async def acquire(
        self, address: str, max_idle_seconds: float = MAX_IDLE_SECONDS
    ) -> HTTPConnection:
        """Return a connection that is ready for a request.

        Parameters
        ----------
        address : str
            ``ip:port``.
        max_idle_seconds : float
            The longest that a kept connection may have idled.

        Raises
        ------
        ConnectFailed
            If none can be opened.
        """
        kept = self._take_idle(address, max_idle_seconds)
        if kept is not None:
            self.reused += 1
            return kept
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    HTTPConnection, host, int(port)
                )
        except (OSError, ValueError) as error:
            name = type(error).__name__
            raise ConnectFailed(f"No connection to {address}: {name}.") from error
        self.opened += 1
        return connection

    def release(
        self, address: str, connection: HTTPConnection, keep_alive_seconds: float | None
    ) -> None:
        """Take a connection back after an exchange.

        Parameters
        ----------
        address : str
            ``ip:port``.
        connection : HTTPConnection
            The connection.
        keep_alive_seconds : float or None
            How long the other end says that it keeps it.
        """
        kept = self.idle.setdefault(address, deque())
        if not connection.reusable or len(kept) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        if keep_alive_seconds is not None:
            self.keep_alive_seconds[address] = max(
                0.0, keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
            )
        connection.last_used_at = self.clock.monotonic()
        kept.append(connection)

    def drop(self, address: str) -> None:
        """Close what is kept for an address."""
        self.keep_alive_seconds.pop(address, None)
        for connection in self.idle.pop(address, ()):
            connection.close()

    def _take_idle(
        self, address: str, max_idle_seconds: float
    ) -> HTTPConnection | None:
        kept = self.idle.get(address)
        if not kept:
            return None
        longest = min(
            max_idle_seconds,
            self.keep_alive_seconds.get(address, DEFAULT_KEEP_ALIVE_SECONDS),
        )
        oldest = self.clock.monotonic() - longest
        while kept:
            connection = kept.pop()
            if connection.reusable and connection.last_used_at >= oldest:
                return connection
            connection.close()
        return None

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep(_SWEEP_SECONDS)
            now = self.clock.monotonic()
            for address, kept in list(self.idle.items()):
                longest = self.keep_alive_seconds.get(
                    address, DEFAULT_KEEP_ALIVE_SECONDS
                )
                while kept and kept[0].last_used_at < now - longest:
                    kept.popleft().close()
                if not kept:
                    del self.idle[address]
