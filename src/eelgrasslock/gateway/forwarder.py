"""Has a request run by one endpoint after another, as far as that is allowed."""

import asyncio

import xxhash
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.gateway.attempts import AttemptEnd, AttemptResult, Attempts
from eelgrasslock.gateway.passage import Passage
from eelgrasslock.gateway.prompts import prompt_keys
from eelgrasslock.gateway.responder import AnswerCut
from eelgrasslock.gateway.routes import RouteKind
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import Assignment, Call, CallOutcome
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

MOST_REFUSALS = 4
FULL_ENDPOINT_SECONDS = 0.1
RETRY_SECONDS = 0.25
QUARANTINED = "quarantined"
QUARANTINE_RETRY_SECONDS = 2.0

_log = logger.bind(part="forwarder")

_CALL_ENDS = {
    AttemptEnd.SERVED: CallOutcome.DONE,
    AttemptEnd.NOT_SENT: CallOutcome.NOT_SENT,
    AttemptEnd.NOT_RUN: CallOutcome.REFUSED,
    AttemptEnd.BROKEN: CallOutcome.BROKEN,
    AttemptEnd.CRASHED: CallOutcome.CRASHED,
    AttemptEnd.UNSOUND: CallOutcome.BROKEN,
    AttemptEnd.SILENT: CallOutcome.SILENT,
}


class Forwarder:
    """Chooses endpoints through the scheduler and makes the attempts.

    Parameters
    ----------
    dispatcher : Dispatcher
        Waits for the scheduler's decisions.
    scheduler : Scheduler
        Decides.
    attempts : Attempts
        Sends.
    clock : Clock
        The time.
    metrics : GatewayMetrics
        Counts attempts and times waits.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        attempts: Attempts,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self.metrics = metrics
        self.dispatcher = dispatcher
        self.scheduler = scheduler
        self.attempts = attempts
        self.clock = clock

    def suggest(self, passage: Passage) -> str:
        """Return the endpoint that would run a request now, empty for none."""
        return self.scheduler.suggest(_call(passage, 0))

    async def forward(self, passage: Passage) -> None:
        """Have a request run and its answer handed on.

        Raises
        ------
        Refusal
            If no endpoint gave a final answer.
        AnswerCut
            If an answer broke off.
        """
        seconds = passage.ends_at - self.clock.monotonic()
        try:
            async with asyncio.timeout(seconds):
                await self._forward(passage)
        except TimeoutError as error:
            if passage.responder.started:
                raise AnswerCut("The time for the answer was over.") from error
            raise _too_late(passage) from error

    async def _forward(self, passage: Passage) -> None:
        refusals = 0
        while True:
            call = _call(passage, refusals + passage.sent)
            asked = self.clock.monotonic()
            assignment = await self._acquire(call)
            waited = self.clock.monotonic() - asked
            passage.waited_seconds += waited
            self.metrics.queue_seconds.labels(passage.kind).observe(waited)
            passage.endpoint = assignment.endpoint
            result = await self._attempt(passage, assignment)
            if result.end is AttemptEnd.SERVED:
                return
            passage.offered.add(assignment.endpoint)
            if result.end in (AttemptEnd.NOT_RUN, AttemptEnd.NOT_SENT):
                refusals += 1
                if refusals >= MOST_REFUSALS:
                    raise _refused_by_all(passage)
            elif not _may_go_on(passage, result):
                raise _unknown(result)

    async def _acquire(self, call: Call) -> Assignment:
        """Wait for an endpoint.

        A request that crashes endpoints may come back: one that was merely in
        flight at two crashes is cleared later.
        """
        try:
            return await self.dispatcher.acquire(call)
        except Refusal as refusal:
            if refusal.code != QUARANTINED or refusal.ran is not Ran.NO:
                raise
            raise Refusal(
                QUARANTINED, refusal.sentence, 503, Ran.NO, QUARANTINE_RETRY_SECONDS
            ) from refusal

    async def _attempt(self, passage: Passage, assignment: Assignment) -> AttemptResult:
        call = assignment.call
        end = CallOutcome.CANCELLED
        usage = Usage()
        retry_seconds = None
        try:
            result = await self.attempts.run(passage, assignment.endpoint)
            end = _CALL_ENDS[result.end]
            usage = Usage(
                prompt_tokens=call.prompt_tokens,
                completion_tokens=passage.tokens_used,
                cached_tokens=assignment.cached_tokens,
            )
            if result.end is AttemptEnd.NOT_RUN:
                retry_seconds = FULL_ENDPOINT_SECONDS
            return result
        except AnswerCut:
            end = (
                CallOutcome.CRASHED if passage.endpoint_crashed else CallOutcome.BROKEN
            )
            raise
        finally:
            self.dispatcher.finish(call, end, usage, retry_seconds)
            self.metrics.attempts.labels(end.value).inc()
            if end is not CallOutcome.DONE:
                self._log_attempt(passage, assignment, end)

    def _log_attempt(
        self, passage: Passage, assignment: Assignment, end: CallOutcome
    ) -> None:
        _log.bind(
            request=passage.request.id,
            program=passage.request.program,
            endpoint=assignment.endpoint,
            end=end.value,
            sent=passage.sent,
            tokens=passage.tokens_used,
        ).info("The attempt ended without an answer. {}", assignment.reason)


def _call(passage: Passage, attempt: int) -> Call:
    request = passage.request
    route = passage.route
    is_lookup = route.kind is RouteKind.SAFE
    return Call(
        id=f"{request.id}.{attempt}.{id(passage):x}",
        program=request.program or request.id,
        service=passage.service.name,
        model=passage.service.name if passage.service.engine else "",
        call_class=CallClass.LOOKUP if is_lookup else CallClass.CALLER_WAITING,
        keys=prompt_keys(request.parts),
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.output_tokens,
        deadline=passage.ends_at,
        preferred_endpoint=passage.home,
        digest=_digest(passage),
        excluded=frozenset(passage.offered),
    )


def _digest(passage: Passage) -> str:
    """Return what tells a request that comes again, empty for those without body.

    Requests of one digest are held back from running side by side, which would
    delay lookups that are merely alike.
    """
    request = passage.request
    if not request.body:
        return ""
    text = f"{request.method} {request.target} {request.program}".encode()
    return xxhash.xxh64_hexdigest(text + request.body)


def _may_go_on(passage: Passage, result: AttemptResult) -> bool:
    route = passage.route
    if result.end is AttemptEnd.SILENT:
        return True
    return route.may_run_again and passage.sent < route.most_endpoints


def _refused_by_all(passage: Passage) -> Refusal:
    ran = Ran.NO if passage.sent == 0 else Ran.UNKNOWN
    status = 503 if ran is Ran.NO else 502
    sentence = "No endpoint took the request."
    return Refusal("no_endpoint", sentence, status, ran, RETRY_SECONDS)


def _unknown(result: AttemptResult) -> Refusal:
    sentence = f"The endpoint's answer was lost: {result.end.value}."
    return Refusal("answer_lost", sentence, 502, Ran.UNKNOWN)


def _too_late(passage: Passage) -> Refusal:
    ran = Ran.NO if passage.sent == 0 else Ran.UNKNOWN
    return Refusal("too_late", "No answer came in time.", 504, ran)
