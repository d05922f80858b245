"""A circuit breaker for turns that could not be stored at their end."""

from eelgrasslock.clock import Clock

OPEN_AFTER_SECONDS = 0.3
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 1.3


class AppendBreaker:
    """Says whether turns can be stored, from how the last appends went.

    Parameters
    ----------
    clock : Clock
        The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._failing_since = float("inf")

    def record_failure(self) -> None:
        """Count an append that failed or had no answer."""
        self._failing_since = min(self._failing_since, self.clock.monotonic())

    def record_success(self) -> None:
        """Count an append that succeeded, or another answer of the log."""
        self._failing_since = float("inf")

    @property
    def is_open(self) -> bool:
        """Whether appends have failed for a while."""
        return self._failing_for() >= OPEN_AFTER_SECONDS

    @property
    def retry_seconds(self) -> float:
        """When a refused turn should come back.

        An outage that has lasted for a while is likely to last as long again.
        """
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, self._failing_for()))

    def _failing_for(self) -> float:
        return self.clock.monotonic() - self._failing_since
