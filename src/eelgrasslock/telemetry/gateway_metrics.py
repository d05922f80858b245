"""Counters, gauges and histograms of a daemon that serves routes."""

import resource
from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
ROUTES_NAMED = 64
OTHER_ROUTES = "other"
_KILOBYTE = 1_024


class GatewayMetrics:
    """The metrics of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.routes: set[str] = set()
        self.requests = self._counter(
            "requests", "Requests by route, outcome and reason.", "route outcome reason"
        )
        self.request_seconds = self._histogram(
            "request_seconds", "From a request's head to its answer's end.", "kind"
        )
        self.queue_seconds = self._histogram(
            "queue_seconds", "From a request to the choice of its endpoint.", "kind"
        )
        self.first_byte_seconds = self._histogram(
            "first_byte_seconds", "From the choice to the head of the answer.", "kind"
        )
        self.attempts = self._counter(
            "attempts", "Attempts at endpoints by how they ended.", "end"
        )
        self.malformed_loads = self._counter(
            "malformed_loads", "Loads of endpoints that can't be read.", ""
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the platform's store.", "call result"
        )
        self.store_seconds = self._histogram(
            "store_seconds", "How long calls to the store took.", "call"
        )
        self.tokens = self._counter(
            "allowance_tokens", "Tokens of budgets by what became of them.", "action"
        )
        self.quota_tokens = self._counter(
            "quota_tokens", "Tokens of quotas by what became of them.", "action"
        )
        self.lag_seconds = self._histogram(
            "loop_lag_seconds", "How late the event loop runs a timer.", ""
        )
        self.gauges: list[tuple[Gauge, Callable[[], float]]] = []

    def watch(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Show what a callable returns whenever the metrics are read."""
        gauge = Gauge(f"eelgrasslock_{name}", text, registry=self.registry)
        self.gauges.append((gauge, read))

    def store_called(self, call: str, result: str, seconds: float) -> None:
        """Count a call to the platform's store."""
        self.store_calls.labels(call, result).inc()
        self.store_seconds.labels(call).observe(seconds)

    def tokens_moved(self, action: str, tokens: int) -> None:
        """Count tokens of budgets."""
        self.tokens.labels(action).inc(tokens)

    def quota_tokens_moved(self, action: str, tokens: int) -> None:
        """Count tokens of quotas."""
        self.quota_tokens.labels(action).inc(tokens)

    def route_label(self, name: str) -> str:
        """Return a route's name, or one for all beyond a bound."""
        if name in self.routes:
            return name
        if len(self.routes) >= ROUTES_NAMED:
            return OTHER_ROUTES
        self.routes.add(name)
        return name

    def text(self) -> bytes:
        """Return all metrics in the usual text format."""
        for gauge, read in self.gauges:
            gauge.set(read())
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, labels: str) -> Counter:
        return Counter(
            f"eelgrasslock_{name}", text, labels.split(), registry=self.registry
        )

    def _histogram(self, name: str, text: str, labels: str) -> Histogram:
        return Histogram(
            f"eelgrasslock_{name}",
            text,
            labels.split(),
            registry=self.registry,
            buckets=SECONDS_BUCKETS,
        )


def peak_memory_bytes() -> float:
    """Return the most memory that the process has held."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KILOBYTE
