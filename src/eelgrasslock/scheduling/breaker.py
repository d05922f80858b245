"""A circuit breaker for one endpoint, with a single probe."""

import enum
import random
from collections import deque

ERROR_THRESHOLD = 3
WINDOW_SECONDS = 30.0
OPEN_SECONDS = 10.0
_OPEN_JITTER = 0.2


class BreakerState(enum.Enum):
    """Whether an endpoint is asked."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Stops calls to an endpoint that keeps failing.

    It opens after `ERROR_THRESHOLD` failures inside `WINDOW_SECONDS`, or at
    once on a crash. When its time is over, exactly one call is let through as
    a probe: its success closes the breaker, its failure opens it again.

    Parameters
    ----------
    rng : random.Random
        Spreads the end of the open time, so that daemons don't probe together.
    """

    __slots__ = ("failures", "open_until", "probe", "rng")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures: deque[float] = deque(maxlen=ERROR_THRESHOLD)
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
        if self.open_until is None:
            return
        if call_id == self.probe:
            self.open_until = None
            self.probe = ""
            self.failures.clear()

    def failed(self, call_id: str, now: float, crashed: bool = False) -> None:
        """Note a failure; a crash or a failed probe opens the breaker at once."""
        self.failures.append(now)
        recent = [time for time in self.failures if now - time <= WINDOW_SECONDS]
        is_probe = bool(self.probe) and call_id == self.probe
        if crashed or is_probe or len(recent) >= ERROR_THRESHOLD:
            spread = 1.0 + _OPEN_JITTER * self.rng.random()
            self.open_until = now + OPEN_SECONDS * spread
            self.probe = ""

    def abandoned(self, call_id: str) -> None:
        """Note a call that ended without telling anything of the endpoint."""
        if call_id == self.probe:
            self.probe = ""
