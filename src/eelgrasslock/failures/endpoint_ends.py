"""Tells the scheduler which endpoints have ended."""

from collections.abc import Callable

from eelgrasslock.clock import Clock
from eelgrasslock.failures.silent_calls import SilentCalls
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.scheduling.scheduler import Scheduler


def _ignore(*arguments: object) -> None:
    """Do nothing."""


class EndpointEnds:
    """Puts ends of endpoints down to the calls that may have caused them.

    Many an end is not seen by its calls: they end first, or see only silence.

    Parameters
    ----------
    scheduler : Scheduler
        Counts the crashes.
    clock : Clock
        The source of time.

    Attributes
    ----------
    outcomes : OutcomeRecorder
        Knows the calls in flight and those just lost.
    check_removed : callable
        Finds out whether an endpoint has crashed, by its registration.
    check_replaced : callable
        Finds out the same of one whose address another one claims, by its
        registration and when it has ended at the latest.
    forget_reports : callable
        Drops what an endpoint said of itself, by its id.
    silent_calls : SilentCalls
        Knows the calls of other daemons to endpoints that are silent.
    """

    def __init__(
        self, scheduler: Scheduler, silent_calls: SilentCalls, clock: Clock
    ) -> None:
        self.silent_calls = silent_calls
        self.scheduler = scheduler
        self.outcomes = scheduler.outcome_recorder
        self.clock = clock
        self.check_removed: Callable[[EndpointRecord], object] = _ignore
        self.check_replaced: Callable[[EndpointRecord, float], object] = _ignore
        self.forget_reports: Callable[[str], None] = _ignore

    def record_crash(self, record: EndpointRecord, ended_at: float) -> None:
        """Record that an endpoint had crashed by a time on the monotonic clock."""
        end = f"{record.id}@{record.started_at_ms}"
        self.outcomes.record_end(record.id, ended_at, self.clock.monotonic(), end)
        self.silent_calls.record_end(record.id, end)

    def record_silence(self, record: EndpointRecord, since: float) -> None:
        """Record that an endpoint answered no probe: it has ended if it is silent."""
        if self.silent_calls.heard_at.get(record.id, since) <= since:
            self.record_crash(record, since)

    def record_replaced(self, before: EndpointRecord, entry: EndpointRecord) -> None:
        """Record the end of an endpoint whose id another start has.

        If only its address seems to be another one's, it is asked first.
        """
        age_seconds = max(0.0, self.clock.now() - entry.started_at_ms / 1_000.0)
        ended_at = self.clock.monotonic() - age_seconds
        if before.id == entry.id:
            self.record_crash(before, ended_at)
            self._reset(entry.id)
        else:
            self.check_replaced(before, ended_at)

    def record_removed(self, record: EndpointRecord) -> None:
        """Find out whether an endpoint has ended that did not say that it leaves."""
        self._reset(record.id)
        if not record.leaving and self.has_calls(record.id):
            self.check_removed(record)

    def record_alive(self, record: EndpointRecord, answered_at: float) -> None:
        """Record that an endpoint answered after connections to it had broken."""
        self.outcomes.lost_calls.record_heard(record.id, answered_at)

    def has_calls(self, endpoint: str) -> bool:
        """Return whether an end of an endpoint could be put down to any call."""
        now = self.clock.monotonic()
        is_own = self.outcomes.may_have_crashed(endpoint, now)
        return is_own or self.silent_calls.has_any(endpoint)

    def drop_past(self) -> None:
        """Drop what no end can be put down to any more."""
        self.silent_calls.update()
        self.outcomes.drop_past(self.clock.monotonic())

    def _reset(self, endpoint: str) -> None:
        self.scheduler.reset_endpoint(endpoint)
        self.forget_reports(endpoint)
