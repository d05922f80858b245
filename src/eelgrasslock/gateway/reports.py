"""What became of each request: one log line and a few metrics."""

from attrs import define
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.gateway.messages import GatewayRequest
from eelgrasslock.gateway.passage import Passage
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

_log = logger.bind(part="requests")
_NO_ROUTE = "-"
_MILLISECONDS = 1_000


@define(eq=False)
class Report:
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
    passage: Passage | None = None

    def served(self) -> None:
        """Note that an endpoint's answer was handed on whole."""
        self.outcome = "served"
        self.reason = "answered"
        self.sentence = "The endpoint's answer was handed on."

    def refused(self, refusal: Refusal) -> None:
        """Note an answer of our own."""
        self.outcome = "refused"
        self.reason = refusal.code
        self.sentence = refusal.sentence
        self.refusal = refusal

    def cut(self, refusal: Refusal | None, sentence: str) -> None:
        """Note that an answer broke off after its beginning."""
        self.outcome = "cut"
        self.reason = refusal.code if refusal is not None else "broken_off"
        self.sentence = sentence


class Reporter:
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

    def write(self, report: Report) -> None:
        """Write one line and count the request."""
        seconds = self.clock.monotonic() - report.request.received
        fields = _request_fields(report.request, seconds)
        fields |= {"outcome": report.outcome, "reason": report.reason}
        if report.refusal is not None:
            fields["status"] = report.refusal.status
            fields["ran"] = report.refusal.ran.value
            fields["retry_after"] = report.refusal.retry_after
        route = _NO_ROUTE
        if report.passage is not None:
            fields = _passage_fields(report.passage) | fields
            route = self.metrics.route_label(report.passage.route.name)
            kind = report.passage.kind
            self.metrics.request_seconds.labels(kind).observe(seconds)
        self.metrics.requests.labels(route, report.outcome, report.reason).inc()
        _log.bind(**fields).info("{}", report.sentence)


def _request_fields(request: GatewayRequest, seconds: float) -> dict[str, object]:
    return {
        "request": request.id,
        "program": request.program,
        "session": request.session,
        "ms": round(seconds * _MILLISECONDS),
        "patience_ms": _milliseconds(request.patience_seconds),
        "finish_ms": _milliseconds(request.finish_seconds),
    }


def _passage_fields(passage: Passage) -> dict[str, object]:
    return {
        "route": passage.route.name,
        "service": passage.service.name,
        "version": passage.version,
        "endpoint": passage.endpoint,
        "sent": passage.sent,
        "waited_ms": round(passage.waited_seconds * _MILLISECONDS),
        "tokens": passage.tokens_used,
        "status": passage.status,
    }


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * _MILLISECONDS)
