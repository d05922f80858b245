"""The calls of endpoints that named a limit, and the tokens that they need."""

from eelgrasslock.clock import Clock
from eelgrasslock.scheduling.endpoint_table import EndpointTable
from eelgrasslock.scheduling.queueing import ProgramTable
from eelgrasslock.scheduling.token_demand import TokenDemand, token_demands


class LimitedCalls:
    """Gives tokens to the endpoints whose calls need them.

    Parameters
    ----------
    endpoint_table : EndpointTable
        The endpoints and their pools.
    programs : ProgramTable
        Tells programs under way from new ones.
    clock : Clock
        The source of time.
    """

    def __init__(
        self, endpoint_table: EndpointTable, programs: ProgramTable, clock: Clock
    ) -> None:
        self.endpoint_table = endpoint_table
        self.programs = programs
        self.clock = clock

    def set_limit(self, endpoint: str, per_second: float | None) -> None:
        """Let the calls of an endpoint need tokens, or none."""
        self.endpoint_table.set_request_limit(endpoint, per_second)

    def add_tokens(
        self, endpoint: str, count: int, wait_seconds: float, interval_seconds: float
    ) -> None:
        """Add tokens of an endpoint, and set when further ones are expected."""
        state = self.endpoint_table.find(endpoint)
        if state is None or state.tokens is None:
            return
        now = self.clock.monotonic()
        state.tokens.add(count, now)
        state.tokens.expect(now + wait_seconds, interval_seconds, now)
        self.endpoint_table.place_again(endpoint)

    def wait_ratio(self, service: str, model: str) -> float:
        """Return the calls that limits keep waiting for each that runs."""
        pool = self.endpoint_table.pools.get((service, model))
        return 0.0 if pool is None else pool.limited_wait_ratio()

    def demands(self) -> list[TokenDemand]:
        """Return the tokens that waiting calls need."""
        now = self.clock.monotonic()
        return token_demands(self.endpoint_table, self.programs, now)
