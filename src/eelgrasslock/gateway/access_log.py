"""The access log: one log line and some metrics for each request."""

from attrs import define
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.exchanges.request_digest import body_digest
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics
from eelgrasslock.turns.turn_in_progress import TurnInProgress

_log = logger.bind(part="requests")
_NO_ROUTE = "-"
_MILLISECONDS = 1_000
MAX_TARGET_CHARACTERS = 200


@define(eq=False)
class AccessLogEntry:
    """Outcome of one request, updated while it is processed.

    Attributes
    ----------
    request : GatewayRequest
        The decoded request.
    outcome : str
        ``served``, ``refused``, ``cut`` for a truncated response, or ``left`` until
        there is another outcome.
    reason : str
        A code for the cause of the outcome.
    sentence : str
        The cause of the outcome as a sentence.
    refusal : Refusal or None
        The refusal that was sent to the caller.
    context : RequestContext or None
        The state of the request once it has a route.
    """

    request: GatewayRequest
    outcome: str = "left"
    reason: str = "caller_left"
    sentence: str = "The caller disconnected before the response was complete."
    refusal: Refusal | None = None
    context: RequestContext | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self.context is not None and self.context.possible_executions > 0

    def mark_served(self) -> None:
        """Record that an endpoint's complete response was relayed."""
        self.outcome = "served"
        self.reason = "answered"
        self.sentence = "The endpoint's response was relayed."

    def mark_refused(self, refusal: Refusal) -> None:
        """Record that the gateway refused the request."""
        self.outcome = "refused"
        self.reason = refusal.code
        self.sentence = refusal.sentence
        self.refusal = refusal

    def mark_truncated(self, refusal: Refusal | None, sentence: str) -> None:
        """Record that the response ended after a part of it was sent."""
        self.outcome = "cut"
        self.reason = refusal.code if refusal is not None else "broken_off"
        self.sentence = sentence


class AccessLogger:
    """Writes the access log and the request metrics.

    Parameters
    ----------
    metrics : GatewayMetrics
        Counts requests and records their duration.
    clock : Clock
        The source of time.
    """

    def __init__(self, metrics: GatewayMetrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock

    def write(self, log_entry: AccessLogEntry) -> None:
        """Write one log line and update the metrics."""
        seconds = self.clock.monotonic() - log_entry.request.received_at
        fields = _request_fields(log_entry.request, seconds)
        fields |= {"outcome": log_entry.outcome, "reason": log_entry.reason}
        if log_entry.refusal is not None:
            fields["status"] = log_entry.refusal.status
            fields["ran"] = log_entry.refusal.ran.value
            fields["retry_after"] = log_entry.refusal.retry_after
        route = _NO_ROUTE
        if log_entry.context is not None:
            fields = _context_fields(log_entry.context) | fields
            route = self.metrics.route_label(log_entry.context.route.name)
            kind = log_entry.context.route_kind
            self.metrics.request_seconds.labels(kind).observe(seconds)
        self.metrics.requests.labels(route, log_entry.outcome, log_entry.reason).inc()
        _log.bind(**fields).info("{}", log_entry.sentence)


def _request_fields(request: GatewayRequest, seconds: float) -> dict[str, object]:
    return {
        "request": request.id,
        "host": request.host,
        "target": request.target[:MAX_TARGET_CHARACTERS],
        "body_digest": body_digest(request.body),
        "program": request.program,
        "session": request.session,
        "workspace": request.workspace,
        "budget": request.budget_tokens,
        "resumes": request.resumed_request,
        "ms": round(seconds * _MILLISECONDS),
        "patience_ms": _milliseconds(request.caller_timeout_seconds),
        "finish_ms": _milliseconds(request.program_time_left_seconds),
    }


def _context_fields(context: RequestContext) -> dict[str, object]:
    framing = context.response_framing
    origin = context.origin
    return {
        "route": context.route.name,
        "service": context.service.name,
        "version": context.configuration_version,
        "endpoint": context.endpoint,
        "endpoint_version": context.endpoint_version,
        "through": context.relayed_through,
        "wanted_version": context.version,
        "version_source": "" if origin is None else origin.source,
        "digest": context.digest,
        "sent": context.possible_executions,
        "waited_ms": round(context.queued_seconds * _MILLISECONDS),
        "endpoints_age_ms": _milliseconds(context.endpoints_age_seconds),
        "tokens": context.tokens_used,
        "max_tokens": context.max_generated_tokens,
        "prompt_tokens": context.request.prompt_tokens,
        "status": context.response_status,
        "named_limit": context.named_limit,
        "framing": framing.value if framing is not None else None,
        "ended_by_connection": context.ended_by_connection,
        "outlived_response": context.outlived_response,
        "continuations": context.continuations,
        "in_event": context.in_event,
        "last_event": context.event_counter.last_id,
        "in_order": context.event_counter.is_ordered,
        **_turn_fields(context.turn),
    }


def _turn_fields(turn: TurnInProgress | None) -> dict[str, object]:
    if turn is None:
        return {}
    return {
        "previous_turn": turn.request.previous_turn,
        "chain_turns": len(turn.history.turns),
        "chain_bytes": turn.history.size,
        "chain_source": turn.history.source,
        "chain_ms": _milliseconds(turn.look_up_seconds),
        "store_ms": _milliseconds(turn.store_seconds),
    }


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * _MILLISECONDS)
