"""Which failure domains seem to be cut off from this daemon.

Answers the pattern of a cut between domains: connections to all endpoints of
another domain hang at once. Waiting for each endpoint's own breaker would cost
several timeouts an endpoint, so that few endpoints tell for their domain.
"""

from collections import OrderedDict

from attrs import define, field

CUT_ENDPOINTS = 2
CUT_SECONDS = 2.0
AVOID_SECONDS = 0.5
PROBE_SECONDS = 0.5
_MOST_AVOID_SECONDS = 2.0


@define(eq=False)
class DomainState:
    """What is known of the way to one domain.

    Attributes
    ----------
    failed : OrderedDict of str to float
        When endpoints last could not be reached, since any last was.
    avoid_until : float
        Until when its endpoints are left out, on the monotonic clock.
    avoid_seconds : float
        How long they are left out the next time.
    """

    failed: OrderedDict[str, float] = field(factory=OrderedDict)
    avoid_until: float = float("-inf")
    avoid_seconds: float = AVOID_SECONDS

    @property
    def is_suspect(self) -> bool:
        """Whether it was left out since any of its endpoints answered."""
        return self.avoid_seconds > AVOID_SECONDS


class DomainWatch:
    """Leaves out domains whose endpoints can't be reached.

    Parameters
    ----------
    own : str
        The daemon's domain, which is never left out.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.domains: dict[str, DomainState] = {}

    def allows(self, domain: str, now: float) -> bool:
        """Return whether a domain's endpoints may be tried."""
        state = self.domains.get(domain)
        return state is None or now >= state.avoid_until

    def is_suspect(self, domain: str) -> bool:
        """Return whether a domain was left out since any endpoint of it answered."""
        state = self.domains.get(domain)
        return state is not None and state.is_suspect

    def sent(self, domain: str, now: float) -> None:
        """Note a call that is sent to a domain.

        One to a domain that was left out is a probe; until it has an answer,
        or had time for one, the domain is left out for the others.
        """
        state = self.domains.get(domain)
        if state is not None and state.is_suspect:
            state.avoid_until = max(state.avoid_until, now + PROBE_SECONDS)

    def reached(self, domain: str) -> None:
        """Note that an endpoint of a domain answered."""
        self.domains.pop(domain, None)

    def failed(self, domain: str, endpoint: str, now: float) -> None:
        """Note that an endpoint could not be reached, or fell silent."""
        if domain == self.own:
            return
        state = self.domains.setdefault(domain, DomainState())
        state.failed[endpoint] = now
        state.failed.move_to_end(endpoint)
        while next(iter(state.failed.values())) < now - CUT_SECONDS:
            state.failed.popitem(last=False)
        if len(state.failed) >= CUT_ENDPOINTS or state.is_suspect:
            state.avoid_until = now + state.avoid_seconds
            state.avoid_seconds = min(_MOST_AVOID_SECONDS, 2.0 * state.avoid_seconds)
