"""How long a silent endpoint is waited for before another one is tried.

Answers the pattern of a cut between domains under calls in flight: connections
that worked a moment ago carry nothing, and only time tells.
"""

from attrs import frozen

from eelgrasslock.gateway.routes import Route, RouteKind

RESPONSE_TIMEOUT_SECONDS = 0.8
REMOTE_CHECK_SECONDS = 0.4
STREAM_CHECK_SECONDS = 0.9


@frozen(kw_only=True)
class ResponseWait:
    """What is known while an endpoint has not answered.

    Attributes
    ----------
    is_remote_domain : bool
        Whether it is of another failure domain.
    is_domain_suspect : bool
        Whether its domain seems to be cut off.
    possible_executions : int
        How many endpoints may have run the request, this one included.
    waited_seconds : float
        How long it has been silent.
    """

    is_remote_domain: bool
    is_domain_suspect: bool
    possible_executions: int
    waited_seconds: float


def response_check_seconds(route: Route, is_remote_domain: bool) -> float | None:
    """Return after how long to look at a silent endpoint, None for never.

    What may not run again is waited for until its time is over.
    """
    if route.kind is RouteKind.SAFE:
        return REMOTE_CHECK_SECONDS if is_remote_domain else RESPONSE_TIMEOUT_SECONDS
    if route.kind is RouteKind.STREAM and route.resumable and is_remote_domain:
        return STREAM_CHECK_SECONDS
    return None


def should_fail_over(route: Route, silence: ResponseWait) -> bool:
    """Return whether another endpoint is tried in a silent one's place.

    A stream goes on elsewhere only if its endpoint seems to be cut off, which
    does not count against the endpoints that a request may be sent to. An
    idempotent call is patient with an endpoint that may just be busy: sending
    it to another one as well would add to the load.
    """
    is_cut_off = silence.is_remote_domain and silence.is_domain_suspect
    if route.kind is not RouteKind.SAFE:
        return is_cut_off
    is_long = silence.waited_seconds >= RESPONSE_TIMEOUT_SECONDS
    return silence.possible_executions < route.max_endpoints and (is_cut_off or is_long)
