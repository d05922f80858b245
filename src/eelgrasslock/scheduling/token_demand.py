"""How many tokens the waiting calls need, for each endpoint that named a limit."""

from attrs import frozen

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.endpoint_pool import EndpointPool
from eelgrasslock.scheduling.endpoint_state import EndpointState
from eelgrasslock.scheduling.endpoint_table import EndpointTable
from eelgrasslock.scheduling.queueing import ProgramTable

URGENT = 0
NEW_PROGRAM = 1


@frozen
class TokenDemand:
    """The tokens that calls wait for at one endpoint.

    Attributes
    ----------
    endpoint : str
        The endpoint's id.
    count : int
        Number of tokens, 0 for none.
    urgency : int
        `URGENT` if the first of the calls is a lookup or belongs to a program under
        way, `NEW_PROGRAM` otherwise; the lower value goes first.
    """

    endpoint: str
    count: int
    urgency: int


def token_demands(
    table: EndpointTable, programs: ProgramTable, now: float
) -> list[TokenDemand]:
    """Return the demand at each endpoint that named a limit and lacks tokens."""
    demands = []
    for name in table.limited:
        state = table.states.get(name)
        if state is None or state.tokens is None:
            continue
        demand = _demand(table, programs, state, now)
        if demand.count > 0:
            demands.append(demand)
    return demands


def _demand(
    table: EndpointTable, programs: ProgramTable, state: EndpointState, now: float
) -> TokenDemand:
    assert state.tokens is not None
    count = -state.tokens.available(now)
    urgency = NEW_PROGRAM
    for pool in table.pools_by_endpoint.get(state.name, ()):
        count += pool.endpoint_queue_lengths.get(state.name, 0)
        head = pool.endpoint_queue_head(state.name)
        if head is not None and _is_under_way(programs, head.call.program):
            urgency = URGENT
        lookups = pool.waiting[CallClass.LOOKUP]
        if lookups and _takes_lookups(pool, state, now):
            count += lookups
            urgency = URGENT
    return TokenDemand(state.name, count, urgency)


def _is_under_way(programs: ProgramTable, program: str) -> bool:
    usage = programs.programs.get(program)
    return usage is not None and usage.calls_started > 0


def _takes_lookups(pool: EndpointPool, state: EndpointState, now: float) -> bool:
    """Return whether the pool's lookups, which wait at no endpoint, want this one."""
    waits = [
        (one.token_wait(0, now), one.name)
        for one in pool.states
        if one.tokens is not None and one.is_open(now)
    ]
    return bool(waits) and min(waits)[1] == state.name
