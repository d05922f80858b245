"""How long a silent endpoint is waited for before another one is tried.

Answers the pattern of a cut between domains under calls in flight: connections
that worked a moment ago carry nothing, and only time tells.
"""

from attrs import frozen

from eelgrasslock.gateway.routes import Route, RouteKind

OWN_SECONDS = 0.8
FAR_SECONDS = 0.4
STREAM_SECONDS = 0.9


@frozen(kw_only=True)
class Silence:
    """What is known while an endpoint has not answered.

    Attributes
    ----------
    is_far : bool
        Whether it is of another failure domain.
    is_domain_suspect : bool
        Whether its domain seems to be cut off.
    sent : int
        How many endpoints the request was sent to, this one included.
    seconds : float
        How long it has been silent.
    """

    is_far: bool
    is_domain_suspect: bool
    sent: int
    seconds: float


def first_wait(route: Route, is_far: bool) -> float | None:
    """Return after how long to look at a silent endpoint, None for never.

    What may not run again is waited for until its time is over.
    """
    if route.kind is RouteKind.SAFE:
        return FAR_SECONDS if is_far else OWN_SECONDS
    if route.kind is RouteKind.STREAM and route.resumable and is_far:
        return STREAM_SECONDS
    return None


def gives_up(route: Route, silence: Silence) -> bool:
    """Return whether another endpoint is tried in a silent one's place.

    A stream goes on elsewhere only if its endpoint seems to be cut off, which
    does not count against the endpoints that a request may be sent to. An
    idempotent call is patient with an endpoint that may just be busy: sending
    it to another one as well would add to the load.
    """
    is_cut_off = silence.is_far and silence.is_domain_suspect
    if route.kind is not RouteKind.SAFE:
        return is_cut_off
    is_long = silence.seconds >= OWN_SECONDS
    return silence.sent < route.most_endpoints and (is_cut_off or is_long)
