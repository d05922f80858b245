"""Finds out whether the process of an endpoint has outlived its response."""

import asyncio
from types import TracebackType

from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.http.connection import ConnectionBroken, HTTPConnection
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.running_timeout import RunningTimeout

ANSWER_SECONDS = 1.0


class LivenessCheck:
    """A second connection to an endpoint, opened while it gives a response.

    The kernel ends the connections of a process that is killed in order. A process
    that answers after its response has ended was not; one that has taken over the
    address is not connected.

    Parameters
    ----------
    pool : ConnectionPool
        Opens the connection.
    codec : MessageCodec
        Encodes the question, and reads the answer.
    record : EndpointRecord
        The endpoint.
    path : str
        Where the endpoint tells its state.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        codec: MessageCodec,
        record: EndpointRecord,
        path: str,
    ) -> None:
        self.pool = pool
        self.codec = codec
        self.record = record
        self.path = path
        self._opening: asyncio.Task[HTTPConnection] | None = None

    async def __aenter__(self) -> "LivenessCheck":
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        task = self._opening
        if task is None:
            return
        task.cancel()
        await asyncio.wait({task})
        if not task.cancelled() and task.exception() is None:
            task.result().close()

    def start(self) -> None:
        """Begin to open the connection."""
        self._opening = asyncio.create_task(self.pool.connect(self.record.address))

    async def is_alive(self) -> bool:
        """Return whether the endpoint answers on the connection."""
        assert self._opening is not None
        question = self.codec.encode_probe(self.path, self.record.id)
        try:
            connection = await asyncio.shield(self._opening)
            async with RunningTimeout(ANSWER_SECONDS):
                head = await connection.send(question)
        except (ConnectFailed, ConnectionBroken, TimeoutError):
            return False
        return self.codec.is_answer_of(head, self.record.id)
