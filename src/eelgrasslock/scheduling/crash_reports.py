"""The crashes that one other daemon saw, as it reports and as the log holds them."""

from collections import Counter

from attrs import define, field


@define(eq=False)
class CrashReports:
    """Crashes by the digests of the requests that were in flight.

    Heartbeats report them first; the record in the log outlives the daemon. Both
    tell of the same crashes, so that the larger number counts.

    Attributes
    ----------
    reported, recorded : Counter of str
        Crashes by digest, from the heartbeats and from the log.
    ends : dict of str to tuple of str
        The names of the recorded ends by digest, the first one first; builds that
        name none only count.
    cleared : Counter of str
        Crashes that no longer count, since the request has completed.
    """

    reported: Counter[str] = field(factory=Counter)
    recorded: Counter[str] = field(factory=Counter)
    ends: dict[str, tuple[str, ...]] = field(factory=dict)
    cleared: Counter[str] = field(factory=Counter)

    def count(self, digest: str) -> int:
        """Return the number of crashes that count."""
        return self._total(digest) - self.cleared[digest]

    def named_ends(self, digest: str) -> tuple[str, ...]:
        """Return the names of the ends that count, where they are known."""
        return self.ends.get(digest, ())[self.cleared[digest] :]

    def digests(self) -> set[str]:
        """Return the digests of which a crash is known."""
        return self.reported.keys() | self.recorded.keys()

    def report(self, reported: Counter[str]) -> None:
        """Replace the crashes that the heartbeats report."""
        self.reported = reported
        self._trim_cleared()

    def record(self, digest: str, crashes: int, ends: tuple[str, ...] = ()) -> None:
        """Replace the crashes that the log holds for a digest."""
        self.recorded[digest] = crashes
        self.ends[digest] = ends
        self._trim_cleared()

    def remove_record(self, digest: str) -> None:
        """Clear a digest whose record was removed: the request has completed."""
        self.recorded.pop(digest, None)
        self.ends.pop(digest, None)
        self.clear(digest)
        self._trim_cleared()

    def clear(self, digest: str) -> None:
        """Let the crashes known so far no longer count."""
        if total := self._total(digest):
            self.cleared[digest] = total

    def _total(self, digest: str) -> int:
        return max(self.reported[digest], self.recorded[digest])

    def _trim_cleared(self) -> None:
        """Let a crash count again that follows on a report that was withdrawn."""
        totals = {digest: self._total(digest) for digest in self.cleared}
        self.cleared = Counter(
            {one: min(self.cleared[one], total) for one, total in totals.items()}
        )
        self.cleared = +self.cleared
