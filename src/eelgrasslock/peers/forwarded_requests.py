"""The forwarded requests that have started here, and those that must not start."""

from eelgrasslock.clock import Clock

_RETENTION_SECONDS = 300.0


class ForwardedRequests:
    """Keeps a forwarded request from starting after its sender has disowned it.

    If a connection stops answering, the sender of a request asks over a new
    connection whether the request has started. If it has not, it never will:
    it is refused should it still arrive. Ids are kept for longer than the
    server leaves an idle connection open, so a request can't arrive after its
    id has expired.

    Parameters
    ----------
    clock : Clock
        The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._started: dict[str, float] = {}
        self._disowned: dict[str, float] = {}

    def start(self, id: str) -> bool:
        """Record the start of a request, and return whether it may start."""
        now = self.clock.monotonic()
        _expire(self._started, now)
        if id in self._disowned or id in self._started:
            return False
        self._started[id] = now
        return True

    def disown(self, id: str) -> bool:
        """Forbid a request to start; return whether it has started already."""
        now = self.clock.monotonic()
        _expire(self._disowned, now)
        if id in self._started:
            return True
        self._disowned[id] = now
        return False


def _expire(times: dict[str, float], now: float) -> None:
    while times:
        oldest = next(iter(times))
        if now - times[oldest] < _RETENTION_SECONDS:
            return
        del times[oldest]
