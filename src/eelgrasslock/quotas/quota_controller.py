"""Keeps the requests of workspaces within their quotas over all daemons.

Each failure domain has an equal part of each quota, granted by one of its daemons.
The others lease tokens from it, ahead of need while requests come quickly, and from
the other domains if their own has none left. No call of the log is made.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable, Refusal
from eelgrasslock.peers.daemon_health import DaemonHealth
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.quotas.lease_bucket import Lease, LeaseBucket
from eelgrasslock.quotas.lease_messages import LeaseRequest, call_for_lease
from eelgrasslock.quotas.quota_owner import IDLE_SECONDS, QuotaOwner
from eelgrasslock.quotas.quota_share import QuotaBounds, QuotaShare
from eelgrasslock.quotas.workspace_demand import (
    ArrivalRate,
    QuotaToken,
    Waiter,
    WorkspaceDemand,
)
from eelgrasslock.workspaces.workspace import Workspace, WorkspaceDirectory

QUOTA_REACHED = "quota_reached"
# How long a request waits for a token that is due, and for owners that are slow.
MAX_WAIT_SECONDS = 0.1
MAX_ASK_SECONDS = 0.3
CALL_SECONDS = 0.1
RETRY_SECONDS = 0.15
# After so many calls without an answer in a row, to whomever, one daemon is tried
# from time to time.
MAX_FAILURES = 6
PROBE_SECONDS = 0.25
ALONE_SECONDS = 0.5
_MIN_PAUSE_SECONDS = 0.005
MAX_RETRY_AFTER_SECONDS = 5.0
_MIN_RETRY_AFTER_SECONDS = 0.05
_JITTER = 0.5


class QuotaController:
    """Takes a token for each request, and grants those that this daemon owns.

    Parameters
    ----------
    ranking : DaemonRanking
        Says which daemon of a domain grants a workspace's tokens.
    mesh : PeerMesh
        Calls the other daemons.
    directory : callable
        Returns the workspaces of the configuration in force.
    bounds : QuotaBounds
        What is allowed beyond quotas.
    clock : Clock
        The source of time.
    rng : random.Random
        Spreads the times at which callers come back.

    Attributes
    ----------
    owner : QuotaOwner
        Grants the tokens that this daemon owns.
    demands : dict of str to WorkspaceDemand
        The workspaces whose requests came of late.
    count : callable
        Called with what became of tokens (``held``, ``leased``, ``refused``) and
        their number.
    """

    def __init__(
        self,
        ranking: DaemonRanking,
        mesh: PeerMesh,
        directory: Callable[[], WorkspaceDirectory],
        bounds: QuotaBounds,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.ranking = ranking
        self.mesh = mesh
        self.directory = directory
        self.bounds = bounds
        self.clock = clock
        self.rng = rng
        self.health = DaemonHealth(ranking, mesh, clock)
        self.owner = QuotaOwner(ranking, self.health, directory, bounds, clock, rng)
        self.demands: dict[str, WorkspaceDemand] = {}
        self.count: Callable[[str, int], None] = lambda action, tokens: None
        self.tasks = BackgroundTasks()
        self._failures = 0
        self._probe_at = 0.0
        self._own = ranking.registry.own

    async def serve(self, message: dict[str, Any], results: Any) -> None:
        """Serve another daemon's call for tokens."""
        await self.owner.serve(message, results)

    async def stop(self) -> None:
        """Stop asking."""
        await self.tasks.stop()
        await self.owner.stop()

    def update(self) -> None:
        """Follow the registry, and drop what is idle; called many times a second."""
        self.owner.update()
        self.health.forget_past()
        since = self.clock.monotonic() - IDLE_SECONDS
        self.demands = {
            name: one for name, one in self.demands.items() if not one.is_idle(since)
        }

    def held_state(self) -> int:
        """Return the number of buckets and workspaces in memory."""
        return len(self.demands) + len(self.owner.buckets)

    # --- requests ---------------------------------------------------------------

    async def take(self, name: str) -> QuotaToken | None:
        """Return a token for a request of a workspace, None if it needs none.

        Raises
        ------
        Refusal
            If the workspace's quota is reached.
        """
        workspace = self.directory().by_name.get(name)
        if workspace is None or not workspace.requests_per_second:
            return None
        now = self.clock.monotonic()
        demand = self._demand(name)
        demand.used_at = now
        demand.arrivals.record(now)
        if demand.alone is not None and not demand.is_asking:
            self._lease_alone(demand, workspace, 1)
        expires_at = None if demand.waiting else demand.held.take(now)
        if expires_at is not None:
            self.count("held", 1)
            return QuotaToken(workspace=name, expires_at=expires_at)
        due_at = self._due_at(demand)
        if not demand.is_asking and due_at > now + MAX_WAIT_SECONDS:
            raise self._refusal(due_at - now)
        waiter = Waiter(since=now, token=asyncio.get_running_loop().create_future())
        demand.waiting.append(waiter)
        if not demand.is_asking:
            demand.is_asking = True
            self.tasks.start(self._obtain(demand, workspace))
        return await waiter.token

    def give_back(self, token: QuotaToken | None) -> None:
        """Let another request use the token of one that did not run."""
        if token is None:
            return
        demand = self.demands.get(token.workspace)
        if demand is not None and token.expires_at > self.clock.monotonic():
            demand.held.give_back(token.expires_at)

    def _demand(self, name: str) -> WorkspaceDemand:
        demand = self.demands.get(name)
        if demand is None:
            rate = ArrivalRate(self.bounds.lease_seconds)
            demand = self.demands[name] = WorkspaceDemand(name=name, arrivals=rate)
        return demand

    # --- asking -----------------------------------------------------------------

    async def _obtain(self, demand: WorkspaceDemand, workspace: Workspace) -> None:
        """Ask until nobody waits any more."""
        try:
            while demand.waiting:
                await self._ask_domains(demand)
                if demand.waiting:
                    self._lease_alone(demand, workspace, len(demand.waiting))
                now = self.clock.monotonic()
                demand.serve_waiting(now)
                due_at = self._due_at(demand)
                self._refuse_overdue(demand, due_at, now)
                if demand.waiting:
                    await self.clock.sleep(max(_MIN_PAUSE_SECONDS, due_at - now))
        finally:
            demand.is_asking = False
            self._refuse_overdue(demand, float("inf"), self.clock.monotonic())

    async def _ask_domains(self, demand: WorkspaceDemand) -> None:
        """Ask the owners of the domains, the own one first, for what is missing."""
        for domain in self.ranking.domains():
            demand.drop_gone()
            asked_at = self.clock.monotonic()
            if not demand.waiting:
                return
            if asked_at < demand.empty_until.get(domain, 0.0):
                continue
            needed = len(demand.waiting)
            extra = max(0, demand.arrivals.recent(asked_at) - needed)
            lease = await self._ask(
                domain, LeaseRequest(workspace=demand.name, needed=needed, extra=extra)
            )
            now = self.clock.monotonic()
            if lease is None:
                demand.empty_until[domain] = now + RETRY_SECONDS
                continue
            demand.answered_at = now
            demand.empty_until[domain] = now + lease.wait_seconds
            demand.held.add(lease.count, asked_at + self.bounds.lease_seconds)
            self.count("leased", lease.count)
            demand.serve_waiting(now)

    async def _ask(self, domain: str, request: LeaseRequest) -> Lease | None:
        """Return the lease of a domain's owner, None without an answer."""
        ranked = self.ranking.ranked_in(domain, request.workspace)
        for entry in ranked:
            if entry is self._own:
                return await self.owner.answer(request)
            if not self.health.is_silent(entry):
                return await self._call(entry, request)
        return None

    async def _call(self, entry: DaemonEntry, request: LeaseRequest) -> Lease | None:
        now = self.clock.monotonic()
        if self._failures >= MAX_FAILURES and now < self._probe_at:
            return None
        self._probe_at = now + PROBE_SECONDS
        try:
            lease = await call_for_lease(self.mesh, entry, request, CALL_SECONDS)
        except PeerUnavailable:
            self._failures += 1
            self.health.record_silent(entry)
            return None
        self._failures = 0
        return lease

    def _lease_alone(
        self, demand: WorkspaceDemand, workspace: Workspace, count: int
    ) -> None:
        """Use this daemon's own part of the rate while no owner answers."""
        now = self.clock.monotonic()
        if demand.answered_at > now - ALONE_SECONDS:
            demand.alone = None
            return
        rate = workspace.requests_per_second / self.ranking.daemon_count()
        share = QuotaShare(per_second=rate, capacity=1.0)
        if demand.alone is None:
            demand.alone = LeaseBucket(share, now, now)
        demand.alone.set_share(share, now)
        lease = demand.alone.lease(count, 0, now)
        demand.held.add(lease.count, now + self.bounds.lease_seconds)

    # --- refusing ---------------------------------------------------------------

    def _due_at(self, demand: WorkspaceDemand) -> float:
        """Return when it is worth asking an owner again."""
        domains = self.ranking.domains()
        return min(demand.empty_until.get(domain, 0.0) for domain in domains)

    def _refuse_overdue(
        self, demand: WorkspaceDemand, due_at: float, now: float
    ) -> None:
        """Refuse those for whom the next token comes too late."""
        latest = max(due_at - MAX_WAIT_SECONDS, now - MAX_ASK_SECONDS)
        while demand.waiting and demand.waiting[0].since < latest:
            waiter = demand.waiting.popleft()
            if not waiter.token.done():
                seconds = min(due_at - now, MAX_RETRY_AFTER_SECONDS)
                waiter.token.set_exception(self._refusal(seconds))

    def _refusal(self, wait_seconds: float) -> Refusal:
        self.count("refused", 1)
        seconds = max(_MIN_RETRY_AFTER_SECONDS, wait_seconds)
        return Refusal(
            QUOTA_REACHED,
            "The workspace has sent as many requests as it may.",
            429,
            retry_after=seconds * (1.0 + _JITTER * self.rng.random()),
        )
