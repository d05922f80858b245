"""Gives each program an engine that all daemons of a failure domain agree on.

Answers the pattern of many daemons that each see a few turns of a program: one
that has sent none can't know which engine holds the program's context, and the
engine it guesses would compute the context again.
"""

from xxhash import xxh64_intdigest

from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.endpoint_state import EndpointState


def home_of(
    call: Call, states: list[EndpointState], domain: str, now: float
) -> EndpointState | None:
    """Return the engine that a program's calls prefer, by rendezvous hashing.

    Engines of the own domain come first, since a program's callers keep to
    one. One that closes hands its programs on to all others.

    Parameters
    ----------
    call : Call
        A call of the program.
    states : list of EndpointState
        The engines.
    domain : str
        This daemon's failure domain.
    now : float
        On the monotonic clock.
    """

    def score(state: EndpointState) -> tuple[bool, int]:
        key = f"{call.program}|{state.name}"
        return state.settings.domain == domain, xxh64_intdigest(key.encode())

    return max((one for one in states if one.is_open(now)), key=score, default=None)
