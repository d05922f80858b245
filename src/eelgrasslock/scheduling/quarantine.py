"""Finds requests that crash the endpoints that run them."""

from collections import Counter, OrderedDict

CRASHES_TO_QUARANTINE = 2
_SUSPECT_SECONDS = 3_600.0
_SUSPECTS_KEPT = 1_000
_SUSPECTS_TOLD = 100


class Quarantine:
    """Counts, by request digest, the endpoints that crashed under it.

    All calls in flight on an endpoint that crashes become suspects. A suspect
    runs again at most once, as the only suspect on its endpoint, so that its
    success clears it and a second crash convicts it and none of its neighbours.
    Crashes that peers saw are added to our own; a peer tells a digest once for
    each crash that it saw.
    """

    def __init__(self) -> None:
        self.own: OrderedDict[str, list[float]] = OrderedDict()
        self.peers: dict[str, Counter[str]] = {}
        self.departed: Counter[str] = Counter()
        self.cleared: Counter[str] = Counter()
        self.configured: frozenset[str] = frozenset()
        self.ordered: set[str] = set()
        self.news = False

    def crashed(self, digests: list[str], now: float) -> None:
        """Note the digests that were in flight on an endpoint that crashed."""
        self.news = True
        for digest in digests:
            if not digest:
                continue
            self.own.setdefault(digest, []).append(now)
            self.own.move_to_end(digest)
        while len(self.own) > _SUSPECTS_KEPT:
            self.own.popitem(last=False)

    def heard(self, incarnation: str, digests: tuple[str, ...]) -> None:
        """Take in the crashes that a peer saw."""
        self.news = self.news or bool(digests)
        if digests or incarnation in self.peers:
            self.peers[incarnation] = Counter(digests[:_SUSPECTS_TOLD])

    def peer_gone(self, incarnation: str) -> None:
        """Keep what a peer that is gone had told."""
        gone = self.peers.pop(incarnation, None)
        if gone is not None and len(self.departed) < _SUSPECTS_KEPT:
            self.departed.update(gone)

    def succeeded(self, digest: str) -> None:
        """Clear a suspect that has run to its end."""
        if self.is_suspect(digest):
            self.own.pop(digest, None)
            self.cleared[digest] = self._heard_crashes(digest)

    def crashes(self, digest: str) -> int:
        """Return on how many crashes a digest was in flight, as far as known."""
        if not digest:
            return 0
        heard = self._heard_crashes(digest) - self.cleared[digest]
        return len(self.own.get(digest, ())) + max(0, heard)

    def is_suspect(self, digest: str) -> bool:
        """Return whether a call must be the only suspect on its endpoint."""
        return self.crashes(digest) > 0

    def holds(self, digest: str) -> bool:
        """Return whether a request is refused."""
        if digest in self.configured or digest in self.ordered:
            return True
        return self.crashes(digest) >= CRASHES_TO_QUARANTINE

    def release(self, digest: str) -> None:
        """Forget a digest on an operator's order."""
        self.ordered.discard(digest)
        self.own.pop(digest, None)
        self.cleared[digest] = self._heard_crashes(digest)

    def told(self, now: float) -> tuple[str, ...]:
        """Return our own suspects, each once for each crash, newest last."""
        told: list[str] = []
        for digest in list(self.own):
            if now - self.own[digest][-1] > _SUSPECT_SECONDS:
                del self.own[digest]
        for digest in self.own:
            told += [digest] * len(self.own[digest])
        return tuple(told[-_SUSPECTS_TOLD:])

    def _heard_crashes(self, digest: str) -> int:
        heard = sum(counts[digest] for counts in self.peers.values())
        return heard + self.departed[digest]
