"""A circuit breaker for one endpoint, with a single probe."""

import enum
import random
from collections import deque

FAILURE_THRESHOLD = 3
FAILURE_WINDOW_SECONDS = 30.0
INITIAL_OPEN_SECONDS = 1.0
MAX_OPEN_SECONDS = 10.0
MAX_OUTCOMES = 20
FAILURE_RATE_THRESHOLD = 0.3
_OPEN_JITTER = 0.2


class BreakerState(enum.Enum):
    """Whether an endpoint is asked."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stops calls to an endpoint that keeps failing.

    It opens after `FAILURE_THRESHOLD` failures inside `FAILURE_WINDOW_SECONDS`, if
    these are a good share of the last outcomes, or at once on a crash: an endpoint
    that loses an answer now and then is still worth its capacity, above all
    under load. When its time is over, exactly one call is let through as a
    probe: its success closes the breaker, its failure opens it for longer.

    Parameters
    ----------
    rng : random.Random
        Spreads the end of the open time, so that daemons don't probe together.
    """

    __slots__ = (
        "failure_times",
        "open_seconds",
        "open_until",
        "outcomes",
        "probe_call_id",
        "rng",
    )

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failure_times: deque[float] = deque(maxlen=FAILURE_THRESHOLD)
        self.outcomes: deque[bool] = deque(maxlen=MAX_OUTCOMES)
        self.open_seconds = INITIAL_OPEN_SECONDS
        self.open_until: float | None = None
        self.probe_call_id = ""

    def state(self, now: float) -> BreakerState:
        """Return the state at a time."""
        if self.open_until is None:
            return BreakerState.CLOSED
        if now < self.open_until:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        if self.open_until is None:
            return True
        return now >= self.open_until and not self.probe_call_id

    def record_sent(self, call_id: str, now: float) -> None:
        """Note a call that is sent; in the half-open state it is the probe."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self.probe_call_id = call_id

    def record_success(self, call_id: str) -> None:
        """Note a success; that of the probe closes the breaker outright."""
        self.outcomes.append(True)
        if self.open_until is None:
            return
        if call_id == self.probe_call_id:
            self.open_until = None
            self.open_seconds = INITIAL_OPEN_SECONDS
            self.probe_call_id = ""
            self.failure_times.clear()
            self.outcomes.clear()

    def record_failure(self, call_id: str, now: float, crashed: bool = False) -> None:
        """Note a failure; a crash or a failed probe opens the breaker at once."""
        self.failure_times.append(now)
        self.outcomes.append(False)
        is_probe = bool(self.probe_call_id) and call_id == self.probe_call_id
        if crashed:
            self._open(now, MAX_OPEN_SECONDS)
        elif is_probe:
            self.open_seconds = min(MAX_OPEN_SECONDS, 2.0 * self.open_seconds)
            self._open(now, self.open_seconds)
        elif self._fails_often(now):
            self._open(now, self.open_seconds)

    def _open(self, now: float, seconds: float) -> None:
        spread = 1.0 + _OPEN_JITTER * self.rng.random()
        until = now + seconds * spread
        self.open_until = max(until, self.open_until or until)
        self.probe_call_id = ""

    def _fails_often(self, now: float) -> bool:
        recent = [
            time for time in self.failure_times if now - time <= FAILURE_WINDOW_SECONDS
        ]
        failed = self.outcomes.count(False)
        is_often = failed >= FAILURE_RATE_THRESHOLD * len(self.outcomes)
        return len(recent) >= FAILURE_THRESHOLD and is_often

    def record_inconclusive(self, call_id: str) -> None:
        """Note a call that ended without telling anything of the endpoint."""
        if call_id == self.probe_call_id:
            self.probe_call_id = ""
