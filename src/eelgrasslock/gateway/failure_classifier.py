"""Tells an endpoint that crashed from a connection or a network that broke."""

from eelgrasslock.clock import Clock
from eelgrasslock.gateway.attempt_result import AttemptOutcome
from eelgrasslock.gateway.endpoint_registry import EndpointRecord, EndpointRegistry
from eelgrasslock.gateway.link_monitor import LinkMonitor
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool

CORRELATION_DELAY_SECONDS = 0.05
CORRELATION_WINDOW_SECONDS = 0.5


class FailureClassifier:
    """Classifies lost connections by what becomes of new ones.

    Parameters
    ----------
    pool : ConnectionPool
        Opens connections.
    endpoint_registry : EndpointRegistry
        The endpoints.
    links : LinkMonitor
        Is told which connections open and which fail.
    clock : Clock
        The source of time.

    Attributes
    ----------
    unreachable_at : dict of str to float
        When a connection to an endpoint last failed, on the monotonic clock.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint_registry: EndpointRegistry,
        links: LinkMonitor,
        clock: Clock,
    ) -> None:
        self.pool = pool
        self.endpoint_registry = endpoint_registry
        self.links = links
        self.clock = clock
        self.unreachable_at: dict[str, float] = {}

    def record_unreachable(self, record: EndpointRecord) -> None:
        """Record that no connection to an endpoint could be opened."""
        self.unreachable_at[record.id] = self.clock.monotonic()
        self.links.record_failed(record)

    async def classify(self, record: EndpointRecord) -> AttemptOutcome:
        """Return whether an endpoint crashed or only lost a connection.

        A crashed endpoint accepts no new connection. If the endpoint accepts one,
        the connection is kept for the next request.
        """
        if await self._opens(record):
            return AttemptOutcome.BROKEN
        self.pool.drop(record.address)
        self.record_unreachable(record)
        is_crash = await self._is_network_intact(record)
        return AttemptOutcome.CRASHED if is_crash else AttemptOutcome.BROKEN

    async def _is_network_intact(self, record: EndpointRecord) -> bool:
        """Return whether the network to an unreachable endpoint works.

        It does if no other endpoint became unreachable at the same time, or if one
        of the same failure domain still takes connections.
        """
        await self.clock.sleep(CORRELATION_DELAY_SECONDS)
        since = self.clock.monotonic() - CORRELATION_WINDOW_SECONDS
        self.unreachable_at = {
            one: at for one, at in self.unreachable_at.items() if at >= since
        }
        if self.unreachable_at.keys() <= {record.id}:
            return True
        neighbour = self._find_neighbour(record)
        return neighbour is not None and await self._opens(neighbour)

    def _find_neighbour(self, record: EndpointRecord) -> EndpointRecord | None:
        """Return an endpoint of the same domain that may be reachable."""
        for one in self.endpoint_registry.entries.values():
            is_near = one.domain == record.domain and one.address != record.address
            if is_near and not one.leaving and one.id not in self.unreachable_at:
                return one
        return None

    async def _opens(self, record: EndpointRecord) -> bool:
        try:
            connection = await self.pool.acquire(record.address, 0.0)
        except ConnectFailed:
            return False
        self.links.record_opened()
        self.pool.release(record.address, connection, None)
        return True
