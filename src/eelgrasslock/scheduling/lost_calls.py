"""Calls whose endpoint gave no whole answer, for a few seconds."""

from collections import Counter

from attrs import frozen

# An endpoint that ended in silence is known by its removal or its new registration:
# three heartbeats of 1.2 s, the next one, and the reads of a daemon.
NOTICE_SECONDS = 8.0


@frozen
class LostCall:
    """A call that ended without a whole answer.

    Attributes
    ----------
    digests : tuple of str
        The digests of its request.
    ended_at : float
        When it ended, on the monotonic clock, in seconds.
    is_broken : bool
        Whether its connection broke; if not, it was given up.
    """

    digests: tuple[str, ...]
    ended_at: float
    is_broken: bool


class LostCalls:
    """Calls that may have crashed their endpoint, which shows only later.

    Attributes
    ----------
    by_endpoint : dict of str to list of LostCall
        The calls by the name of their endpoint, the oldest one first.
    in_doubt : Counter of str
        By digest, the endpoints that have not been heard of since a call to them
        broke: each may turn out to have ended by it.
    """

    def __init__(self) -> None:
        self.by_endpoint: dict[str, list[LostCall]] = {}
        self.in_doubt: Counter[str] = Counter()
        self._in_doubt_by_endpoint: dict[str, list[LostCall]] = {}

    def add(self, endpoint: str, call: LostCall) -> None:
        """Add a call that has just ended."""
        recent = self._recent(endpoint, call.ended_at)
        self.by_endpoint[endpoint] = [*recent, call]
        if call.is_broken:
            self._in_doubt_by_endpoint.setdefault(endpoint, []).append(call)
            self._count_in_doubt()

    def record_heard(self, endpoint: str, sent_at: float) -> None:
        """Note that an endpoint answered what was sent to it at a time."""
        calls = self._in_doubt_by_endpoint.pop(endpoint, ())
        if kept := [one for one in calls if one.ended_at >= sent_at]:
            self._in_doubt_by_endpoint[endpoint] = kept
        if calls:
            self._count_in_doubt()

    def record_answer(self, endpoint: str) -> None:
        """Drop the calls that were given up: their endpoint is still there.

        One that has broken connections may have started again since.
        """
        calls = self.by_endpoint.pop(endpoint, ())
        if broken := [one for one in calls if one.is_broken]:
            self.by_endpoint[endpoint] = broken

    def has_any(self, endpoint: str, now: float) -> bool:
        """Return whether calls to an endpoint were lost of late."""
        return bool(self._recent(endpoint, now))

    def take(self, endpoint: str, now: float) -> list[LostCall]:
        """Return the lost calls to an endpoint, and forget them."""
        calls = self._recent(endpoint, now)
        self.by_endpoint.pop(endpoint, None)
        self.record_heard(endpoint, float("inf"))
        return calls

    def drop_past(self, now: float) -> None:
        """Drop the calls that were lost too long ago."""
        for endpoint in list(self._in_doubt_by_endpoint):
            self.record_heard(endpoint, now - NOTICE_SECONDS)
        recent = {one: self._recent(one, now) for one in self.by_endpoint}
        self.by_endpoint = {one: calls for one, calls in recent.items() if calls}

    def _count_in_doubt(self) -> None:
        self.in_doubt = Counter()
        for calls in self._in_doubt_by_endpoint.values():
            self.in_doubt.update({digest for one in calls for digest in one.digests})

    def _recent(self, endpoint: str, now: float) -> list[LostCall]:
        oldest = now - NOTICE_SECONDS
        calls = self.by_endpoint.get(endpoint, ())
        return [one for one in calls if one.ended_at >= oldest]
