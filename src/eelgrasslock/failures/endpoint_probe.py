"""Asks an endpoint whether it is still the one that was registered."""

import enum
from collections.abc import Callable

from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.running_timeout import RunningTimeout

# A sound endpoint may be silent for a second or so.
ANSWER_SECONDS = 1.0


class ProbeResult(enum.Enum):
    """What became of a probe.

    Attributes
    ----------
    ANSWERED
        The endpoint answered.
    MISDIRECTED
        Another endpoint has its address now.
    BROKEN
        The connection was opened, and lost before an answer.
    SILENT
        No connection was taken, or no answer came in time.
    """

    ANSWERED = "answered"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    SILENT = "silent"


class EndpointProbe:
    """Sends an endpoint a request to which it answers in any state.

    Parameters
    ----------
    pool : ConnectionPool
        Opens connections.
    codec : MessageCodec
        Encodes the request, and decodes the response.
    find_health_path : callable
        Returns the path at which a service is asked for its health.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        codec: MessageCodec,
        find_health_path: Callable[[str], str],
    ) -> None:
        self.pool = pool
        self.codec = codec
        self.find_health_path = find_health_path

    async def ask(self, record: EndpointRecord) -> ProbeResult:
        """Return what answers at the address of an endpoint, if anything does."""
        try:
            connection = await self.pool.connect(record.address)
        except ConnectFailed:
            return ProbeResult.SILENT
        try:
            return await self._ask_on(connection, record)
        finally:
            connection.close()

    async def _ask_on(
        self, connection: HTTPConnection, record: EndpointRecord
    ) -> ProbeResult:
        path = self.find_health_path(record.service)
        request = self.codec.encode_probe(path, record.id)
        try:
            async with RunningTimeout(ANSWER_SECONDS):
                head = await connection.send(request)
        except ConnectionBroken:
            return ProbeResult.BROKEN
        except TimeoutError:
            return ProbeResult.SILENT
        if not self.codec.is_answer_of(head, record.id):
            return ProbeResult.MISDIRECTED
        return ProbeResult.ANSWERED
