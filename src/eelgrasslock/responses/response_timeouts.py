"""How long to wait for an endpoint's response before trying another endpoint.

A network partition between failure domains can interrupt calls in flight. The
established connections then carry no data and report no error, so that only a
timeout detects it.
"""

from attrs import frozen

from eelgrasslock.routing.routes import Route, RouteKind

RESPONSE_TIMEOUT_SECONDS = 0.8
REMOTE_CHECK_SECONDS = 0.4
STREAM_CHECK_SECONDS = 0.9
SILENCE_CHECK_SECONDS = 0.5


@frozen(kw_only=True)
class ResponseWait:
    """State of an attempt whose response has not started yet.

    Attributes
    ----------
    is_unreachable : bool
        Whether the endpoint's failure domain, or any endpoint, is out of reach.
    possible_executions : int
        How many endpoints may have run the request, including this one.
    waited_seconds : float
        How long this attempt has been waiting for the response.
    """

    is_unreachable: bool
    possible_executions: int
    waited_seconds: float


def response_check_seconds(route: Route, is_remote_domain: bool) -> float:
    """Return the interval of checks on a pending response.

    A request that is not safe to repeat waits until its deadline all the same; the
    checks find out whether this daemon has lost its links.
    """
    if route.kind is RouteKind.SAFE:
        return REMOTE_CHECK_SECONDS if is_remote_domain else RESPONSE_TIMEOUT_SECONDS
    if route.kind is RouteKind.STREAM and route.resumable and is_remote_domain:
        return STREAM_CHECK_SECONDS
    return SILENCE_CHECK_SECONDS


def should_fail_over(route: Route, response_wait: ResponseWait) -> bool:
    """Return whether to abandon the attempt and try another endpoint.

    A stream moves only if its endpoint seems to be unreachable; such an attempt
    does not count towards the route's limit of endpoints. An idempotent call
    waits longer for an endpoint that may only be busy, since sending the call to
    another endpoint as well would add to the load.
    """
    is_unreachable = response_wait.is_unreachable
    if route.kind is not RouteKind.SAFE:
        return is_unreachable and route.kind is RouteKind.STREAM and route.resumable
    is_timed_out = response_wait.waited_seconds >= RESPONSE_TIMEOUT_SECONDS
    return response_wait.possible_executions < route.max_endpoints and (
        is_unreachable or is_timed_out
    )
