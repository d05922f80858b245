"""What the attempts of one call have in common."""

import asyncio
import contextlib
import uuid
from collections.abc import Awaitable, Callable, Iterator

import attrs
from attrs import frozen
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration, EndpointSettings
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.service_client import ServiceClient
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.exchange import Exchange
from eelgrasslock.scheduling.calls import Assignment, Call, CallOutcome
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.telemetry.metrics import Metrics

_RETRY_SECONDS = 2.0
_MILLISECONDS = 1_000.0
_TELL_PEERS_SECONDS = 1.0
_BUSY = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504

log = logger.bind(part="dispatch")

_SENTENCES = {
    CallOutcome.REFUSED: "The endpoint refused the call.",
    CallOutcome.NOT_SENT: "The endpoint could not be reached.",
    CallOutcome.BROKEN: "The endpoint broke off the call.",
    CallOutcome.CRASHED: "An endpoint that ran this request crashed.",
    CallOutcome.SILENT: "The endpoint went silent.",
}


@frozen(kw_only=True)
class DispatchParts:
    """What the dispatch of a call needs.

    Attributes
    ----------
    dispatcher : Dispatcher
        Gives endpoints.
    engines : EngineClient
        Talks to model engines.
    services : ServiceClient
        Talks to plain services.
    configuration : callable
        Returns the configuration in force.
    clock : Clock
        The time.
    metrics : Metrics or None
        Where figures go.
    tell_peers : callable or None
        Gives peers word of this daemon's state at once; awaited when an
        endpoint has crashed, before its call goes on.
    """

    dispatcher: Dispatcher
    engines: EngineClient
    services: ServiceClient
    configuration: Callable[[], Configuration]
    clock: Clock
    metrics: Metrics | None = None
    tell_peers: Callable[[], Awaitable[None]] | None = None

    @contextlib.contextmanager
    def timed(self, name: str) -> Iterator[None]:
        """Send how long a block takes, however it ends."""
        started = self.clock.monotonic()
        try:
            yield
        finally:
            if self.metrics is not None:
                elapsed = self.clock.monotonic() - started
                self.metrics.timing(name, elapsed * _MILLISECONDS)

    def seconds_left(self, exchange: Exchange) -> float:
        """Return the seconds that a call may still take."""
        if exchange.deadline is None:
            return self.configuration().limits.call_seconds
        return max(0.0, exchange.deadline - self.clock.monotonic())


class Attempts:
    """Counts the attempts of one call, and says truthfully whether it ran.

    Parameters
    ----------
    exchange : Exchange
        The call.
    parts : DispatchParts
        Gives endpoints, and counts retries and failures.
    """

    def __init__(self, exchange: Exchange, parts: DispatchParts) -> None:
        self.exchange = exchange
        self.configuration = parts.configuration
        self.dispatcher = parts.dispatcher
        self.metrics = parts.metrics
        self.tell_peers = parts.tell_peers
        self.id = uuid.uuid4().hex
        self.program = exchange.program or f"single-{self.id}"
        self.number = 0
        self.ran = Ran.NO
        self.excluded: frozenset[str] = frozenset()

    async def acquire(self, service: str, model: str) -> Assignment:
        """Wait for the next attempt's endpoint.

        An endpoint that failed is asked again only if there is no other.

        Raises
        ------
        Refusal
            If it won't be served.
        """
        try:
            return await self.dispatcher.acquire(self._call(service, model))
        except Refusal as refusal:
            raise self.truthful(refusal) from refusal

    async def failed(self, assignment: Assignment, failure: EndpointFailure) -> None:
        """Note a failed attempt.

        Peers hear of a crash before the call goes on, so that a request that
        crashes endpoints finds them warned wherever it is sent next.
        """
        endpoint = assignment.endpoint
        log.warning("{} failed: {}: {}", endpoint, failure.end.value, failure)
        if self.metrics is not None:
            self.metrics.incr(f"endpoint_failed.{failure.end.value}")
        if failure.ran is not Ran.NO:
            self.ran = Ran.UNKNOWN
        self.excluded |= {endpoint}
        if failure.end is CallOutcome.CRASHED and self.tell_peers is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TELL_PEERS_SECONDS):
                    await self.tell_peers()

    def retry_delay(self, assignment: Assignment) -> float | None:
        """Return seconds to wait before one more attempt, None for none."""
        self.number += 1
        scheduler = self.dispatcher.scheduler
        delay = scheduler.retry_delay(assignment.call, assignment.endpoint, self.number)
        if delay is not None and self.metrics is not None:
            self.metrics.incr("retried")
        return delay

    def refusal(self, failure: EndpointFailure) -> Refusal:
        """Return the final answer after the last failure."""
        if failure.callers_fault and failure.status is not None:
            sentence = "The endpoint calls the request itself invalid."
            return self.truthful(
                Refusal("invalid_request", sentence, failure.status, failure.ran)
            )
        status = _GATEWAY_TIMEOUT if failure.silent else _BAD_GATEWAY
        retry_after = failure.retry_after
        if failure.ran is Ran.NO:
            status = _BUSY
            retry_after = retry_after or _RETRY_SECONDS
        if failure.end is CallOutcome.CRASHED:
            retry_after = None
        code = f"endpoint_{failure.end.value}"
        sentence = _SENTENCES.get(failure.end, "The endpoint failed the call.")
        return self.truthful(Refusal(code, sentence, status, failure.ran, retry_after))

    def timed_out(self) -> Refusal:
        """Return the final answer of a call that took too long."""
        ran = Ran.UNKNOWN if self.exchange.sent else Ran.NO
        sentence = "The call took longer than it may."
        refusal = Refusal("call_timeout", sentence, _GATEWAY_TIMEOUT, ran)
        return self.truthful(refusal)

    def truthful(self, refusal: Refusal) -> Refusal:
        """Return a refusal that does not deny what an earlier attempt did."""
        if refusal.ran is Ran.NO and self.ran is not Ran.NO:
            return Refusal(
                refusal.code,
                refusal.sentence,
                refusal.status,
                self.ran,
                refusal.retry_after,
            )
        return refusal

    def close(self) -> None:
        """Let the scheduler forget a call that is no part of a program."""
        if not self.exchange.program:
            self.dispatcher.scheduler.end_program(self.program)

    def _call(self, service: str, model: str) -> Call:
        exchange = self.exchange
        return Call(
            id=f"{self.id}.{self.number}",
            program=self.program,
            service=service,
            model=model,
            call_class=exchange.call_class,
            blocks=exchange.blocks,
            prompt_tokens=exchange.prompt_tokens,
            max_tokens=exchange.max_tokens,
            deadline=exchange.deadline,
            digest=exchange.digest,
            excluded=self._excluded(service, model),
        )

    def _excluded(self, service: str, model: str) -> frozenset[str]:
        endpoints = self.configuration().endpoints.items()
        able = {
            name
            for name, settings in endpoints
            if settings.service == service
            and (not model or not settings.models or model in settings.models)
        }
        return self.excluded if able - self.excluded else frozenset()


def endpoint_settings(
    configuration: Configuration, assignment: Assignment
) -> EndpointSettings:
    """Return an assigned endpoint's settings.

    Raises
    ------
    EndpointFailure
        If a newer configuration no longer has it.
    """
    settings = configuration.endpoints.get(assignment.endpoint)
    if settings is None:
        message = "The configuration no longer has this endpoint."
        raise EndpointFailure(message, CallOutcome.NOT_SENT, Ran.NO)
    return attrs.evolve(settings, url=settings.url.rstrip("/"))
