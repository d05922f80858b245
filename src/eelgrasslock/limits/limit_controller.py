"""Keeps the requests of all daemons within the limits that endpoints name.

One daemon, the owner, grants the requests to an endpoint; the others ask it for a
token for each request that waits there. No call of the log is made.
"""

import asyncio
from collections.abc import Callable, Set
from typing import Any, Protocol

from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.limits.grant_messages import (
    GrantAnswer,
    GrantRequest,
    call_for_grant,
    serve_grant,
)
from eelgrasslock.limits.grant_queue import Grant, GrantQueue
from eelgrasslock.limits.limit_table import EndpointLimit, LimitTable
from eelgrasslock.peers.daemon_health import DaemonHealth
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.scheduling.request_tokens import MIN_REQUESTS_PER_SECOND
from eelgrasslock.scheduling.token_demand import URGENT, TokenDemand

# What all daemons that reach no owner may send together, as a share of the limit.
FALLBACK_SHARE = 0.4
MAX_OWNERS_ASKED = 2
MAX_PAUSE_SECONDS = 0.25
MIN_PAUSE_SECONDS = 0.01

_UNKNOWN = EndpointLimit(per_second=None, seen_at=float("-inf"))
_log = logger.bind(part="limits")


class LimitedCallQueue(Protocol):
    """The scheduler's interface for limits and tokens."""

    def set_limit(self, endpoint: str, per_second: float | None) -> None:
        """Let calls of an endpoint need tokens, or none."""

    def add_tokens(
        self, endpoint: str, count: int, wait_seconds: float, interval_seconds: float
    ) -> None:
        """Add tokens, and set when further ones are expected."""

    def demands(self) -> list[TokenDemand]:
        """Return the tokens that waiting calls need."""


class LimitController:
    """Asks the owners of endpoints for tokens, and grants those that it owns.

    Parameters
    ----------
    owners : DaemonRanking
        Says which daemon grants the requests to an endpoint.
    mesh : PeerMesh
        Calls the other daemons.
    limited_calls : LimitedCallQueue
        Takes limits and tokens.
    clock : Clock
        The source of time.

    Attributes
    ----------
    table : LimitTable
        The limits that are known.
    queues, fallback_queues : dict of str to GrantQueue
        The grants of the endpoints that this daemon owns, and its own share of
        those whose owner it does not reach.
    on_tokens : callable
        Called after tokens were added or a limit changed.
    """

    def __init__(
        self,
        owners: DaemonRanking,
        mesh: PeerMesh,
        limited_calls: LimitedCallQueue,
        clock: Clock,
    ) -> None:
        self.owners = owners
        self.mesh = mesh
        self.limited_calls = limited_calls
        self.clock = clock
        self.table = LimitTable()
        self.queues: dict[str, GrantQueue] = {}
        self.fallback_queues: dict[str, GrantQueue] = {}
        self.on_tokens: Callable[[], None] = lambda: None
        self.daemon_health = DaemonHealth(owners, mesh, clock)
        self._own = owners.registry.own
        self._asking: dict[str, asyncio.Task[None]] = {}
        self.tasks = BackgroundTasks()

    # --- limits -----------------------------------------------------------------

    def observe(
        self, endpoint: str, is_named: bool, per_second: float | None, sent_at: float
    ) -> None:
        """Record what a response said of its endpoint's limit.

        Parameters
        ----------
        endpoint : str
            The endpoint's id.
        is_named : bool
            Whether the response named a limit.
        per_second : float or None
            The limit, None if it can't be read or none was named.
        sent_at : float
            When the request was sent, on the monotonic clock.
        """
        now = self.clock.monotonic()
        changed = False
        if per_second is not None:
            changed = self.table.record_named(endpoint, per_second, now)
        elif is_named:
            self.table.record_unreadable(endpoint, now)
        else:
            changed = self.table.record_none(endpoint, sent_at, now)
        if changed:
            self._apply(endpoint)
            self._tell_owner(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that restarted or is gone."""
        self.table.forget(endpoint)
        self.queues.pop(endpoint, None)
        self.fallback_queues.pop(endpoint, None)
        self.limited_calls.set_limit(endpoint, None)

    def forget_others(self, endpoints: Set[str]) -> None:
        """Forget all endpoints but these."""
        for endpoint in self.table.limits.keys() - endpoints:
            self.forget(endpoint)
        self.daemon_health.forget_past()

    def _apply(self, endpoint: str) -> None:
        """Let the scheduler and the queues follow the limit as it is known now."""
        per_second = self.table.per_second(endpoint)
        _log.bind(endpoint=endpoint).info(
            "Endpoint {} {}.",
            endpoint,
            "named no limit any more"
            if per_second is None
            else f"takes {per_second} requests a second",
        )
        self.limited_calls.set_limit(endpoint, per_second)
        if per_second is None:
            self.queues.pop(endpoint, None)
            self.fallback_queues.pop(endpoint, None)
        self.on_tokens()

    def _merge(self, endpoint: str, limit: EndpointLimit) -> None:
        if self.table.merge(endpoint, limit):
            self._apply(endpoint)

    def _tell_owner(self, endpoint: str) -> None:
        """Tell the owner of a changed limit, which the other daemons learn from it."""
        self.tasks.start(self._ask_owners(endpoint, 0, URGENT))

    # --- asking -----------------------------------------------------------------

    def request_tokens(self) -> None:
        """Ask for the tokens that waiting calls need; called after each assignment."""
        if not self.table.limits:
            return
        for demand in self.limited_calls.demands():
            if demand.endpoint not in self._asking:
                task = self.tasks.start(self._obtain(demand))
                self._asking[demand.endpoint] = task

    async def stop(self) -> None:
        """Stop asking."""
        await self.tasks.stop()

    async def _obtain(self, demand: TokenDemand) -> None:
        """Ask once, and wait until it is worth asking again."""
        endpoint = demand.endpoint
        try:
            grant = await self._ask_owners(endpoint, demand.count, demand.urgency)
            rate = self.table.per_second(endpoint)
            if rate is not None:
                interval = grant.askers / max(rate, MIN_REQUESTS_PER_SECOND)
                self.limited_calls.add_tokens(
                    endpoint, grant.count, grant.wait_seconds, interval
                )
                self.on_tokens()
            if grant.count < demand.count:
                seconds = max(MIN_PAUSE_SECONDS, grant.wait_seconds)
                await self.clock.sleep(min(MAX_PAUSE_SECONDS, seconds))
        finally:
            del self._asking[endpoint]
        self.on_tokens()

    async def _ask_owners(self, endpoint: str, count: int, urgency: int) -> Grant:
        """Return the grant of the first owner that answers, or of the own share."""
        asked = 0
        for entry in self.owners.ranked(endpoint):
            if self.daemon_health.is_silent(entry):
                continue
            if asked == MAX_OWNERS_ASKED:
                break
            asked += 1
            answer = await self._ask(entry, endpoint, count, urgency)
            if answer is None:
                continue
            self._merge(endpoint, answer.limit)
            if answer.grant is not None:
                return answer.grant
            break
        return self._fallback_grant(endpoint, count, urgency)

    async def _ask(
        self, entry: DaemonEntry, endpoint: str, count: int, urgency: int
    ) -> GrantAnswer | None:
        """Return a daemon's answer, None if it gives none."""
        limit = self.table.limits.get(endpoint, _UNKNOWN)
        request = GrantRequest(
            endpoint=endpoint,
            asker=self._own.name,
            count=count,
            urgency=urgency,
            limit=limit,
        )
        if entry is self._own:
            return GrantAnswer(grant=self._grant(request), limit=limit)
        try:
            return await call_for_grant(self.mesh, entry, request, self.clock)
        except PeerUnavailable as error:
            self.daemon_health.record_silent(entry)
            _log.bind(endpoint=endpoint).info(
                "{} grants no requests to {}: {}", entry.name, endpoint, error
            )
            return None

    def _fallback_grant(self, endpoint: str, count: int, urgency: int) -> Grant:
        """Grant this daemon's part of the share of those who reach no owner."""
        now = self.clock.monotonic()
        limit = self.table.per_second(endpoint) or 0.0
        rate = FALLBACK_SHARE * limit / self.owners.daemon_count()
        return _grant_from(
            self.fallback_queues, endpoint, rate, self._own.name, count, urgency, now
        )

    # --- granting ---------------------------------------------------------------

    async def serve(self, message: dict[str, Any], results: Any) -> None:
        """Serve another daemon's call for tokens."""
        await serve_grant(self.answer, message, results, self.clock)

    async def answer(self, request: GrantRequest) -> GrantAnswer:
        """Answer another daemon."""
        endpoint = request.endpoint
        self._merge(endpoint, request.limit)
        grant = None
        if await self._is_owner(endpoint):
            grant = self._grant(request)
        limit = self.table.limits.get(endpoint, _UNKNOWN)
        return GrantAnswer(grant=grant, limit=limit)

    def _grant(self, request: GrantRequest) -> Grant:
        now = self.clock.monotonic()
        limit = self.table.per_second(request.endpoint)
        if limit is None:
            return Grant(count=request.count, wait_seconds=0.0, askers=1)
        rate = max(MIN_REQUESTS_PER_SECOND, limit) * self.owners.reachable_share()
        return _grant_from(
            self.queues,
            request.endpoint,
            rate,
            request.asker,
            request.count,
            request.urgency,
            now,
        )

    async def _is_owner(self, endpoint: str) -> bool:
        """Return whether all daemons that would be the owner first are silent."""
        for entry in self.owners.ranked(endpoint):
            if entry is self._own:
                return True
            if await self.daemon_health.answers(entry):
                return False
        return True


def _grant_from(
    queues: dict[str, GrantQueue],
    endpoint: str,
    rate: float,
    asker: str,
    count: int,
    urgency: int,
    now: float,
) -> Grant:
    queue = queues.get(endpoint)
    if queue is None:
        queue = queues[endpoint] = GrantQueue(rate, now)
    elif queue.per_second != rate:
        queue.set_rate(rate, now)
    return queue.ask(asker, count, urgency, now)
