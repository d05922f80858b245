"""One attempt to have a request run by an endpoint."""

import asyncio
import enum
from collections.abc import Callable

from attrs import frozen
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.gateway.directory import EndpointDirectory, EndpointRecord
from eelgrasslock.gateway.interfaces import Dialect
from eelgrasslock.gateway.messages import EndpointAnswer, EndpointLoadWord
from eelgrasslock.gateway.passage import Passage
from eelgrasslock.gateway.patience import Silence, first_wait, gives_up
from eelgrasslock.gateway.responder import AnswerCut
from eelgrasslock.gateway.routes import RouteKind
from eelgrasslock.http.connection import ConnectionBroken, HTTPConnection
from eelgrasslock.http.messages import AnswerHead, OutgoingRequest
from eelgrasslock.http.pool import IDLE_SECONDS, ConnectFailed, ConnectionPool
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

FRESH_SECONDS = 2.5
TOGETHER_SECONDS = 0.05
LATELY_SECONDS = 0.5
WHOLE_BODY_BYTES = 65_536
_SUCCESS = range(200, 300)

_log = logger.bind(part="attempts")


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    SERVED = "served"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    CRASHED = "crashed"
    SILENT = "silent"
    UNSOUND = "unsound"


@frozen(kw_only=True)
class AttemptResult:
    """What an attempt came to.

    Attributes
    ----------
    end : AttemptEnd
        How it ended.
    answer : EndpointAnswer or None
        The head of the endpoint's answer, if one came.
    """

    end: AttemptEnd
    answer: EndpointAnswer | None = None


NoteLoad = Callable[[str, str, EndpointLoadWord], None]


class Attempts:
    """Sends requests to endpoints and hands their answers on.

    Parameters
    ----------
    pool : ConnectionPool
        Keeps the connections.
    directory : EndpointDirectory
        Knows the endpoints' addresses.
    dialect : Dialect
        Writes requests and reads answers.
    clock : Clock
        The time.
    metrics : GatewayMetrics
        Times first bytes.
    domain : str
        The daemon's failure domain.
    is_suspect : callable
        Whether a domain seems to be cut off.
    on_load : callable
        Told what an endpoint of a service says of its load.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        dialect: Dialect,
        clock: Clock,
        metrics: GatewayMetrics,
        domain: str,
        is_suspect: Callable[[str], bool],
        on_load: NoteLoad,
    ) -> None:
        self.on_load = on_load
        self.unreachable: dict[str, float] = {}
        self.domain = domain
        self.is_suspect = is_suspect
        self.metrics = metrics
        self.pool = pool
        self.directory = directory
        self.dialect = dialect
        self.clock = clock

    async def run(self, passage: Passage, endpoint: str) -> AttemptResult:
        """Send a request to an endpoint and hand a final answer on.

        Raises
        ------
        AnswerCut
            If the answer broke off after its beginning was handed on.
        """
        record = self.directory.entries.get(endpoint)
        if record is None or record.leaving:
            return AttemptResult(end=AttemptEnd.NOT_SENT)
        idle = IDLE_SECONDS if passage.route.may_run_again else FRESH_SECONDS
        try:
            connection = await self.pool.acquire(record.address, idle)
        except ConnectFailed as error:
            self.unreachable[record.id] = self.clock.monotonic()
            _log.bind(request=passage.request.id, endpoint=endpoint).info("{}", error)
            return AttemptResult(end=AttemptEnd.NOT_SENT)
        try:
            result = await self._exchange(passage, record, connection)
        except BaseException:
            connection.close()
            raise
        keep = result.answer.keep_seconds if result.answer is not None else None
        self.pool.release(record.address, connection, keep)
        return result

    async def _exchange(
        self, passage: Passage, record: EndpointRecord, connection: HTTPConnection
    ) -> AttemptResult:
        seconds = passage.ends_at - self.clock.monotonic()
        outgoing = self.dialect.encode_request(passage.request, record.id, seconds)
        passage.sent += 1
        try:
            sent = self.clock.monotonic()
            head = await self._head(passage, record, connection, outgoing)
            if head is None:
                connection.close()
                return AttemptResult(end=AttemptEnd.SILENT)
            seconds = self.clock.monotonic() - sent
            self.metrics.first_byte_seconds.labels(passage.kind).observe(seconds)
        except ConnectionBroken as error:
            return await self._broken(passage, record, error)
        answer = self.dialect.decode_answer(head)
        if answer.load is not None:
            self.on_load(passage.service.name, record.id, answer.load)
        if answer.not_run:
            passage.sent -= 1
            await _skip_body(connection)
            return AttemptResult(end=AttemptEnd.NOT_RUN, answer=answer)
        if answer.status in _SUCCESS and not answer.sound:
            connection.close()
            return AttemptResult(end=AttemptEnd.UNSOUND, answer=answer)
        try:
            await self._hand_on(passage, answer, connection)
        except ConnectionBroken as error:
            result = await self._broken(passage, record, error)
            if passage.responder.started:
                passage.endpoint_crashed = result.end is AttemptEnd.CRASHED
                raise AnswerCut(str(error)) from error
            return result
        return AttemptResult(end=AttemptEnd.SERVED, answer=answer)

    async def _head(
        self,
        passage: Passage,
        record: EndpointRecord,
        connection: HTTPConnection,
        outgoing: OutgoingRequest,
    ) -> AnswerHead | None:
        """Send a request; return its answer's head, None if it was given up on."""
        is_far = record.domain != self.domain
        seconds = first_wait(passage.route, is_far)
        started = self.clock.monotonic()
        waiting = asyncio.ensure_future(connection.send(outgoing))
        try:
            while seconds is not None:
                done, _ = await asyncio.wait({waiting}, timeout=seconds)
                if done:
                    break
                silence = Silence(
                    is_far=is_far,
                    is_domain_suspect=self.is_suspect(record.domain),
                    sent=passage.sent,
                    seconds=self.clock.monotonic() - started,
                )
                if gives_up(passage.route, silence):
                    _log.bind(request=passage.request.id, endpoint=record.id).info(
                        "No answer for {} s; another endpoint is tried.", seconds
                    )
                    return None
            return await waiting
        finally:
            waiting.cancel()

    async def _hand_on(
        self, passage: Passage, answer: EndpointAnswer, connection: HTTPConnection
    ) -> None:
        responder = passage.responder
        is_stream = passage.route.kind is RouteKind.STREAM
        is_short = answer.body_bytes is None or answer.body_bytes <= WHOLE_BODY_BYTES
        if not is_stream and is_short:
            body = await connection.read_all()
            passage.status = answer.status
            await responder.send(answer.status, answer.headers, body)
            return
        passage.status = answer.status
        await responder.start(answer.status, answer.headers, answer.body_bytes)
        while (chunk := await connection.read()) is not None:
            passage.counter.feed(chunk)
            await responder.write(chunk)
        await responder.finish()

    async def _broken(
        self, passage: Passage, record: EndpointRecord, error: ConnectionBroken
    ) -> AttemptResult:
        """Find out whether an endpoint crashed, or just lost an answer.

        One that crashed takes no connection now. One that lives has a new
        connection, which is kept for the next request.
        """
        try:
            connection = await self.pool.acquire(record.address, 0.0)
        except ConnectFailed:
            self.pool.drop(record.address)
            is_alone = await self._is_alone(record)
            end = AttemptEnd.CRASHED if is_alone else AttemptEnd.BROKEN
        else:
            end = AttemptEnd.BROKEN
            self.pool.release(record.address, connection, None)
        _log.bind(request=passage.request.id, endpoint=record.id, end=end.value).info(
            "The answer broke off: {}", error
        )
        return AttemptResult(end=end)

    async def _is_alone(self, record: EndpointRecord) -> bool:
        """Return whether no other endpoint became unreachable just now.

        Several at once are cut off from this daemon, and have not crashed.
        """
        self.unreachable[record.id] = self.clock.monotonic()
        await self.clock.sleep(TOGETHER_SECONDS)
        oldest = self.clock.monotonic() - LATELY_SECONDS
        lately = {one for one, time in self.unreachable.items() if time >= oldest}
        self.unreachable = {one: self.unreachable[one] for one in lately}
        return lately <= {record.id}


async def _skip_body(connection: HTTPConnection) -> None:
    try:
        await connection.read_all()
    except ConnectionBroken:
        connection.close()
