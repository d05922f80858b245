"""Quarantine of requests that crash the endpoints that run them."""

from collections import Counter, OrderedDict
from collections.abc import Callable

from eelgrasslock.scheduling.crash_reports import CrashReports

CRASHES_TO_QUARANTINE = 2
SUSPECT_EXPIRY_SECONDS = 3_600.0
_MAX_SUSPECTS = 1_000
_MAX_REPORTED_SUSPECTS = 100
_MAX_DEPARTED_PEERS = 1_000


def _ignore_change(digest: str) -> None:
    """Do nothing."""


class Quarantine:
    """Counts the crashes of endpoints by the digests of the requests in flight.

    All calls in flight on an endpoint that crashes become suspects. A suspect
    runs again at most once, and is then the only suspect on its endpoint: its
    success clears it, and a second crash puts it, but no other call there, into
    quarantine. Crashes that other daemons saw are added to those of this one, also
    after those daemons have left.

    Attributes
    ----------
    own_crashes : OrderedDict of str to list of float
        When this daemon saw crashes, by digest, on the monotonic clock.
    crashes_by_author : dict of str to CrashReports
        The crashes that other daemons saw, by incarnation.
    authors_by_digest : dict of str to set of str
        The daemons that know of a crash, by digest: most digests have none.
    departed : OrderedDict of str to None
        The incarnations that left, the first one first.
    on_change : callable
        Called with a digest whose crashes must be recorded or cleared in the log.
    """

    def __init__(self) -> None:
        self.own_crashes: OrderedDict[str, list[float]] = OrderedDict()
        self.crashes_by_author: dict[str, CrashReports] = {}
        self.authors_by_digest: dict[str, set[str]] = {}
        self.departed: OrderedDict[str, None] = OrderedDict()
        self.configured_digests: frozenset[str] = frozenset()
        self.operator_digests: set[str] = set()
        self.has_new_crashes = False
        self.on_change: Callable[[str], None] = _ignore_change

    def record_crash(self, digests: list[str], now: float) -> None:
        """Record the digests that were in flight on an endpoint that crashed."""
        self.has_new_crashes = True
        for digest in digests:
            if not digest:
                continue
            self.own_crashes.setdefault(digest, []).append(now)
            self.own_crashes.move_to_end(digest)
            self.on_change(digest)
        while len(self.own_crashes) > _MAX_SUSPECTS:
            self.own_crashes.popitem(last=False)

    def update_peer(self, incarnation: str, digests: tuple[str, ...]) -> None:
        """Record the crashes that a peer reports, one entry for each crash."""
        self.departed.pop(incarnation, None)
        if digests or incarnation in self.crashes_by_author:
            self.has_new_crashes = self.has_new_crashes or bool(digests)
            reports = self._reports_of(incarnation)
            before = reports.digests()
            reports.report(Counter(digests[-_MAX_REPORTED_SUSPECTS:]))
            for digest in before | reports.digests():
                self._index(incarnation, digest)

    def remove_peer(self, incarnation: str) -> None:
        """Note that a peer has departed; the crashes that it saw are kept."""
        if incarnation not in self.crashes_by_author:
            return
        self.departed[incarnation] = None
        while len(self.departed) > _MAX_DEPARTED_PEERS:
            oldest, _ = self.departed.popitem(last=False)
            reports = self.crashes_by_author.pop(oldest)
            for digest in reports.digests():
                self._index(oldest, digest)

    def load_record(self, incarnation: str, digest: str, crashes: int) -> None:
        """Take the crashes that the log holds of another daemon; 0 clears them."""
        if crashes:
            self.has_new_crashes = True
            self._reports_of(incarnation).record(digest, crashes)
        elif incarnation in self.crashes_by_author:
            self.crashes_by_author[incarnation].remove_record(digest)
        self._index(incarnation, digest)

    def forget_own(self, digest: str) -> None:
        """Clear what this daemon saw: the request has completed at another one."""
        self.own_crashes.pop(digest, None)

    def record_success(self, digest: str) -> None:
        """Clear a suspect that has completed."""
        if self.is_suspect(digest):
            self._clear(digest)

    def crash_count(self, digest: str) -> int:
        """Return the number of known crashes during which a digest was in flight."""
        if not digest:
            return 0
        authors = self.authors_by_digest.get(digest, ())
        others = sum(self.crashes_by_author[one].count(digest) for one in authors)
        return len(self.own_crashes.get(digest, ())) + others

    def crashes_by(self, author: str, digest: str) -> int:
        """Return the number of crashes that one other daemon has counted."""
        reports = self.crashes_by_author.get(author)
        return 0 if reports is None else reports.count(digest)

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request may run only as the sole suspect on an endpoint."""
        return self.crash_count(digest) > 0

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a request must be refused."""
        if digest in self.configured_digests or digest in self.operator_digests:
            return True
        return self.crash_count(digest) >= CRASHES_TO_QUARANTINE

    def release(self, digest: str) -> None:
        """Clear a digest at an operator's request."""
        self.operator_digests.discard(digest)
        self._clear(digest)

    def suspects(self) -> set[str]:
        """Return the digests of which a crash is known."""
        return self.own_crashes.keys() | self.authors_by_digest.keys()

    def suspects_to_report(self, now: float) -> tuple[str, ...]:
        """Return this daemon's suspects, one entry for each crash, newest last."""
        reported: list[str] = []
        for digest in list(self.own_crashes):
            if now - self.own_crashes[digest][-1] > SUSPECT_EXPIRY_SECONDS:
                del self.own_crashes[digest]
                self.on_change(digest)
        for digest in self.own_crashes:
            reported += [digest] * len(self.own_crashes[digest])
        return tuple(reported[-_MAX_REPORTED_SUSPECTS:])

    def _clear(self, digest: str) -> None:
        self.own_crashes.pop(digest, None)
        for author in self.authors_by_digest.get(digest, ()):
            self.crashes_by_author[author].clear(digest)
        self.on_change(digest)

    def _index(self, author: str, digest: str) -> None:
        """Keep the index by digest in step with the reports of a daemon."""
        reports = self.crashes_by_author.get(author)
        if reports is not None and digest in reports.digests():
            self.authors_by_digest.setdefault(digest, set()).add(author)
            return
        authors = self.authors_by_digest.get(digest, set())
        authors.discard(author)
        if not authors:
            self.authors_by_digest.pop(digest, None)

    def _reports_of(self, incarnation: str) -> CrashReports:
        return self.crashes_by_author.setdefault(incarnation, CrashReports())
