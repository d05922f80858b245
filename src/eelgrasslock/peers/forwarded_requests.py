"""Which forwarded requests have started here, and which never may."""

from eelgrasslock.clock import Clock

_RETENTION_SECONDS = 300.0


class ForwardedRequests:
    """Keeps a forwarded request from starting after its sender disowned it.

    The sender of a request whose connection went silent asks over a fresh
    connection whether it has started. If not, it never will: should its bytes
    still arrive, they are refused. Ids are kept for longer than the server
    leaves an idle connection open, so no bytes arrive after them.

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
        """Note that a request starts, and return whether it may."""
        now = self.clock.monotonic()
        _expire(self._started, now)
        if id in self._disowned or id in self._started:
            return False
        self._started[id] = now
        return True

    def disown(self, id: str) -> bool:
        """Forbid a request to start, and return whether it has already."""
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
