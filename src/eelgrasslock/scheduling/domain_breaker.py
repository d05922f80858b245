"""Which failure domains seem to be cut off from this daemon.

Answers the pattern of a cut between domains: connections to all endpoints of
another domain hang at once. Waiting for each endpoint's own breaker would cost
several timeouts an endpoint, so that few endpoints tell for their domain.
"""

from collections import OrderedDict

from attrs import define, field

TRIP_ENDPOINTS = 2
TRIP_WINDOW_SECONDS = 2.0
INITIAL_EXCLUSION_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.5
_MAX_EXCLUSION_SECONDS = 2.0


@define(eq=False)
class DomainState:
    """What is known of the way to one domain.

    Attributes
    ----------
    failed_at : OrderedDict of str to float
        When endpoints last could not be reached, since any last was.
    excluded_until : float
        Until when its endpoints are left out, on the monotonic clock.
    next_exclusion_seconds : float
        How long they are left out the next time.
    """

    failed_at: OrderedDict[str, float] = field(factory=OrderedDict)
    excluded_until: float = float("-inf")
    next_exclusion_seconds: float = INITIAL_EXCLUSION_SECONDS

    @property
    def is_tripped(self) -> bool:
        """Whether it was left out since any of its endpoints answered."""
        return self.next_exclusion_seconds > INITIAL_EXCLUSION_SECONDS


class DomainBreaker:
    """Leaves out domains whose endpoints can't be reached.

    Parameters
    ----------
    own : str
        The daemon's domain, which is never left out.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.states: dict[str, DomainState] = {}

    def allows(self, domain: str, now: float) -> bool:
        """Return whether a domain's endpoints may be tried."""
        state = self.states.get(domain)
        return state is None or now >= state.excluded_until

    def is_tripped(self, domain: str) -> bool:
        """Return whether a domain was left out since any endpoint of it answered."""
        state = self.states.get(domain)
        return state is not None and state.is_tripped

    def record_sent(self, domain: str, now: float) -> None:
        """Note a call that is sent to a domain.

        One to a domain that was left out is a probe; until it has an answer,
        or had time for one, the domain is left out for the others.
        """
        state = self.states.get(domain)
        if state is not None and state.is_tripped:
            state.excluded_until = max(
                state.excluded_until, now + PROBE_TIMEOUT_SECONDS
            )

    def record_success(self, domain: str) -> None:
        """Note that an endpoint of a domain answered."""
        self.states.pop(domain, None)

    def record_failure(self, domain: str, endpoint: str, now: float) -> None:
        """Note that an endpoint could not be reached, or fell silent."""
        if domain == self.own_domain:
            return
        state = self.states.setdefault(domain, DomainState())
        state.failed_at[endpoint] = now
        state.failed_at.move_to_end(endpoint)
        while next(iter(state.failed_at.values())) < now - TRIP_WINDOW_SECONDS:
            state.failed_at.popitem(last=False)
        if len(state.failed_at) >= TRIP_ENDPOINTS or state.is_tripped:
            state.excluded_until = now + state.next_exclusion_seconds
            state.next_exclusion_seconds = min(
                _MAX_EXCLUSION_SECONDS, 2.0 * state.next_exclusion_seconds
            )
