"""Finds requests that crash the endpoints that run them."""

from collections import Counter, OrderedDict

CRASHES_TO_QUARANTINE = 2
_SUSPECT_EXPIRY_SECONDS = 3_600.0
_MAX_SUSPECTS = 1_000
_MAX_REPORTED_SUSPECTS = 100


class Quarantine:
    """Counts, by request digest, the endpoints that crashed under it.

    All calls in flight on an endpoint that crashes become suspects. A suspect
    runs again at most once, as the only suspect on its endpoint, so that its
    success clears it and a second crash convicts it and none of its neighbours.
    Crashes that peers saw are added to our own; a peer tells a digest once for
    each crash that it saw.
    """

    def __init__(self) -> None:
        self.own_crashes: OrderedDict[str, list[float]] = OrderedDict()
        self.peer_crashes: dict[str, Counter[str]] = {}
        self.departed_peer_crashes: Counter[str] = Counter()
        self.cleared_crashes: Counter[str] = Counter()
        self.configured_digests: frozenset[str] = frozenset()
        self.operator_digests: set[str] = set()
        self.has_new_crashes = False

    def record_crash(self, digests: list[str], now: float) -> None:
        """Note the digests that were in flight on an endpoint that crashed."""
        self.has_new_crashes = True
        for digest in digests:
            if not digest:
                continue
            self.own_crashes.setdefault(digest, []).append(now)
            self.own_crashes.move_to_end(digest)
        while len(self.own_crashes) > _MAX_SUSPECTS:
            self.own_crashes.popitem(last=False)

    def update_peer(self, incarnation: str, digests: tuple[str, ...]) -> None:
        """Take in the crashes that a peer saw."""
        self.has_new_crashes = self.has_new_crashes or bool(digests)
        if digests or incarnation in self.peer_crashes:
            self.peer_crashes[incarnation] = Counter(digests[:_MAX_REPORTED_SUSPECTS])

    def remove_peer(self, incarnation: str) -> None:
        """Keep what a peer that is gone had told."""
        gone = self.peer_crashes.pop(incarnation, None)
        if gone is not None and len(self.departed_peer_crashes) < _MAX_SUSPECTS:
            self.departed_peer_crashes.update(gone)

    def record_success(self, digest: str) -> None:
        """Clear a suspect that has run to its end."""
        if self.is_suspect(digest):
            self.own_crashes.pop(digest, None)
            self.cleared_crashes[digest] = self._reported_crashes(digest)

    def crash_count(self, digest: str) -> int:
        """Return on how many crashes a digest was in flight, as far as known."""
        if not digest:
            return 0
        heard = self._reported_crashes(digest) - self.cleared_crashes[digest]
        return len(self.own_crashes.get(digest, ())) + max(0, heard)

    def is_suspect(self, digest: str) -> bool:
        """Return whether a call must be the only suspect on its endpoint."""
        return self.crash_count(digest) > 0

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a request is refused."""
        if digest in self.configured_digests or digest in self.operator_digests:
            return True
        return self.crash_count(digest) >= CRASHES_TO_QUARANTINE

    def release(self, digest: str) -> None:
        """Forget a digest on an operator's order."""
        self.operator_digests.discard(digest)
        self.own_crashes.pop(digest, None)
        self.cleared_crashes[digest] = self._reported_crashes(digest)

    def suspects_to_report(self, now: float) -> tuple[str, ...]:
        """Return our own suspects, each once for each crash, newest last."""
        told: list[str] = []
        for digest in list(self.own_crashes):
            if now - self.own_crashes[digest][-1] > _SUSPECT_EXPIRY_SECONDS:
                del self.own_crashes[digest]
        for digest in self.own_crashes:
            told += [digest] * len(self.own_crashes[digest])
        return tuple(told[-_MAX_REPORTED_SUSPECTS:])

    def _reported_crashes(self, digest: str) -> int:
        heard = sum(counts[digest] for counts in self.peer_crashes.values())
        return heard + self.departed_peer_crashes[digest]
