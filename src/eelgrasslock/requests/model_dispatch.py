"""Running a model call on engines until its answer is whole."""

import asyncio
import contextlib
from typing import Any

from eelgrasslock.endpoints.endpoint_failure import EndpointFailure, readable_answer
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.aliases import resolve_models
from eelgrasslock.requests.attempts import Attempts, DispatchParts, endpoint_settings
from eelgrasslock.requests.exchange import CallResult, Exchange
from eelgrasslock.requests.relay import AnswerRelay
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import Assignment, CallOutcome
from eelgrasslock.scheduling.dispatch import NO_USAGE
from eelgrasslock.telemetry.tracing import span

_MILLISECONDS = 1_000.0
_NOT_FOUND = 404


class ModelCall:
    """One model call, over as many attempts as it takes.

    An attempt that breaks is made again on another endpoint within the retry
    budgets. If the caller has seen part of the answer, the new attempt has to
    begin with exactly that part; otherwise the answer ends with an error. An
    attempt whose end was not seen counts with its worst case of tokens.

    Parameters
    ----------
    parts : DispatchParts
        What the call needs.
    exchange : Exchange
        The call.

    Raises
    ------
    Refusal
        If the configuration no longer has the model.
    """

    def __init__(self, parts: DispatchParts, exchange: Exchange) -> None:
        self.parts = parts
        self.exchange = exchange
        self.attempts = Attempts(exchange, parts)
        configuration = parts.configuration()
        self.models = resolve_models(configuration, exchange.model)
        if not self.models:
            sentence = f"No model is named {exchange.model!r}."
            raise Refusal("unknown_model", sentence, _NOT_FOUND)
        self.started = parts.clock.monotonic()
        id = f"chatcmpl-{self.attempts.id}"
        self.relay = AnswerRelay(exchange, id, int(parts.clock.now()))

    async def run(self) -> None:
        """Serve the call to its end.

        Raises
        ------
        Refusal
            If it could not be served. Where the answer has begun, the caller
            has got it as an error event already.
        """
        try:
            result = await self._answer_in_time()
            for settle in self.exchange.before_final:
                await settle(result)
        except Refusal as refusal:
            if self.exchange.started:
                await self.relay.fail(refusal)
            raise
        await self.relay.finish(result)
        self._measure(result.usage)

    async def _answer_in_time(self) -> CallResult:
        seconds = self.parts.seconds_left(self.exchange)
        try:
            async with asyncio.timeout(seconds):
                return await self._answer()
        except TimeoutError as error:
            raise self.attempts.timed_out() from error

    async def _answer(self) -> CallResult:
        while True:
            model, assignment = await self._acquire()
            try:
                return await self._attempt(assignment, model)
            except EndpointFailure as failure:
                delay = await self._after(assignment, failure)
            await self.parts.clock.sleep(delay)

    async def _acquire(self) -> tuple[str, Assignment]:
        """Wait for an endpoint of the first model that gets one."""
        while True:
            model = self.models[0]
            service = self._service(model)
            try:
                return model, await self.attempts.acquire(service, model)
            except Refusal:
                if len(self.models) == 1:
                    raise
            self.models.pop(0)

    def _service(self, model: str) -> str:
        settings = self.parts.configuration().models.get(model)
        return settings.service if settings else self.exchange.service

    async def _after(self, assignment: Assignment, failure: EndpointFailure) -> float:
        """Return the seconds to wait before the next attempt, or refuse."""
        await self.attempts.failed(assignment, failure)
        if failure.callers_fault or not self._fits():
            raise self.attempts.refusal(failure)
        delay = self.attempts.retry_delay(assignment)
        if delay is None:
            raise self.attempts.refusal(failure)
        if len(self.models) > 1:
            self.models.pop(0)
        return delay

    def _fits(self) -> bool:
        allowance = self.exchange.token_allowance
        if not allowance:
            return True
        return self.exchange.tokens_used + self._worst_tokens() <= allowance

    def _worst_tokens(self) -> int:
        return self.exchange.prompt_tokens + self.exchange.max_tokens

    async def _attempt(self, assignment: Assignment, model: str) -> CallResult:
        end = CallOutcome.CANCELLED
        usage = NO_USAGE
        retry_after = None
        spent = self._worst_tokens()
        sent_before = self.exchange.sent
        self.exchange.sent = True
        try:
            usage = await self._stream(assignment, model)
            end = CallOutcome.DONE
            spent = usage.prompt_tokens + usage.completion_tokens
        except EndpointFailure as failure:
            end = failure.end
            retry_after = failure.retry_after
            if failure.ran is Ran.NO:
                spent = 0
                self.exchange.sent = sent_before
            raise
        finally:
            self.exchange.tokens_used += spent
            self.parts.dispatcher.finish(assignment.call, end, usage, retry_after)
        return self.relay.result(assignment, usage, self.exchange.tokens_used)

    async def _stream(self, assignment: Assignment, model: str) -> Usage:
        settings = endpoint_settings(self.parts.configuration(), assignment)
        self.relay.begin(assignment.endpoint)
        with (
            span("dispatch.attempt", endpoint=assignment.endpoint),
            self.parts.timed("engine_call"),
        ):
            chunks = self.parts.engines.complete(
                settings.url,
                self._body(model),
                self.exchange.program,
                assignment.predicted_seconds,
            )
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    await self._take(assignment, chunk)
        with readable_answer():
            return self.relay.end()

    async def _take(self, assignment: Assignment, chunk: dict[str, Any]) -> None:
        before = self.relay.tokens
        with readable_answer():
            await self.relay.take(chunk)
        after = self.relay.tokens
        if after == before:
            return
        self.parts.dispatcher.scheduler.progress(assignment.call.id, after)
        if after == 1:
            self._time("first_token")

    def _body(self, model: str) -> dict[str, Any]:
        body = {**self.exchange.body, "model": model}
        if "max_completion_tokens" not in body:
            body["max_tokens"] = self.exchange.max_tokens
        return body

    def _time(self, name: str) -> None:
        if self.parts.metrics is not None:
            elapsed = self.parts.clock.monotonic() - self.started
            self.parts.metrics.timing(name, elapsed * _MILLISECONDS)

    def _measure(self, usage: Usage) -> None:
        metrics = self.parts.metrics
        if metrics is None:
            return
        metrics.incr("prompt_tokens", usage.prompt_tokens)
        metrics.incr("cached_tokens", usage.cached_tokens)
        metrics.incr("completion_tokens", usage.completion_tokens)
