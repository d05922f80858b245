"""A circuit breaker for one endpoint, with a single probe."""

import enum
import random
from collections import deque

ERROR_THRESHOLD = 3
WINDOW_SECONDS = 30.0
FIRST_OPEN_SECONDS = 1.0
OPEN_SECONDS = 10.0
OUTCOMES_KEPT = 20
FAILING_SHARE = 0.3
_OPEN_JITTER = 0.2


class BreakerState(enum.Enum):
    """Whether an endpoint is asked."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Stops calls to an endpoint that keeps failing.

    It opens after `ERROR_THRESHOLD` failures inside `WINDOW_SECONDS`, if these
    are a good share of the last outcomes, or at once on a crash: an endpoint
    that loses an answer now and then is still worth its capacity, above all
    under load. When its time is over, exactly one call is let through as a
    probe: its success closes the breaker, its failure opens it for longer.

    Parameters
    ----------
    rng : random.Random
        Spreads the end of the open time, so that daemons don't probe together.
    """

    __slots__ = ("failures", "open_seconds", "open_until", "outcomes", "probe", "rng")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures: deque[float] = deque(maxlen=ERROR_THRESHOLD)
        self.outcomes: deque[bool] = deque(maxlen=OUTCOMES_KEPT)
        self.open_seconds = FIRST_OPEN_SECONDS
        self.open_until: float | None = None
        self.probe = ""

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
        return now >= self.open_until and not self.probe

    def sent(self, call_id: str, now: float) -> None:
        """Note a call that is sent; in the half-open state it is the probe."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self.probe = call_id

    def succeeded(self, call_id: str) -> None:
        """Note a success; that of the probe closes the breaker outright."""
        self.outcomes.append(True)
        if self.open_until is None:
            return
        if call_id == self.probe:
            self.open_until = None
            self.open_seconds = FIRST_OPEN_SECONDS
            self.probe = ""
            self.failures.clear()
            self.outcomes.clear()

    def failed(self, call_id: str, now: float, crashed: bool = False) -> None:
        """Note a failure; a crash or a failed probe opens the breaker at once."""
        self.failures.append(now)
        self.outcomes.append(False)
        is_probe = bool(self.probe) and call_id == self.probe
        if crashed:
            self._open(now, OPEN_SECONDS)
        elif is_probe:
            self.open_seconds = min(OPEN_SECONDS, 2.0 * self.open_seconds)
            self._open(now, self.open_seconds)
        elif self._fails_often(now):
            self._open(now, self.open_seconds)

    def _open(self, now: float, seconds: float) -> None:
        spread = 1.0 + _OPEN_JITTER * self.rng.random()
        until = now + seconds * spread
        self.open_until = max(until, self.open_until or until)
        self.probe = ""

    def _fails_often(self, now: float) -> bool:
        recent = [time for time in self.failures if now - time <= WINDOW_SECONDS]
        failed = self.outcomes.count(False)
        is_often = failed >= FAILING_SHARE * len(self.outcomes)
        return len(recent) >= ERROR_THRESHOLD and is_often

    def abandoned(self, call_id: str) -> None:
        """Note a call that ended without telling anything of the endpoint."""
        if call_id == self.probe:
            self.probe = ""
