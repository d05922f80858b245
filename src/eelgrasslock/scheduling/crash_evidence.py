"""Which ends of endpoints speak against which requests.

A request is known by several digests, from narrow to wide. An end speaks against all
that were in flight, of which one caused it, so that it is put down to those with the
most ends: the others only ran beside.
"""

import uuid
from collections import Counter, OrderedDict

from eelgrasslock.scheduling.crash_reports import CrashReports

MAX_SUSPECTS = 4_000
MAX_REPORTED_SUSPECTS = 100
_MAX_DEPARTED_PEERS = 1_000


class CrashEvidence:
    """Knows at which ends each digest was in flight, by all daemons.

    Attributes
    ----------
    own : OrderedDict of str to dict of str to float
        When this daemon saw ends, by digest and by the end's name, in seconds on the
        monotonic clock.
    by_author : dict of str to CrashReports
        The crashes that other daemons saw, by incarnation.
    authors_by_digest : dict of str to set of str
        The daemons that know of a crash, by digest: most digests have none.
    departed : OrderedDict of str to None
        The incarnations that left, the first one first.
    """

    def __init__(self) -> None:
        self.own: OrderedDict[str, dict[str, float]] = OrderedDict()
        self.by_author: dict[str, CrashReports] = {}
        self.authors_by_digest: dict[str, set[str]] = {}
        self.departed: OrderedDict[str, None] = OrderedDict()
        self._digests_by_end: dict[str, set[str]] = {}
        self._unexplained: dict[str, int] = {}

    # --- what daemons saw -------------------------------------------------------

    def add(self, digests: list[str], end: str, now: float) -> None:
        """Add an end that this daemon saw, with the digests that were in flight.

        Daemons that see the same end give it the same name; one without a name is
        an end of its own.
        """
        end = end or uuid.uuid4().hex
        for digest in digests:
            self.own.setdefault(digest, {})[end] = now
            self.own.move_to_end(digest)
            self._name(end, digest)
        while len(self.own) > MAX_SUSPECTS:
            self.forget_own(next(iter(self.own)))
        self._unexplained.clear()

    def forget_own(self, digest: str) -> None:
        """Forget the ends that this daemon saw with a digest in flight."""
        for end in self.own.pop(digest, ()):
            self._unname(end, digest)
        self._unexplained.clear()

    def update_peer(self, incarnation: str, digests: tuple[str, ...]) -> None:
        """Take the crashes that a peer reports, one entry for each crash."""
        self.departed.pop(incarnation, None)
        if not digests and incarnation not in self.by_author:
            return
        reports = self._reports_of(incarnation)
        before = reports.digests()
        reports.report(Counter(digests[-MAX_REPORTED_SUSPECTS:]))
        for digest in before | reports.digests():
            self._index(incarnation, digest)

    def load_record(
        self, incarnation: str, digest: str, crashes: int, ends: tuple[str, ...] = ()
    ) -> None:
        """Take the crashes that the log holds of another daemon; 0 clears them."""
        reports = self.by_author.get(incarnation)
        before = () if reports is None else reports.named_ends(digest)
        if crashes:
            self._reports_of(incarnation).record(digest, crashes, ends)
        elif reports is not None:
            reports.remove_record(digest)
        self._index(incarnation, digest)
        for end in ends:
            self._name(end, digest)
        for end in before:
            self._unname(end, digest)

    def remove_peer(self, incarnation: str) -> None:
        """Note that a peer has departed; the crashes that it saw are kept."""
        if incarnation not in self.by_author:
            return
        self.departed[incarnation] = None
        while len(self.departed) > _MAX_DEPARTED_PEERS:
            oldest, _ = self.departed.popitem(last=False)
            reports = self.by_author.pop(oldest)
            for digest in reports.digests():
                self._index(oldest, digest)
                for end in reports.named_ends(digest):
                    self._unname(end, digest)

    def clear(self, digest: str) -> None:
        """Let nothing known so far speak against a digest."""
        ends = self.ends_of(digest)
        self.own.pop(digest, None)
        for author in self.authors_by_digest.get(digest, ()):
            self.by_author[author].clear(digest)
        for end in ends:
            self._unname(end, digest)
        self._unexplained.clear()

    # --- what it says -----------------------------------------------------------

    def digests(self) -> set[str]:
        """Return the digests of which a crash is known."""
        return self.own.keys() | self.authors_by_digest.keys()

    def ends_of(self, digest: str) -> set[str]:
        """Return the names of the ends at which a digest was in flight."""
        ends = set(self.own.get(digest, ()))
        for author in self.authors_by_digest.get(digest, ()):
            ends.update(self.by_author[author].named_ends(digest))
        return ends

    def crash_count(self, digest: str) -> int:
        """Return the number of ends at which a digest was in flight."""
        if digest not in self.own and digest not in self.authors_by_digest:
            return 0
        return len(self.ends_of(digest)) + self._count_unnamed(digest)

    def crashes_by(self, author: str, digest: str) -> int:
        """Return the number of crashes that one other daemon has counted."""
        reports = self.by_author.get(author)
        return 0 if reports is None else reports.count(digest)

    def unexplained_count(self, digest: str) -> int:
        """Return the number of ends that no digest with more of them explains."""
        if digest not in self.own and digest not in self.authors_by_digest:
            return 0
        count = self._unexplained.get(digest)
        if count is None:
            count = self._unexplained[digest] = self._count_unexplained(digest)
        return count

    def _count_unexplained(self, digest: str) -> int:
        crashes = self.crash_count(digest)
        explained = 0
        for end in self.ends_of(digest):
            others = self._digests_by_end.get(end, ())
            explained += any(self.crash_count(one) > crashes for one in others)
        return crashes - explained

    def _count_unnamed(self, digest: str) -> int:
        count = 0
        for author in self.authors_by_digest.get(digest, ()):
            reports = self.by_author[author]
            count += max(0, reports.count(digest) - len(reports.named_ends(digest)))
        return count

    # --- the indexes ------------------------------------------------------------

    def _name(self, end: str, digest: str) -> None:
        self._digests_by_end.setdefault(end, set()).add(digest)
        self._unexplained.clear()

    def _unname(self, end: str, digest: str) -> None:
        """Drop a digest from an end, unless a daemon still names it."""
        digests = self._digests_by_end.get(end)
        if digests is None or end in self.ends_of(digest):
            return
        digests.discard(digest)
        if not digests:
            del self._digests_by_end[end]
        self._unexplained.clear()

    def _index(self, author: str, digest: str) -> None:
        """Keep the index by digest in step with the reports of a daemon."""
        self._unexplained.clear()
        reports = self.by_author.get(author)
        if reports is not None and digest in reports.digests():
            self.authors_by_digest.setdefault(digest, set()).add(author)
            return
        authors = self.authors_by_digest.get(digest, set())
        authors.discard(author)
        if not authors:
            self.authors_by_digest.pop(digest, None)

    def _reports_of(self, incarnation: str) -> CrashReports:
        return self.by_author.setdefault(incarnation, CrashReports())
