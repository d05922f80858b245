"""The scheduler's state of one endpoint."""

import math
import random
from collections import deque

from attrs import define, frozen

from eelgrasslock.configuration.settings import EndpointSettings, ServiceKind
from eelgrasslock.scheduling.calls import Call, LoadReport
from eelgrasslock.scheduling.circuit_breaker import CircuitBreaker
from eelgrasslock.scheduling.endpoint_capacity import EndpointCapacity
from eelgrasslock.scheduling.request_tokens import RequestTokens

CONFIGURATION_SOURCE = "configuration"

_MAX_HISTORY_ENTRIES = 256
_RUN_TIME_SMOOTHING = 0.1
_SLOWNESS_RECOVERY_RATE = 0.01
_MIN_SLOWNESS = 0.5
_MAX_SLOWNESS = 20.0
_SLOWNESS_MEMORY_SECONDS = 10.0
_INITIAL_ENGINE_SECONDS = 5.0
_INITIAL_PLAIN_SECONDS = 0.1


@define(eq=False)
class RunningCall:
    """A call in flight.

    Attributes
    ----------
    call : Call
        The call.
    keys : tuple of int
        Hashes of its prompt's chunks.
    started_at : float
        Time of its assignment on the monotonic clock, in seconds.
    cached_tokens, uncached_tokens : int
        Parts of the prompt that were expected in the cache, and not, at its
        assignment.
    queued_prefill_tokens : int
        Prompt tokens that the endpoint still had to compute before its own.
    batch_size : int
        Estimated calls in flight on the endpoint at its assignment.
    decoding : bool
        Whether the first token has been received.
    crash_counted : bool
        Whether a crash of its endpoint has been recorded.
    """

    call: Call
    keys: tuple[int, ...]
    started_at: float
    cached_tokens: int
    uncached_tokens: int
    queued_prefill_tokens: int = 0
    batch_size: int = 0
    decoding: bool = False
    crash_counted: bool = False


@frozen(kw_only=True)
class EndpointView:
    """An endpoint's state for operators.

    Attributes
    ----------
    endpoint, service, domain : str
        The endpoint, its service and its failure domain.
    in_flight : int
        Number of calls that this daemon runs on it.
    load : int
        Estimated number of calls of all daemons.
    breaker : str
        ``closed``, ``open`` or ``half_open``.
    leaving : tuple of str
        The sources that report it as leaving.
    parked_seconds : float
        Remaining time for which it asked to receive no calls.
    slowness : float
        Ratio of its run times to those expected from its settings.
    learned_limit : float or None
        Calls of all daemons that it takes well, None if that is not learned.
    """

    endpoint: str
    service: str
    domain: str
    in_flight: int
    load: int
    breaker: str
    leaving: tuple[str, ...]
    parked_seconds: float
    slowness: float
    learned_limit: float | None = None


class EndpointState:
    """State of one endpoint: calls in flight, load, health and measured speed.

    Parameters
    ----------
    name : str
        The endpoint's id.
    settings : EndpointSettings
        Its settings.
    kind : ServiceKind
        Kind of its service.
    rng : random.Random
        Source of the jitter of its circuit breaker.
    """

    def __init__(
        self,
        name: str,
        settings: EndpointSettings,
        kind: ServiceKind,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.settings = settings
        self.kind = kind
        self.breaker = CircuitBreaker(rng)
        self.running: dict[str, RunningCall] = {}
        self.prefill_tokens = 0
        self.leaving_sources: set[str] = set()
        self.backoff_until = 0.0
        self.suspect_call_id = ""
        self.live_tokens = 0
        self.slowness = 1.0
        self.service_seconds = (
            _INITIAL_ENGINE_SECONDS
            if kind is ServiceKind.ENGINE
            else _INITIAL_PLAIN_SECONDS
        )
        self.report: LoadReport | None = None
        self.reported_others_in_flight = 0.0
        self.in_flight_by_peer: dict[str, int] = {}
        self.peers_in_flight = 0
        self.peers_updated_at = 0.0
        self.tokens: RequestTokens | None = None
        self.capacity: EndpointCapacity | None = None
        self.ran_at = float("-inf")
        self.borrowable_slots = 0
        self.borrowable_updated_at = float("-inf")
        self._in_flight_history: deque[tuple[float, int]] = deque(
            maxlen=_MAX_HISTORY_ENTRIES
        )

    def has_version(self, version: str) -> bool:
        """Return whether the endpoint's software is of a version, empty for any."""
        return not version or self.settings.version == version

    def is_open(self, now: float) -> bool:
        """Return whether the endpoint accepts calls, regardless of free slots."""
        return (
            not self.leaving_sources
            and self.backoff_until <= now
            and self.breaker.allows(now)
            and (self.capacity is None or not self.capacity.is_ejected(now))
        )

    @property
    def slot_limit(self) -> int:
        """Calls of all daemons that may be sent to the endpoint."""
        limit = self.settings.batch_limit
        if self.capacity is None:
            return limit
        return max(1, round(limit * self.capacity.concurrency.share))

    def comfortable_calls(self, now: float) -> float:
        """Return the calls beyond which a further one has to wait there."""
        if self.capacity is None:
            return self.settings.batch_limit
        return self.capacity.limit(now)

    @property
    def batch_slots(self) -> int:
        """Calls that the endpoint runs at once, by its reports if they are used."""
        if self.capacity is None:
            return self.settings.batch_limit
        return self.capacity.concurrency.slots

    def has_token(self, now: float) -> bool:
        """Return whether its limit, if it named one, allows a request now."""
        return self.tokens is None or self.tokens.available(now) > 0

    def token_wait(self, ahead: int, now: float) -> float:
        """Return the expected seconds until its limit allows a request.

        Parameters
        ----------
        ahead : int
            Number of calls that are sent before it.
        now : float
            Time on the monotonic clock, in seconds.
        """
        return 0.0 if self.tokens is None else self.tokens.wait_seconds(ahead, now)

    def opens_at(self) -> float | None:
        """Return when it may accept calls again, or None if that is unknown."""
        if self.leaving_sources:
            return None
        times = [self.backoff_until, self.breaker.open_until or 0.0]
        if self.capacity is not None:
            outliers = self.capacity.service.outliers
            times.append(outliers.ejected_until(self.name))
        return max(times)

    @property
    def others_in_flight(self) -> int:
        """Calls of other daemons, from the newer of peers' and endpoint's reports."""
        if self.report is not None and self.report.time >= self.peers_updated_at:
            return round(self.reported_others_in_flight)
        return self.peers_in_flight

    def load(self, corrected: bool = True) -> int:
        """Return the estimated number of calls in flight of all daemons."""
        if not corrected:
            report = self.report
            return report.running + report.queued if report is not None else 0
        return len(self.running) + self.others_in_flight

    def start(self, running: RunningCall, now: float, wall_time: float) -> None:
        """Record a call that is sent."""
        self.running[running.call.id] = running
        self.prefill_tokens += running.uncached_tokens
        self.breaker.record_sent(running.call.id, now)
        self._in_flight_history.append((wall_time, len(self.running)))

    def mark_decoding(self, running: RunningCall) -> None:
        """Record the first token of a call."""
        if not running.decoding:
            running.decoding = True
            self.prefill_tokens -= running.uncached_tokens

    def finish(self, call_id: str, wall_time: float) -> RunningCall:
        """Remove a call that has ended, and return it."""
        running = self.running.pop(call_id)
        self.mark_decoding(running)
        if self.suspect_call_id == call_id:
            self.suspect_call_id = ""
        self._in_flight_history.append((wall_time, len(self.running)))
        return running

    def apply_load_report(self, report: LoadReport) -> None:
        """Apply a load report, unless it is older than the last one.

        While no call runs, `slowness` moves back towards 1.0, so that an endpoint
        that was slow is tried again.
        """
        if self.report is not None and report.time < self.report.time:
            return
        self.report = report
        total = report.running + report.queued
        self.reported_others_in_flight = float(
            max(0, total - self._own_in_flight_at(report.time))
        )
        if not self.running:
            self.slowness += _SLOWNESS_RECOVERY_RATE * (1.0 - self.slowness)

    def record_capacity(self, report: LoadReport, now: float) -> None:
        """Record the slots and the slowdown of a report, if they are used."""
        if self.capacity is None:
            return
        self.capacity.concurrency.set_slots(report.slots)
        if report.slowdown is not None:
            self.capacity.slowdown.record(report.slowdown, now)

    def restart(self, breaker: CircuitBreaker, now: float) -> None:
        """Take calls again after a restart, step by step if capacity is learned."""
        self.breaker = breaker
        if self.capacity is not None:
            self.capacity.slow_start.begin(now)

    def update_peer(self, incarnation: str, count: int, wall_time: float) -> None:
        """Record how many calls a peer runs on the endpoint."""
        previous = self.in_flight_by_peer.get(incarnation, 0)
        if count:
            self.in_flight_by_peer[incarnation] = count
        else:
            self.in_flight_by_peer.pop(incarnation, None)
        self.peers_in_flight += count - previous
        self.peers_updated_at = wall_time

    def record_run_time(self, seconds: float, expected: float) -> None:
        """Update the averages with the measured and expected run time of a call."""
        self.service_seconds += _RUN_TIME_SMOOTHING * (seconds - self.service_seconds)
        if expected > 0:
            ratio = seconds / expected
            self.slowness += _RUN_TIME_SMOOTHING * (ratio - self.slowness)
            self.slowness = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, self.slowness))

    def current_slowness(self, now: float) -> float:
        """Return `slowness`; where capacity is learned, it is forgotten with time."""
        if self.capacity is None:
            return self.slowness
        age = max(0.0, now - self.ran_at)
        weight = math.exp(-age / _SLOWNESS_MEMORY_SECONDS)
        return 1.0 + weight * (self.slowness - 1.0)

    def view(self, now: float) -> EndpointView:
        """Return the state as shown to operators."""
        return EndpointView(
            endpoint=self.name,
            service=self.settings.service,
            domain=self.settings.domain,
            in_flight=len(self.running),
            load=self.load(),
            breaker=self.breaker.state(now).value,
            leaving=tuple(sorted(self.leaving_sources)),
            parked_seconds=max(0.0, self.backoff_until - now),
            slowness=self.slowness,
            learned_limit=None if self.capacity is None else self.capacity.limit(now),
        )

    def _own_in_flight_at(self, wall_time: float) -> int:
        for time, count in reversed(self._in_flight_history):
            if time <= wall_time:
                return count
        return 0 if self._in_flight_history else len(self.running)
