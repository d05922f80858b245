"""Tells the scheduler which endpoints have ended, by their registrations."""

from collections.abc import Callable

from eelgrasslock.clock import Clock
from eelgrasslock.gateway.endpoint_registry import EndpointRecord
from eelgrasslock.scheduling.scheduler import Scheduler


def _ignore(record: EndpointRecord | str) -> None:
    """Do nothing."""


class EndpointEnds:
    """Watches for ends that no connection has shown.

    Parameters
    ----------
    scheduler : Scheduler
        Counts the crashes.
    clock : Clock
        The source of time.

    Attributes
    ----------
    check : callable
        Finds out whether an endpoint has crashed, by its registration.
    forget_reports : callable
        Drops what an endpoint said of itself, by its id.
    """

    def __init__(self, scheduler: Scheduler, clock: Clock) -> None:
        self.scheduler = scheduler
        self.clock = clock
        self.check: Callable[[EndpointRecord], object] = _ignore
        self.forget_reports: Callable[[str], None] = _ignore

    def record_replaced(self, before: EndpointRecord, entry: EndpointRecord) -> None:
        """Record the end of an endpoint whose id or address another start has."""
        age_seconds = max(0.0, self.clock.now() - entry.started_at_ms / 1_000.0)
        ended_at = self.clock.monotonic() - age_seconds
        self.scheduler.record_end(before.id, ended_at)
        if before.id == entry.id:
            self._reset(entry.id)

    def record_removed(self, record: EndpointRecord) -> None:
        """Find out whether an endpoint has ended that did not say that it leaves."""
        self._reset(record.id)
        if not record.leaving and self.scheduler.may_have_crashed(record.id):
            self.check(record)

    def _reset(self, endpoint: str) -> None:
        self.scheduler.reset_endpoint(endpoint)
        self.forget_reports(endpoint)
