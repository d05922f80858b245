"""Passing a request through to a plain service."""

from eelgrasslock.endpoints.endpoint_failure import EndpointFailure, parse_retry_after
from eelgrasslock.endpoints.service_client import (
    PlainAnswer,
    PlainRequest,
    clean_headers,
)
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.attempts import Attempts, DispatchParts, endpoint_settings
from eelgrasslock.requests.exchange import ENDPOINT_HEADER, CallClass, Exchange
from eelgrasslock.requests.plain_methods import is_idempotent, is_urgent
from eelgrasslock.scheduling.calls import Assignment, CallOutcome
from eelgrasslock.telemetry.tracing import span

_TOO_MANY = 429
_REQUEST_TIMEOUT = 408
_UNAVAILABLE = 503
_BAD_GATEWAY = 502


class PlainCall:
    """One request to a plain service.

    An idempotent request is tried again within the retry budgets. Any other
    is sent at most once: it goes to another endpoint only if no byte left for
    the first one, and counts as not run only then or if the service answers
    429. A 5xx answer to it leaves the outcome unknown.

    Parameters
    ----------
    parts : DispatchParts
        What the call needs.
    exchange : Exchange
        The call.
    """

    def __init__(self, parts: DispatchParts, exchange: Exchange) -> None:
        self.parts = parts
        self.exchange = exchange
        self.attempts = Attempts(exchange, parts)
        settings = parts.configuration().services[exchange.service]
        method = exchange.request.method
        self.idempotent = is_idempotent(settings, method, exchange.rest)
        if is_urgent(settings, method, exchange.rest):
            exchange.call_class = CallClass.LOOKUP

    async def run(self) -> None:
        """Serve the request to its end.

        Raises
        ------
        Refusal
            If there is no answer to pass on.
        """
        while True:
            assignment = await self.attempts.acquire(self.exchange.service, "")
            try:
                answer = await self._attempt(assignment)
            except EndpointFailure as failure:
                delay = await self._after(assignment, failure)
            else:
                await self._deliver(assignment, answer)
                return
            await self.parts.clock.sleep(delay)

    async def _attempt(self, assignment: Assignment) -> PlainAnswer:
        end = CallOutcome.CANCELLED
        retry_after = None
        try:
            answer = await self._send(assignment)
            self._check(answer)
            end = CallOutcome.DONE
        except EndpointFailure as failure:
            end = failure.end
            retry_after = failure.retry_after
            raise
        finally:
            self.parts.dispatcher.finish(assignment.call, end, retry_after=retry_after)
        return answer

    async def _send(self, assignment: Assignment) -> PlainAnswer:
        settings = endpoint_settings(self.parts.configuration(), assignment)
        with (
            span("dispatch.attempt", endpoint=assignment.endpoint),
            self.parts.timed("service_call"),
        ):
            return await self.parts.services.send(
                settings.url, self._request(), self._seconds(), self._note_sending
            )

    def _request(self) -> PlainRequest:
        request = self.exchange.request
        return PlainRequest(
            method=request.method,
            path=self.exchange.rest,
            query=request.query,
            headers=clean_headers(request.headers),
            body=request.body,
        )

    def _seconds(self) -> float:
        seconds = self.parts.seconds_left(self.exchange)
        if self.idempotent:
            limits = self.parts.configuration().limits
            seconds = min(seconds, limits.progress_seconds)
        return seconds

    def _note_sending(self) -> None:
        self.exchange.sent = True

    def _check(self, answer: PlainAnswer) -> None:
        """Raise if an answer is not one to pass on."""
        status = answer.status
        message = f"Status {status}: {answer.body[:300]!r}"
        retry_after = parse_retry_after(answer.headers.get("Retry-After"))
        refused = status == _TOO_MANY or (self.idempotent and status == _UNAVAILABLE)
        if refused:
            raise EndpointFailure(
                message, CallOutcome.REFUSED, Ran.NO, status, retry_after
            )
        if status >= 500 or status == _REQUEST_TIMEOUT:
            raise EndpointFailure(message, CallOutcome.BROKEN, Ran.UNKNOWN, status)

    async def _after(self, assignment: Assignment, failure: EndpointFailure) -> float:
        """Return the seconds to wait before the next attempt, or refuse."""
        await self.attempts.failed(assignment, failure)
        if not self.idempotent and self.exchange.sent:
            raise self._final(failure)
        delay = self.attempts.retry_delay(assignment)
        if delay is None:
            raise self.attempts.refusal(failure)
        return delay

    def _final(self, failure: EndpointFailure) -> Refusal:
        if failure.ran is Ran.NO:
            return self.attempts.refusal(failure)
        sentence = "The service may have acted; what became of it is not known."
        return Refusal("outcome_unknown", sentence, _BAD_GATEWAY, Ran.UNKNOWN)

    async def _deliver(self, assignment: Assignment, answer: PlainAnswer) -> None:
        headers = {**answer.headers, ENDPOINT_HEADER: assignment.endpoint}
        self.exchange.started = True
        await self.exchange.responder.start(answer.status, headers)
        if answer.body:
            await self.exchange.responder.write(answer.body)
        await self.exchange.responder.finish()
