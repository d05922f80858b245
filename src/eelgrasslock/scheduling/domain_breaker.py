"""Circuit breakers for failure domains that this daemon cannot reach.

In a network partition, the connections to all endpoints of another domain hang
at once. Waiting for the breaker of each endpoint would cost several timeouts per
endpoint, so failures of a few endpoints exclude their whole domain.
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
    """Reachability of one domain.

    Attributes
    ----------
    failed_at : OrderedDict of str to float
        Time of the last failure of each endpoint, since any endpoint answered.
    excluded_until : float
        End of the exclusion of its endpoints, on the monotonic clock.
    next_exclusion_seconds : float
        Duration of the next exclusion.
    """

    failed_at: OrderedDict[str, float] = field(factory=OrderedDict)
    excluded_until: float = float("-inf")
    next_exclusion_seconds: float = INITIAL_EXCLUSION_SECONDS

    @property
    def is_tripped(self) -> bool:
        """Whether the domain was excluded and no endpoint has answered since."""
        return self.next_exclusion_seconds > INITIAL_EXCLUSION_SECONDS


class DomainBreaker:
    """Excludes domains whose endpoints cannot be reached.

    Parameters
    ----------
    own_domain : str
        The daemon's own domain, which is never excluded.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.states: dict[str, DomainState] = {}

    def allows(self, domain: str, now: float) -> bool:
        """Return whether calls may be sent to a domain."""
        state = self.states.get(domain)
        return state is None or now >= state.excluded_until

    def is_tripped(self, domain: str) -> bool:
        """Return whether a domain was excluded and has not answered since."""
        state = self.states.get(domain)
        return state is not None and state.is_tripped

    def record_sent(self, domain: str, now: float) -> None:
        """Record a call that is sent to a domain.

        A call to a domain that was excluded is a probe: the domain is excluded
        for other calls until the probe is answered or times out.
        """
        state = self.states.get(domain)
        if state is not None and state.is_tripped:
            state.excluded_until = max(
                state.excluded_until, now + PROBE_TIMEOUT_SECONDS
            )

    def record_success(self, domain: str) -> None:
        """Record that an endpoint of a domain answered."""
        self.states.pop(domain, None)

    def record_failure(self, domain: str, endpoint: str, now: float) -> None:
        """Record that an endpoint could not be reached or stopped responding."""
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
