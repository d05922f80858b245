"""Grants the tokens of quotas that this daemon owns."""

import random
from collections.abc import Callable
from typing import Any

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.peers.daemon_health import DaemonHealth
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.quotas.contact_watch import ContactWatch
from eelgrasslock.quotas.lease_bucket import Lease, LeaseBucket
from eelgrasslock.quotas.lease_messages import LeaseRequest, serve_lease
from eelgrasslock.quotas.quota_share import (
    QuotaBounds,
    QuotaShare,
    heard_factor,
    quota_share,
)
from eelgrasslock.workspaces.workspace import WorkspaceDirectory

# A daemon that was held up for longer may have been replaced meanwhile.
_MAX_PAUSE_SECONDS = 1.0
_HEARD_SECONDS = 0.2
# An owner that is cut off has to notice soon: one exchange of heartbeats, and the
# time that calls to daemons which do not answer may delay it.
_HEARD_INTERVALS = 1.5
_EXCHANGE_SECONDS = 0.5
# The daemons that are called at once to see whether any is reached.
_LOOKED_FOR = 2
IDLE_SECONDS = 5.0


class QuotaOwner:
    """Owns parts of quotas: those of its failure domain for which it is ranked first.

    Parameters
    ----------
    ranking : DaemonRanking
        Ranks the daemons for each workspace.
    health : DaemonHealth
        Says which of those that are ranked before this one answer.
    directory : callable
        Returns the workspaces of the configuration in force.
    bounds : QuotaBounds
        What is allowed beyond quotas.
    clock : Clock
        The source of time.
    rng : random.Random
        Picks daemons to call.

    Attributes
    ----------
    buckets : dict of str to LeaseBucket
        The buckets of workspaces that were asked for of late.
    contact : ContactWatch
        Tells whether any other daemon is reached.
    owned_since : float
        Since when no other daemon can have granted what this one is first for.
    """

    def __init__(
        self,
        ranking: DaemonRanking,
        health: DaemonHealth,
        directory: Callable[[], WorkspaceDirectory],
        bounds: QuotaBounds,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.rng = rng
        self.contact = ContactWatch()
        self.ranking = ranking
        self.health = health
        self.directory = directory
        self.bounds = bounds
        self.clock = clock
        self.buckets: dict[str, LeaseBucket] = {}
        self.owned_since = clock.monotonic()
        self.tasks = BackgroundTasks()
        self._looking_for: set[str] = set()
        self._own = ranking.registry.own
        self._names: set[str] = set()
        self._ran_at = self.owned_since
        self._heard = 1.0
        self._heard_at = float("-inf")

    async def serve(self, message: dict[str, Any], results: Any) -> None:
        """Serve another daemon's call for tokens."""
        self.contact.record(self.clock.monotonic())
        await serve_lease(self.answer, message, results)

    async def answer(self, request: LeaseRequest) -> Lease | None:
        """Return a lease, None if this daemon is not to grant any tokens."""
        workspace = self.directory().by_name.get(request.workspace)
        if workspace is None or not self.ranking.registry.is_own_read:
            return None
        ranked = self.ranking.ranked_in(self._own.domain, request.workspace)
        now = self.clock.monotonic()
        if not self._is_first(ranked) or self._is_alone(now):
            return None
        self._notice_pause(now)
        share = quota_share(
            workspace.requests_per_second,
            workspace.burst,
            len(self.ranking.domains()),
            self._heard_factor(now),
            self.bounds,
        )
        if not share.capacity:
            return None
        is_first = ranked[0] is self._own
        bucket = self._bucket(request.workspace, share, is_first, now)
        return bucket.lease(request.needed, request.extra, now)

    async def stop(self) -> None:
        """Stop looking for other daemons."""
        await self.tasks.stop()

    def _is_first(self, ranked: list[DaemonEntry]) -> bool:
        """Return whether all that are ranked before this one are known as silent.

        Others are looked for meanwhile, so that no answer waits for a silent daemon.
        """
        for entry in ranked:
            if entry is self._own:
                break
            if not self.health.is_silent(entry):
                self._start_to_look_for(entry)
                return False
        return True

    def _is_alone(self, now: float) -> bool:
        """Return whether this daemon reaches no other one of its domain."""
        if not self.contact.is_doubtful(now):
            return False
        others = [
            one
            for one in self.ranking.daemons_in(self._own.domain)
            if one is not self._own and self._is_heard_of(one)
        ]
        for entry in self.rng.sample(others, min(_LOOKED_FOR, len(others))):
            self._start_to_look_for(entry)
        return bool(others) and self.contact.is_lost(now)

    def _start_to_look_for(self, entry: DaemonEntry) -> None:
        if entry.incarnation not in self._looking_for:
            self._looking_for.add(entry.incarnation)
            self.tasks.start(self._look_for(entry))

    async def _look_for(self, entry: DaemonEntry) -> None:
        try:
            if await self.health.answers(entry):
                self.contact.record(self.clock.monotonic())
        finally:
            self._looking_for.discard(entry.incarnation)

    def update(self) -> None:
        """Follow the registry, and drop what is idle; called many times a second."""
        now = self.clock.monotonic()
        self._notice_pause(now)
        names = {one.name for one in self.ranking.daemons_in(self._own.domain)}
        if self._names - names:
            self.owned_since = now
        self._names = names
        by_name = self.directory().by_name
        self.buckets = {
            name: one
            for name, one in self.buckets.items()
            if name in by_name
            and (now < one.used_at + IDLE_SECONDS or not one.is_full(now))
        }

    def _notice_pause(self, now: float) -> None:
        """Give up all tokens after a pause in which others may have granted some."""
        if now > self._ran_at + _MAX_PAUSE_SECONDS:
            self.owned_since = now
            self.buckets.clear()
        self._ran_at = now

    def _bucket(
        self, name: str, share: QuotaShare, is_first: bool, now: float
    ) -> LeaseBucket:
        bucket = self.buckets.get(name)
        if bucket is None:
            since = self.owned_since if is_first else now
            bucket = self.buckets[name] = LeaseBucket(share, since, now)
        elif bucket.share != share:
            bucket.set_share(share, now)
        return bucket

    def _heard_factor(self, now: float) -> float:
        if now >= self._heard_at + _HEARD_SECONDS:
            entries = self.ranking.daemons_in(self._own.domain)
            heard = sum(one is self._own or self._is_heard_of(one) for one in entries)
            self._heard = heard_factor(heard, len(entries))
            self._heard_at = now
        return self._heard

    def _is_heard_of(self, entry: DaemonEntry) -> bool:
        interval = self.ranking.load_exchange.interval()
        seconds = _HEARD_INTERVALS * interval + _EXCHANGE_SECONDS
        return self.ranking.is_heard_of_within(entry, seconds)
