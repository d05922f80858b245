"""Finds out whether the process of an endpoint has outlived its response."""

import asyncio
import contextlib
from types import TracebackType

from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.running_timeout import RunningTimeout

# How long an endpoint may take to say that it is still the same one.
ANSWER_SECONDS = 0.25
RETRY_SECONDS = 0.05
# The ends of a process's connections are seen within such a time.
TOGETHER_SECONDS = 0.02
MAX_TRIES = 3


class LivenessCheck:
    """A second connection to an endpoint, kept open while it gives a response.

    The kernel ends the connections of a process that is killed in order, all of them,
    and refuses new ones. A process that holds the connection after its response has
    ended was not, whether or not it finds the time to answer. Processes that share an
    address are not told apart.

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
        self.connection: HTTPConnection | None = None
        self._keeping: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "LivenessCheck":
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stop_keeping()
        if self.connection is not None:
            self.connection.close()

    def start(self) -> None:
        """Begin to keep a connection open, also if the endpoint closes idle ones."""
        self._keeping = asyncio.create_task(self._keep_open())

    async def is_alive(self) -> bool:
        """Return whether the endpoint is there after the end of its response."""
        ended_at = asyncio.get_running_loop().time()
        await self._stop_keeping()
        connection = self.connection
        if connection is not None:
            is_own = await self._ask(connection) if connection.is_open else None
            if is_own is not None:
                return is_own
            if _ended_together(connection, ended_at):
                return False
        for number in range(MAX_TRIES):
            await asyncio.sleep(RETRY_SECONDS if number else 0.0)
            try:
                connection = await self.pool.connect(self.record.address)
            except ConnectFailed:
                return False
            try:
                is_own = await self._ask(connection)
            finally:
                connection.close()
            if is_own is not None:
                return is_own
        # It took each connection and reset it, as one does that has too many.
        return True

    async def _keep_open(self) -> None:
        while True:
            with contextlib.suppress(ConnectFailed):
                self.connection = await self.pool.connect(self.record.address)
                await self.connection.wait_ended()
            await asyncio.sleep(RETRY_SECONDS)

    async def _stop_keeping(self) -> None:
        """Wait for a connection that is being opened, then keep it as it is."""
        task, self._keeping = self._keeping, None
        if task is None:
            return
        if self.connection is None:
            await asyncio.wait({task}, timeout=RETRY_SECONDS)
        task.cancel()
        await asyncio.wait({task})

    async def _ask(self, connection: HTTPConnection) -> bool | None:
        """Return whether the endpoint itself answers, None if the connection ends."""
        question = self.codec.encode_probe(self.path, self.record.id)
        try:
            async with RunningTimeout(ANSWER_SECONDS):
                head = await connection.send(question)
        except ConnectionBroken:
            return None
        except TimeoutError:
            return True
        return self.codec.is_answer_of(head, self.record.id)


def _ended_together(connection: HTTPConnection, ended_at: float) -> bool:
    """Return whether a connection ended in order with a response, or after it.

    So do all connections of a process that is killed, which may soon be back.
    """
    at = connection.ended_in_order_at
    return at is not None and at > ended_at - TOGETHER_SECONDS
