"""Calls that were answered whole, until their endpoint is seen to go on."""

from attrs import field, frozen

from eelgrasslock.scheduling.lost_calls import NOTICE_SECONDS

# An endpoint may end by what it has just answered.
LAST_ANSWER_SECONDS = 0.25


@frozen
class AnsweredCall:
    """A call that ended with a whole answer.

    Attributes
    ----------
    digests : tuple of str
        The digests of its request.
    ended_at : float
        When it ended, on the monotonic clock, in seconds.
    cleared : dict of str to set of str
        The ends of endpoints that no longer count since then, by digest.
    """

    digests: tuple[str, ...]
    ended_at: float
    cleared: dict[str, set[str]] = field(factory=dict)


class AnsweredCalls:
    """Answers after which an endpoint may have ended.

    Attributes
    ----------
    by_endpoint : dict of str to list of AnsweredCall
        The calls by the name of their endpoint, the oldest one first.
    """

    def __init__(self) -> None:
        self.by_endpoint: dict[str, list[AnsweredCall]] = {}

    def add(self, endpoint: str, call: AnsweredCall) -> None:
        """Add a call that has just been answered."""
        self.by_endpoint.setdefault(endpoint, []).append(call)

    def has_any(self, endpoint: str) -> bool:
        """Return whether an endpoint has answered calls and not been seen since."""
        return endpoint in self.by_endpoint

    def drop_before(self, endpoint: str, seen_at: float) -> None:
        """Drop the calls that ended before an endpoint was seen to live."""
        calls = self.by_endpoint.get(endpoint, ())
        self._keep(endpoint, [one for one in calls if one.ended_at >= seen_at])

    def drop_past(self, now: float) -> None:
        """Drop the calls whose endpoint would be known to have ended by now."""
        for endpoint in list(self.by_endpoint):
            self.drop_before(endpoint, now - NOTICE_SECONDS)

    def take_last(
        self, endpoint: str, ended_at: float, is_exact: bool
    ) -> list[AnsweredCall]:
        """Return the calls that an endpoint answered just before it ended.

        Parameters
        ----------
        endpoint : str
            The endpoint's name.
        ended_at : float
            When it ended at the latest, on the monotonic clock, in seconds.
        is_exact : bool
            Whether it was seen to end then; if not, it has ended since its last
            answer.
        """
        calls = self.by_endpoint.get(endpoint, [])
        before = [one for one in calls if one.ended_at <= ended_at]
        self._keep(endpoint, [one for one in calls if one.ended_at > ended_at])
        if not before:
            return []
        last_at = ended_at if is_exact else before[-1].ended_at
        return [one for one in before if one.ended_at >= last_at - LAST_ANSWER_SECONDS]

    def _keep(self, endpoint: str, calls: list[AnsweredCall]) -> None:
        if calls:
            self.by_endpoint[endpoint] = calls
        else:
            self.by_endpoint.pop(endpoint, None)
