"""Forwards a request to an endpoint and retries it on others where allowed."""

import asyncio

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.exchanges.attempt_result import AttemptOutcome, AttemptResult
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.failures.link_monitor import LinkMonitor
from eelgrasslock.forwarding.attempts import AttemptRunner
from eelgrasslock.relaying.peer_forwarder import NO_LINKS, PeerForwarder
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.requests.usage import Usage
from eelgrasslock.responses.responder import ResponseTruncated
from eelgrasslock.routing.routes import RouteKind
from eelgrasslock.scheduling.calls import Assignment, Call, CallOutcome
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics
from eelgrasslock.turns.prompts import prompt_keys
from eelgrasslock.workspaces.access import WorkspaceAccess

MAX_REFUSED_ATTEMPTS = 4
INTERNAL_ERROR_STATUS = 500
FULL_ENDPOINT_RETRY_SECONDS = 0.1
NO_ENDPOINT_RETRY_SECONDS = 0.25
QUARANTINED = "quarantined"
QUARANTINE_RETRY_SECONDS = 2.0

_log = logger.bind(part="forwarder")

_CALL_OUTCOMES = {
    AttemptOutcome.SERVED: CallOutcome.DONE,
    AttemptOutcome.NOT_SENT: CallOutcome.NOT_SENT,
    AttemptOutcome.NO_LINK: CallOutcome.CANCELLED,
    AttemptOutcome.NOT_RUN: CallOutcome.REFUSED,
    AttemptOutcome.BROKEN: CallOutcome.BROKEN,
    AttemptOutcome.CRASHED: CallOutcome.CRASHED,
    AttemptOutcome.UNSOUND: CallOutcome.BROKEN,
    AttemptOutcome.SILENT: CallOutcome.SILENT,
}


class Forwarder:
    """Selects endpoints through the scheduler and makes the attempts.

    Parameters
    ----------
    dispatcher : Dispatcher
        Queues calls until the scheduler assigns an endpoint.
    scheduler : Scheduler
        Selects endpoints.
    attempt_runner : AttemptRunner
        Sends requests to endpoints.
    links : LinkMonitor
        Says whether this daemon has lost its links to the endpoints.
    peer_forwarder : PeerForwarder
        Passes requests on to peers meanwhile.
    access : WorkspaceAccess
        Says whether a request that has waited may still run.
    clock : Clock
        The source of time.
    metrics : GatewayMetrics
        Counts attempts and records queueing times.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        attempt_runner: AttemptRunner,
        links: LinkMonitor,
        peer_forwarder: PeerForwarder,
        access: WorkspaceAccess,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self.metrics = metrics
        self.dispatcher = dispatcher
        self.scheduler = scheduler
        self.attempt_runner = attempt_runner
        self.links = links
        self.peer_forwarder = peer_forwarder
        self.access = access
        self.clock = clock

    def suggest(self, context: RequestContext) -> str:
        """Return the endpoint that a request would go to now, empty for none."""
        return self.scheduler.suggest(self._make_call(context, 0))

    def limited_wait_ratio(self, context: RequestContext) -> float:
        """Return the calls that limits keep waiting for each that runs."""
        service = context.service
        model = service.name if service.engine else ""
        return self.scheduler.limited_calls.wait_ratio(service.name, model)

    async def forward(self, context: RequestContext) -> None:
        """Send a request to endpoints until one response has been relayed.

        Raises
        ------
        Refusal
            If no endpoint gave a final response.
        ResponseTruncated
            If a response failed after a part of it was relayed.
        """
        remaining_seconds = context.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining_seconds):
                await self._forward(context)
        except TimeoutError as error:
            if context.responder.started:
                raise ResponseTruncated(
                    "The request timed out during the response."
                ) from error
            raise _timed_out(context) from error

    async def _forward(self, context: RequestContext) -> None:
        refused_attempts = 0
        while True:
            if not self.links.are_old_alive:
                await self._forward_through_peer(context)
                return
            attempt = refused_attempts + context.possible_executions
            call = self._make_call(context, attempt)
            queued_at = self.clock.monotonic()
            try:
                assignment = await self._acquire(context, call)
            except Refusal:
                if not self.links.is_lost:
                    raise
                await self._forward_through_peer(context)
                return
            queued_seconds = self.clock.monotonic() - queued_at
            context.queued_seconds += queued_seconds
            self.metrics.queue_seconds.labels(context.route_kind).observe(
                queued_seconds
            )
            context.endpoint = assignment.endpoint
            result = await self._attempt(context, assignment)
            if result.outcome is AttemptOutcome.SERVED:
                return
            if result.outcome is AttemptOutcome.NO_LINK:
                await self._forward_through_peer(context)
                return
            context.tried_endpoints.add(assignment.endpoint)
            if result.outcome in (AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT):
                refused_attempts += 1
                if refused_attempts >= MAX_REFUSED_ATTEMPTS:
                    raise _no_endpoint(context)
            elif not _may_retry(context, result):
                raise _response_lost(result)

    async def _forward_through_peer(self, context: RequestContext) -> None:
        """Let a peer that reaches the endpoints serve a request, one hop only."""
        if context.relayed_by:
            raise Refusal(NO_LINKS, "This daemon has lost its links, too.", 503)
        await self.peer_forwarder.forward(context)

    async def _acquire(self, context: RequestContext, call: Call) -> Assignment:
        """Wait for the scheduler to assign an endpoint.

        The refusal of a retry does not say that the request has not run. A
        quarantined request gets a retry time: a request that was only in flight
        during two crashes is cleared later.
        """
        try:
            return await self.dispatcher.acquire(call)
        except Refusal as refusal:
            if context.possible_executions and refusal.ran is Ran.NO:
                raise _unknown_outcome(refusal) from refusal
            if refusal.code != QUARANTINED:
                raise
            if context.possible_executions:
                raise _unknown_outcome(refusal) from refusal
            raise Refusal(
                QUARANTINED, refusal.sentence, 503, Ran.NO, QUARANTINE_RETRY_SECONDS
            ) from refusal

    def _make_call(self, context: RequestContext, attempt: int) -> Call:
        request = context.request
        route = context.route
        is_lookup = route.kind is RouteKind.SAFE
        return Call(
            id=f"{request.id}.{attempt}.{id(context):x}",
            program=request.program_key or request.id,
            service=context.service.name,
            model=context.service.name if context.service.engine else "",
            call_class=CallClass.LOOKUP if is_lookup else CallClass.CALLER_WAITING,
            keys=prompt_keys(request.prompt_parts),
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.output_tokens,
            deadline=context.deadline,
            preferred_endpoint=context.preferred_endpoint,
            digest=context.digest,
            wide_digests=context.wide_digests,
            # Independent lookups that are merely equal don't wait for each other.
            limits_copies=bool(request.body),
            excluded=frozenset(context.tried_endpoints),
            version=context.version,
            kind=route.name,
            workspace=request.workspace,
            has_lower_priority=bool(request.workspace)
            and self.access.directory().has_lower_priority(request.workspace),
        )

    def _check_access(self, context: RequestContext) -> None:
        """Refuse a request whose key was taken away while it waited."""
        try:
            self.access.check_still_admitted(context.request)
        except Refusal as refusal:
            if context.possible_executions:
                raise _unknown_outcome(refusal) from refusal
            raise

    async def _attempt(
        self, context: RequestContext, assignment: Assignment
    ) -> AttemptResult:
        call = assignment.call
        outcome = CallOutcome.CANCELLED
        usage = Usage()
        retry_seconds = None
        try:
            self._check_access(context)
            result = await self.attempt_runner.run(context, assignment.endpoint)
            outcome = call_outcome(context, result)
            usage = Usage(
                prompt_tokens=call.prompt_tokens,
                completion_tokens=context.tokens_used,
                cached_tokens=assignment.cached_tokens,
            )
            if result.outcome is AttemptOutcome.NOT_RUN:
                retry_seconds = FULL_ENDPOINT_RETRY_SECONDS
            return result
        except ResponseTruncated:
            outcome = (
                CallOutcome.CRASHED if context.endpoint_crashed else CallOutcome.BROKEN
            )
            raise
        finally:
            self.dispatcher.finish(call, outcome, usage, retry_seconds)
            self.metrics.attempts.labels(outcome.value).inc()
            if outcome not in (CallOutcome.DONE, CallOutcome.FAILED):
                self._log_attempt(context, assignment, outcome)

    def _log_attempt(
        self, context: RequestContext, assignment: Assignment, outcome: CallOutcome
    ) -> None:
        _log.bind(
            request=context.request.id,
            program=context.request.program,
            endpoint=assignment.endpoint,
            end=outcome.value,
            sent=context.possible_executions,
            tokens=context.tokens_used,
        ).info("Attempt failed without a complete response. {}", assignment.reason)


def call_outcome(context: RequestContext, result: AttemptResult) -> CallOutcome:
    """Return the outcome of an attempt; an error that was relayed is a failure."""
    is_relayed = result.outcome is AttemptOutcome.SERVED
    if is_relayed and context.response_status == INTERNAL_ERROR_STATUS:
        return CallOutcome.FAILED
    return _CALL_OUTCOMES[result.outcome]


def _may_retry(context: RequestContext, result: AttemptResult) -> bool:
    route = context.route
    if result.outcome is AttemptOutcome.SILENT:
        return True
    return route.is_idempotent and context.possible_executions < route.max_endpoints


def _no_endpoint(context: RequestContext) -> Refusal:
    ran = Ran.NO if context.possible_executions == 0 else Ran.UNKNOWN
    status = 503 if ran is Ran.NO else 502
    sentence = "No endpoint took the request."
    return Refusal("no_endpoint", sentence, status, ran, NO_ENDPOINT_RETRY_SECONDS)


def _unknown_outcome(refusal: Refusal) -> Refusal:
    """Return the refusal of a request that an earlier attempt may have run."""
    return Refusal(refusal.code, refusal.sentence, 502, Ran.UNKNOWN)


def _response_lost(result: AttemptResult) -> Refusal:
    sentence = f"The endpoint's answer was lost: {result.outcome.value}."
    return Refusal("answer_lost", sentence, 502, Ran.UNKNOWN)


def _timed_out(context: RequestContext) -> Refusal:
    ran = Ran.NO if context.possible_executions == 0 else Ran.UNKNOWN
    return Refusal("too_late", "No answer came in time.", 504, ran)
