"""A pool of idle connections, by address."""

import asyncio
from collections import deque

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.running_timeout import RunningTimeout

CONNECT_TIMEOUT_SECONDS = 0.25
MAX_IDLE_SECONDS = 10.0
DEFAULT_KEEP_ALIVE_SECONDS = 0.5
KEEP_ALIVE_MARGIN_SECONDS = 0.3
MAX_IDLE_CONNECTIONS = 16
_SWEEP_SECONDS = 1.0

_log = logger.bind(part="connections")


class ConnectFailed(EelgrassError):
    """No connection could be opened, so nothing was sent.

    Attributes
    ----------
    was_refused : bool
        Whether the other side answered that it takes none.
    """

    def __init__(self, sentence: str, was_refused: bool = False) -> None:
        super().__init__(sentence)
        self.was_refused = was_refused


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse.

    Parameters
    ----------
    clock : Clock
        The source of time.

    Attributes
    ----------
    opened, reused : int
        The numbers of opened and reused connections since the start.
    idle : dict of str to deque of HTTPConnection
        The idle connections by address, the least recently used first.
    keep_alive_seconds : dict of str to float
        How long connections to an address may be idle: the time that the peer
        stated, less a margin.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.opened = 0
        self.reused = 0
        self.idle: dict[str, deque[HTTPConnection]] = {}
        self.keep_alive_seconds: dict[str, float] = {}
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start closing connections that have been idle for too long."""
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
        """Return an idle or a new connection to an address.

        Parameters
        ----------
        address : str
            ``ip:port``.
        max_idle_seconds : float
            The maximum time that a reused connection may have been idle.

        Raises
        ------
        ConnectFailed
            If no connection can be opened.
        """
        reused = self._take_idle(address, max_idle_seconds)
        if reused is not None:
            self.reused += 1
            return reused
        return await self.connect(address)

    async def connect(self, address: str) -> HTTPConnection:
        """Return a new connection to an address; raises the error of `acquire`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with RunningTimeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    HTTPConnection, host, int(port)
                )
        except (OSError, ValueError) as error:
            name = type(error).__name__
            raise ConnectFailed(
                f"Could not connect to {address}: {name}.",
                was_refused=isinstance(error, ConnectionError),
            ) from error
        self.opened += 1
        return connection

    def release(
        self, address: str, connection: HTTPConnection, keep_alive_seconds: float | None
    ) -> None:
        """Return a connection to the pool after an exchange.

        Parameters
        ----------
        address : str
            ``ip:port``.
        connection : HTTPConnection
            The connection.
        keep_alive_seconds : float or None
            How long the peer keeps an idle connection open, if stated.
        """
        idle = self.idle.setdefault(address, deque())
        if not connection.reusable or len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        if keep_alive_seconds is not None:
            self.keep_alive_seconds[address] = max(
                0.0, keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
            )
        connection.last_used_at = self.clock.monotonic()
        idle.append(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        self.keep_alive_seconds.pop(address, None)
        for connection in self.idle.pop(address, ()):
            connection.close()

    def _take_idle(
        self, address: str, max_idle_seconds: float
    ) -> HTTPConnection | None:
        idle = self.idle.get(address)
        if not idle:
            return None
        limit_seconds = min(
            max_idle_seconds,
            self.keep_alive_seconds.get(address, DEFAULT_KEEP_ALIVE_SECONDS),
        )
        used_since = self.clock.monotonic() - limit_seconds
        while idle:
            connection = idle.pop()
            if connection.reusable and connection.last_used_at >= used_since:
                return connection
            connection.close()
        return None

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep(_SWEEP_SECONDS)
            now = self.clock.monotonic()
            for address, idle in list(self.idle.items()):
                limit_seconds = self.keep_alive_seconds.get(
                    address, DEFAULT_KEEP_ALIVE_SECONDS
                )
                while idle and idle[0].last_used_at < now - limit_seconds:
                    idle.popleft().close()
                if not idle:
                    del self.idle[address]
