"""What the scheduler knows of one endpoint."""

import random
from collections import deque

from attrs import define, frozen

from eelgrasslock.configuration.settings import EndpointSettings, ServiceKind
from eelgrasslock.scheduling.breaker import Breaker
from eelgrasslock.scheduling.calls import Call, LoadReport

CONFIGURED = "configuration"

_HISTORY_KEPT = 256
_LEARNING_RATE = 0.1
_FORGETTING_RATE = 0.01
_LEAST_SLOWNESS = 0.5
_MOST_SLOWNESS = 20.0
_FIRST_ENGINE_SECONDS = 5.0
_FIRST_PLAIN_SECONDS = 0.1


@define(eq=False)
class RunningCall:
    """A call in flight.

    Attributes
    ----------
    call : Call
        The call.
    keys : tuple of int
        Its prompt's chunk hashes.
    started : float
        When it was assigned, on the monotonic clock.
    cached_tokens, uncached_tokens : int
        What was expected when it was assigned.
    queued_prefill_tokens : int
        Prompt tokens that were to be computed before its own.
    batch : int
        Calls in the endpoint's batch when it was assigned.
    decoding : bool
        Whether the first token has come.
    crash_counted : bool
        Whether a crash of its endpoint has been noted.
    """

    call: Call
    keys: tuple[int, ...]
    started: float
    cached_tokens: int
    uncached_tokens: int
    queued_prefill_tokens: int = 0
    batch: int = 0
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
        self.breaker = Breaker(rng)
        self.running: dict[str, RunningCall] = {}
        self.prefill_tokens = 0
        self.leaving: set[str] = set()
        self.parked_until = 0.0
        self.suspect = ""
        self.live_tokens = 0
        self.slowness = 1.0
        self.service_seconds = (
            _FIRST_ENGINE_SECONDS
            if kind is ServiceKind.ENGINE
            else _FIRST_PLAIN_SECONDS
        )
        self.report: LoadReport | None = None
        self.reported_others = 0.0
        self.peer_counts: dict[str, int] = {}
        self.peer_total = 0
        self.peer_time = 0.0
        self.borrowable = 0
        self.renewed = float("-inf")
        self._history: deque[tuple[float, int]] = deque(maxlen=_HISTORY_KEPT)

    def is_open(self, now: float) -> bool:
        """Return whether a new call may be sent, were there a free slot."""
        return (
            not self.leaving and self.parked_until <= now and self.breaker.allows(now)
        )

    def opens_at(self) -> float | None:
        """Return when it may take calls again; None if that isn't known."""
        if self.leaving:
            return None
        return max(self.parked_until, self.breaker.open_until or 0.0)

    @property
    def others(self) -> int:
        """Calls of other daemons, from the newer of their word and the report."""
        if self.report is not None and self.report.time >= self.peer_time:
            return round(self.reported_others)
        return self.peer_total

    def load(self, corrected: bool = True) -> int:
        """Return the calls in flight, of all daemons, as estimated."""
        if not corrected:
            report = self.report
            return report.running + report.queued if report is not None else 0
        return len(self.running) + self.others

    def start(self, running: RunningCall, now: float, wall: float) -> None:
        """Note a call that is sent."""
        self.running[running.call.id] = running
        self.prefill_tokens += running.uncached_tokens
        self.breaker.sent(running.call.id, now)
        self._history.append((wall, len(self.running)))

    def decode_begins(self, running: RunningCall) -> None:
        """Note a call's first token."""
        if not running.decoding:
            running.decoding = True
            self.prefill_tokens -= running.uncached_tokens

    def end(self, call_id: str, wall: float) -> RunningCall:
        """Note a call that is over."""
        running = self.running.pop(call_id)
        self.decode_begins(running)
        if self.suspect == call_id:
            self.suspect = ""
        self._history.append((wall, len(self.running)))
        return running

    def observe(self, report: LoadReport) -> None:
        """Take in a load report, unless it is older than the last one.

        While nothing runs, the learnt speed drifts back to the stated one, so
        that an endpoint that was slow is tried again.
        """
        if self.report is not None and report.time < self.report.time:
            return
        self.report = report
        total = report.running + report.queued
        self.reported_others = float(max(0, total - self._own_at(report.time)))
        if not self.running:
            self.slowness += _FORGETTING_RATE * (1.0 - self.slowness)

    def hear_peer(self, incarnation: str, count: int, wall: float) -> None:
        """Take in how many calls a peer runs here."""
        before = self.peer_counts.get(incarnation, 0)
        if count:
            self.peer_counts[incarnation] = count
        else:
            self.peer_counts.pop(incarnation, None)
        self.peer_total += count - before
        self.peer_time = wall

    def learn(self, seconds: float, expected: float) -> None:
        """Take in how long a finished call ran, against what was expected."""
        self.service_seconds += _LEARNING_RATE * (seconds - self.service_seconds)
        if expected > 0:
            ratio = seconds / expected
            self.slowness += _LEARNING_RATE * (ratio - self.slowness)
            self.slowness = min(_MOST_SLOWNESS, max(_LEAST_SLOWNESS, self.slowness))

    def view(self, now: float) -> EndpointView:
        """Return the state for operators."""
        return EndpointView(
            endpoint=self.name,
            service=self.settings.service,
            domain=self.settings.domain,
            in_flight=len(self.running),
            load=self.load(),
            breaker=self.breaker.state(now).value,
            leaving=tuple(sorted(self.leaving)),
            parked_seconds=max(0.0, self.parked_until - now),
            slowness=self.slowness,
        )

    def _own_at(self, wall: float) -> int:
        for time, count in reversed(self._history):
            if time <= wall:
                return count
        return 0 if self._history else len(self.running)
