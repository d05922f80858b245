"""What the scheduler knows of one endpoint."""

import random
from collections import deque

from attrs import define, frozen

from eelgrasslock.configuration.settings import EndpointSettings, ServiceKind
from eelgrasslock.scheduling.calls import Call, LoadReport
from eelgrasslock.scheduling.circuit_breaker import CircuitBreaker

CONFIGURATION_SOURCE = "configuration"

_MAX_HISTORY_ENTRIES = 256
_RUN_TIME_SMOOTHING = 0.1
_SLOWNESS_RECOVERY_RATE = 0.01
_MIN_SLOWNESS = 0.5
_MAX_SLOWNESS = 20.0
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
        Its prompt's chunk hashes.
    started_at : float
        When it was assigned, on the monotonic clock.
    cached_tokens, uncached_tokens : int
        What was expected when it was assigned.
    queued_prefill_tokens : int
        Prompt tokens that were to be computed before its own.
    batch_size : int
        Calls in the endpoint's batch when it was assigned.
    decoding : bool
        Whether the first token has come.
    crash_counted : bool
        Whether a crash of its endpoint has been noted.
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
        Which endpoint it is.
    in_flight : int
        Calls that this daemon runs on it.
    load : int
        Calls of all daemons, as estimated.
    breaker : str
        ``closed``, ``open`` or ``half_open``.
    leaving : tuple of str
        The sources that say it leaves.
    parked_seconds : float
        How long it asked to be left alone from now on.
    slowness : float
        Its run times over those expected from its settings.
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


class EndpointState:
    """One endpoint: its calls in flight, load, health and learnt speed.

    Parameters
    ----------
    name : str
        The endpoint's id.
    settings : EndpointSettings
        Its settings.
    kind : ServiceKind
        Engine or plain service.
    rng : random.Random
        For the breaker.
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
        self.borrowable_slots = 0
        self.borrowable_updated_at = float("-inf")
        self._in_flight_history: deque[tuple[float, int]] = deque(
            maxlen=_MAX_HISTORY_ENTRIES
        )

    def is_open(self, now: float) -> bool:
        """Return whether a new call may be sent, were there a free slot."""
        return (
            not self.leaving_sources
            and self.backoff_until <= now
            and self.breaker.allows(now)
        )

    def opens_at(self) -> float | None:
        """Return when it may take calls again; None if that isn't known."""
        if self.leaving_sources:
            return None
        return max(self.backoff_until, self.breaker.open_until or 0.0)

    @property
    def others_in_flight(self) -> int:
        """Calls of other daemons, from the newer of their word and the report."""
        if self.report is not None and self.report.time >= self.peers_updated_at:
            return round(self.reported_others_in_flight)
        return self.peers_in_flight

    def load(self, corrected: bool = True) -> int:
        """Return the calls in flight, of all daemons, as estimated."""
        if not corrected:
            report = self.report
            return report.running + report.queued if report is not None else 0
        return len(self.running) + self.others_in_flight

    def start(self, running: RunningCall, now: float, wall_time: float) -> None:
        """Note a call that is sent."""
        self.running[running.call.id] = running
        self.prefill_tokens += running.uncached_tokens
        self.breaker.record_sent(running.call.id, now)
        self._in_flight_history.append((wall_time, len(self.running)))

    def mark_decoding(self, running: RunningCall) -> None:
        """Note a call's first token."""
        if not running.decoding:
            running.decoding = True
            self.prefill_tokens -= running.uncached_tokens

    def finish(self, call_id: str, wall_time: float) -> RunningCall:
        """Note a call that is over."""
        running = self.running.pop(call_id)
        self.mark_decoding(running)
        if self.suspect_call_id == call_id:
            self.suspect_call_id = ""
        self._in_flight_history.append((wall_time, len(self.running)))
        return running

    def apply_load_report(self, report: LoadReport) -> None:
        """Take in a load report, unless it is older than the last one.

        While nothing runs, the learnt speed drifts back to the stated one, so
        that an endpoint that was slow is tried again.
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

    def update_peer(self, incarnation: str, count: int, wall_time: float) -> None:
        """Take in how many calls a peer runs here."""
        before = self.in_flight_by_peer.get(incarnation, 0)
        if count:
            self.in_flight_by_peer[incarnation] = count
        else:
            self.in_flight_by_peer.pop(incarnation, None)
        self.peers_in_flight += count - before
        self.peers_updated_at = wall_time

    def record_run_time(self, seconds: float, expected: float) -> None:
        """Take in how long a finished call ran, against what was expected."""
        self.service_seconds += _RUN_TIME_SMOOTHING * (seconds - self.service_seconds)
        if expected > 0:
            ratio = seconds / expected
            self.slowness += _RUN_TIME_SMOOTHING * (ratio - self.slowness)
            self.slowness = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, self.slowness))

    def view(self, now: float) -> EndpointView:
        """Return the state for operators."""
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
        )

    def _own_in_flight_at(self, wall_time: float) -> int:
        for time, count in reversed(self._in_flight_history):
            if time <= wall_time:
                return count
        return 0 if self._in_flight_history else len(self.running)
