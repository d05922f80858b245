"""What became of each request: one log line and a few metrics."""

from attrs import define
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.gateway.messages import GatewayRequest
from eelgrasslock.gateway.request_context import RequestContext
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

_log = logger.bind(part="requests")
_NO_ROUTE = "-"
_MILLISECONDS = 1_000


@define(eq=False)
class AccessLogEntry:
    """What is known of a request so far.

    Attributes
    ----------
    request : GatewayRequest
        The request.
    outcome : str
        ``served``, ``refused``, ``cut`` or, as long as it has none, ``left``.
    reason : str
        Why it was refused or cut, in one word.
    sentence : str
        The same for people.
    refusal : Refusal or None
        The answer, if it was refused.
    passage : Passage or None
        Its way, once it has a route.
    """

    request: GatewayRequest
    outcome: str = "left"
    reason: str = "caller_left"
    sentence: str = "The caller left before its answer was whole."
    refusal: Refusal | None = None
    context: RequestContext | None = None

    def mark_served(self) -> None:
        """Note that an endpoint's answer was handed on whole."""
        self.outcome = "served"
        self.reason = "answered"
        self.sentence = "The endpoint's answer was handed on."

    def mark_refused(self, refusal: Refusal) -> None:
        """Note an answer of our own."""
        self.outcome = "refused"
        self.reason = refusal.code
        self.sentence = refusal.sentence
        self.refusal = refusal

    def mark_truncated(self, refusal: Refusal | None, sentence: str) -> None:
        """Note that an answer broke off after its beginning."""
        self.outcome = "cut"
        self.reason = refusal.code if refusal is not None else "broken_off"
        self.sentence = sentence


class AccessLogger:
    """Writes reports down.

    Parameters
    ----------
    metrics : GatewayMetrics
        Counts them.
    clock : Clock
        The time.
    """

    def __init__(self, metrics: GatewayMetrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock

    def write(self, log_entry: AccessLogEntry) -> None:
        """Write one line and count the request."""
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
        "program": request.program,
        "session": request.session,
        "ms": round(seconds * _MILLISECONDS),
        "patience_ms": _milliseconds(request.caller_timeout_seconds),
        "finish_ms": _milliseconds(request.program_time_left_seconds),
    }


def _context_fields(context: RequestContext) -> dict[str, object]:
    return {
        "route": context.route.name,
        "service": context.service.name,
        "version": context.configuration_version,
        "endpoint": context.endpoint,
        "sent": context.possible_executions,
        "waited_ms": round(context.queued_seconds * _MILLISECONDS),
        "tokens": context.tokens_used,
        "status": context.response_status,
    }


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * _MILLISECONDS)
