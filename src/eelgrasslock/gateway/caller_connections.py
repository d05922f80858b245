"""The connections of callers, within the memory and descriptors of a daemon."""

import asyncio
import math
from typing import Any, cast

from aiohttp import web
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.http.memory_budget import Holding, MemoryBudget
from eelgrasslock.http.socket_options import limit_reads

# Requests that may wait behind the one in progress before reading stops.
MAX_REQUESTS_AHEAD = 2
CALLER_MEMORY_SHARE = 0.3125
FILE_DESCRIPTORS = 200
# A request in progress takes a connection to its endpoint as well.
OTHER_DESCRIPTOR_SHARE = 0.55
# What waits for a caller to read before it counts as blocked.
WRITE_BYTES = 32_768
LOG_SECONDS = 1.0
_MEGABYTE = 1_000_000

_log = logger.bind(part="caller_connections")


class CallerConnections:
    """Bounds what callers hold, and their number.

    Parameters
    ----------
    clock : Clock
        The source of time.
    memory_megabytes : float
        The memory of the machine; 0 for no bound.
    max_descriptors : int
        The descriptors that the process may open; 0 for no bound.

    Attributes
    ----------
    refused, closed : int
        How many requests were refused and connections closed for want of memory.
    displaced : int
        How many connections were closed for want of descriptors.
    """

    def __init__(
        self, clock: Clock, memory_megabytes: float = 0.0, max_descriptors: int = 0
    ) -> None:
        self.clock = clock
        limit = memory_megabytes * _MEGABYTE * CALLER_MEMORY_SHARE
        self.budget = MemoryBudget(limit or math.inf)
        self.max_connections = math.inf
        if max_descriptors:
            sockets = max_descriptors - FILE_DESCRIPTORS
            self.max_connections = max(1.0, sockets * (1.0 - OTHER_DESCRIPTOR_SHARE))
        self.refused = 0
        self.closed = 0
        self.displaced = 0
        self._open: dict[Holding, CallerConnection] = {}
        self._idle: dict[CallerConnection, None] = {}
        self._logged_at = -math.inf

    @property
    def is_memory_bounded(self) -> bool:
        """Whether there is a bound of memory."""
        return self.budget.limit < math.inf

    def add(self, connection: "CallerConnection") -> None:
        """Count a new connection; close the one idle for longest beyond the bound."""
        self._open[connection.holding] = connection
        self.budget.update(connection.holding)
        if len(self._open) > self.max_connections:
            self.displaced += 1
            self._log_shortage("descriptors")
            oldest = next(iter(self._idle), connection)
            self.remove(oldest)
            oldest.end()
        if connection.holding in self._open:
            self._idle[connection] = None
        self.make_room()

    def remove(self, connection: "CallerConnection") -> None:
        """Forget a connection that ends."""
        self._open.pop(connection.holding, None)
        self._idle.pop(connection, None)
        self.budget.remove(connection.holding)

    def update(self, connection: "CallerConnection") -> None:
        """Count what a connection holds now."""
        holding = connection.holding
        if holding not in self._open:
            return
        if holding.is_active:
            self._idle.pop(connection, None)
        elif connection not in self._idle:
            self._idle[connection] = None
        self.budget.update(holding)
        self.make_room()

    def make_room(self) -> None:
        """End connections if memory is short."""
        if not self.budget.is_search_due:
            return
        for connection in [one for one in self._open.values() if one.holding.unsent]:
            connection.count_unsent()
            self.budget.update(connection.holding)
        for victim in self.budget.choose_victims(self.clock.monotonic()):
            connection = self._open[victim.holding]
            if victim.is_refused:
                self.refused += 1
                connection.refuse_body()
                self.budget.update(victim.holding)
            else:
                self.closed += 1
                self.remove(connection)
                connection.end()
            self._log_shortage("memory")

    def _log_shortage(self, what: str) -> None:
        now = self.clock.monotonic()
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        _log.bind(
            held_bytes=self.budget.held,
            connections=len(self._open),
            refused=self.refused,
            closed=self.closed,
            displaced=self.displaced,
        ).warning("Ends connections of callers for want of {}.", what)


class CallerConnection(web.RequestHandler):
    """A connection whose bytes are counted.

    Parameters
    ----------
    connections : CallerConnections
        All connections.
    server : aiohttp.web.Server
        The server of the connection.
    options : Any
        The options of aiohttp.

    Attributes
    ----------
    holding : Holding
        What it holds.
    body_limit : asyncio.Timeout or None
        Ends the wait for the rest of a body.
    is_refused : bool
        Whether its last request is refused for want of memory.
    """

    __slots__ = ("body_limit", "connections", "holding", "is_refused")

    def __init__(
        self, connections: CallerConnections, server: web.Server, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self.connections = connections
        self.holding = Holding(connections.clock.monotonic())
        self.body_limit: asyncio.Timeout | None = None
        self.is_refused = False
        if connections.is_memory_bounded:
            self._max_msg_queue_size = MAX_REQUESTS_AHEAD
            self._msg_queue_resume_size = 0

    # --- asyncio.Protocol ---------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        if self.connections.is_memory_bounded:
            limit_reads(transport)
            cast(asyncio.Transport, transport).set_write_buffer_limits(WRITE_BYTES)
        self.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.connections.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes before they are parsed."""
        if data and not self.is_refused:
            self.holding.received += len(data)
            self.holding.progressed_at = self.connections.clock.monotonic()
            self.connections.update(self)
        super().data_received(data)

    def pause_writing(self) -> None:
        """Note that the caller reads too little."""
        super().pause_writing()
        self.holding.blocked_since = self.connections.clock.monotonic()
        self.connections.update(self)

    def resume_writing(self) -> None:
        """Note that the caller reads again."""
        self.holding.blocked_since = None
        self.connections.update(self)
        super().resume_writing()

    # --- requests -----------------------------------------------------------------

    def begin_request(self) -> None:
        """Note that a request is in progress."""
        self.holding.is_active = True
        self.holding.request_bytes = 0
        self.count_unsent()
        self.connections.update(self)

    def await_body(self, limit: asyncio.Timeout) -> None:
        """Note that the request's body has not come whole."""
        self.body_limit = limit
        self.holding.awaits_body = True

    def end_body(self, size: int) -> None:
        """Note that the request has come whole, or is not awaited any longer."""
        self.body_limit = None
        self.holding.awaits_body = False
        self.holding.request_bytes = min(size, self.holding.received)

    def end_request(self) -> None:
        """Release the request's bytes."""
        holding = self.holding
        holding.is_active = False
        holding.awaits_body = False
        ahead = holding.received - holding.request_bytes if self._messages else 0
        holding.received = ahead
        holding.request_bytes = 0
        self.count_unsent()
        self.connections.update(self)

    def count_unsent(self) -> None:
        """Count the bytes of responses that are not sent."""
        if self.transport is not None:
            self.holding.unsent = self.transport.get_write_buffer_size()

    def refuse_body(self) -> None:
        """Let the request whose body is awaited be refused; drop what still comes."""
        self.is_refused = True
        self.holding.received = 0
        self.holding.awaits_body = False
        if self.body_limit is not None:
            self.body_limit.reschedule(asyncio.get_running_loop().time())

    def end(self) -> None:
        """Close the connection at once, without sending what waits."""
        if self.transport is not None:
            self.transport.abort()


class CallerServer(web.Server):
    """Makes the connections of callers."""

    def __init__(
        self, connections: CallerConnections, *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self.caller_connections = connections

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self.caller_connections, self, loop=self._loop, **self._kwargs
        )
