"""Coordination with the other gateway daemons: registration, load and budgets."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.allowances.offline import (
    OfflineUsage,
    OfflineUsageReport,
    may_spend_offline,
    missing_members,
)
from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable, PeerUnavailable
from eelgrasslock.log.keyed_log import KeyedLog
from eelgrasslock.log.partitioned_log import PartitionedLog
from eelgrasslock.peers import daemon_registry
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.fallback_log import FallbackLog
from eelgrasslock.peers.load_exchange import LoadExchange, LoadScheduler
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.rate import TokenBucket

PEER_SILENCE_SECONDS = 3.0
CONTACT_AFTER_OUTAGE_SECONDS = 0.3
OUTAGE_RECOVERY_SECONDS = 2.0
# Without the log, each turn queries all reachable daemons. Ten daemons stay far
# below this rate; 82 daemons would use up their machines on such queries.
MAX_OFFLINE_QUERIES_PER_SECOND = 150.0

_log = logger.bind(part="peers")


class CoordinationLog(KeyedLog, PartitionedLog, Protocol):
    """The log in which daemons register and which they call on behalf of peers."""


class PeerCoordinator:
    """Registers this daemon and exchanges load and budget data with its peers.

    Parameters
    ----------
    entry : DaemonEntry
        The registration of this daemon.
    log : CoordinationLog
        The direct connection to the log.
    scheduler : LoadScheduler
        Provides this daemon's load and takes the peers' load.
    clock : Clock
        The source of time.
    rng : random.Random
        Selects peers and adds jitter to retries.

    Attributes
    ----------
    daemon_registry, mesh, load_exchange : DaemonRegistry, PeerMesh, LoadExchange
        The registered daemons, the connections to them, and their load.
    log : FallbackLog
        The log, reached through a peer if the direct connection fails.
    first_offline_query_at : float
        When a peer first queried the offline usage during an outage, on the
        monotonic clock; infinite before.
    last_log_response_at : callable
        Returns when the log last responded to this daemon, on the monotonic clock.
    registered_at : float
        When this daemon was registered, on the monotonic clock; infinite before.
    knows_fleet : callable
        Returns whether this daemon knows all daemons that started with it.
    log_outage_start : callable
        Returns the start of a current or just ended outage of the log, on the
        monotonic clock; infinite without one.
    """

    def __init__(
        self,
        entry: DaemonEntry,
        log: CoordinationLog,
        scheduler: LoadScheduler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.last_log_response_at: Callable[[], float] = clock.monotonic
        self.log_outage_start: Callable[[], float] = lambda: float("inf")
        self.knows_fleet: Callable[[], bool] = lambda: True
        self.registered_at = float("inf")
        self.allowances: AllowanceManager | None = None
        self.first_offline_query_at = float("inf")
        self.entry = entry
        self.direct_log = log
        self.clock = clock
        self.rng = rng
        self.offline_query_limiter = TokenBucket(
            clock, MAX_OFFLINE_QUERIES_PER_SECOND, MAX_OFFLINE_QUERIES_PER_SECOND
        )
        self.daemon_registry = DaemonRegistry(entry, rng)
        self.mesh = PeerMesh(entry.address, entry.incarnation, clock)
        self.load_exchange = LoadExchange(
            self.mesh, self.daemon_registry, scheduler, clock
        )
        self.log = FallbackLog(log, self.mesh, self.daemon_registry, clock)

    def register_callbacks(self, allowances: AllowanceManager) -> None:
        """Register the callbacks that answer the peers' calls."""
        self.allowances = allowances
        callbacks = self.mesh.callbacks
        callbacks.log = self.log.direct_log()
        callbacks.release_allowance = allowances.release
        callbacks.offline_usage = self._answer_offline_query
        callbacks.has_full_history = lambda: (
            allowances.has_full_history and self.knows_fleet()
        )

    async def register(self) -> None:
        """Write the registration to the log; retry until it succeeds."""
        backoff = Backoff(self.rng)
        while True:
            try:
                await self.direct_log.put(
                    daemon_registry.TOPIC, self.entry.name, self.entry.encode()
                )
            except LogUnavailable as error:
                _log.info("Registration failed, retrying: {}", error)
                await self.clock.sleep(backoff.next())
            else:
                self.registered_at = self.clock.monotonic()
                return

    async def deregister(self) -> None:
        """Remove the registration before the daemon stops.

        Raises
        ------
        LogUnavailable
            If the log did not respond.
        """
        await self.direct_log.put(daemon_registry.TOPIC, self.entry.name, b"")

    async def request_release(self, holder: str, program: str) -> int:
        """Ask another daemon to release the unspent tokens of a program.

        Returns
        -------
        int
            The number of released tokens.

        Raises
        ------
        PeerUnavailable
            If the daemon is not registered or did not respond.
        """
        entry = self.daemon_registry.find(holder)
        if entry is None:
            raise PeerUnavailable(f"{holder} is not registered.")

        async def ask(peer: Any) -> int:
            return (await peer.release(program=program)).tokens

        return await self.mesh.call(entry, ask)

    async def query_offline_usage(self, program: str) -> OfflineUsageReport | None:
        """Query the reachable daemons' offline usage of a program's budget.

        Offline usage is what a daemon spent while the log was unavailable.

        Returns
        -------
        OfflineUsageReport or None
            None if the reachable daemons must not spend offline, or if the limit
            of queries per second is reached.
        """
        all_daemons = list(self.daemon_registry.entries.values())
        entries = self._active_since_outage(all_daemons)
        log = _log.bind(program=program)
        if not self.offline_query_limiter.take_now(len(entries)):
            log.info(
                "Not querying {} daemons for offline usage: the limit is {}"
                " queries per second.",
                len(entries),
                MAX_OFFLINE_QUERIES_PER_SECOND,
            )
            return None
        answers = await asyncio.gather(
            *(self._query_peer(entry, program) for entry in entries)
        )
        usages = [usage for usage in answers if usage is not None]
        historians = {
            entry.incarnation
            for entry, usage in zip(entries, answers, strict=True)
            if usage is not None and usage.has_full_history
        }
        responding_domains = [usage.domain for usage in usages]
        # A domain without any response may be partitioned and spend offline as well.
        domains = [entry.domain for entry in all_daemons]
        if not may_spend_offline(self.entry.domain, domains, responding_domains):
            log.info(
                "{} of {} daemons responded, of the domains {}; other domains may"
                " spend offline as well.",
                len(responding_domains),
                len(all_daemons),
                sorted(set(responding_domains)),
            )
            return None
        if self._partitioned_during_outage(all_daemons, responding_domains):
            log.info(
                "Other domains became unreachable after the log outage began {:.1f} s"
                " ago; they may have spent offline before.",
                self.clock.monotonic() - self._first_outage_sign(),
            )
            return None
        expected = [entry.domain for entry in entries]
        return OfflineUsageReport(
            usages=usages,
            missing=missing_members(expected, responding_domains),
            has_full_history=self._knows_all_draws(historians),
        )

    async def _query_peer(
        self, entry: DaemonEntry, program: str
    ) -> OfflineUsage | None:
        async def call(peer: Any) -> Any:
            return await peer.offline(program=program)

        try:
            answer = await self.mesh.call(entry, call)
        except PeerUnavailable:
            # The decision counts and logs this daemon as missing.
            return None
        return OfflineUsage(
            domain=entry.domain,
            spent=answer.spent,
            drawn=answer.drawn,
            has_full_history=answer.fullHistory,
        )

    def _knows_all_draws(self, historians: set[str]) -> bool:
        """Return whether this daemon and some peers together know all draws.

        They don't if another daemon may have drawn for a program that may still
        return: one that did not answer, has been replaced, or has left.
        """
        assert self.allowances is not None
        retention_seconds = self.allowances.ledger.retention_seconds
        drew = self.load_exchange.seen_since(self.clock.monotonic() - retention_seconds)
        knows_history = self.allowances.has_full_history and self.knows_fleet()
        return knows_history and drew <= historians

    def _partitioned_during_outage(
        self, entries: list[DaemonEntry], responding_domains: list[str]
    ) -> bool:
        """Return whether other domains became unreachable after the log did.

        In between, all domains together may have allowed offline spending, and no
        reachable daemon knows what the others spent then.
        """
        own_domain = self.entry.domain
        remote = [entry for entry in entries if entry.domain != own_domain]
        if not remote or any(domain != own_domain for domain in responding_domains):
            return False
        last_contact = max(
            self.load_exchange.last_contact.get(one.incarnation, 0.0) for one in remote
        )
        return last_contact > self._first_outage_sign() + CONTACT_AFTER_OUTAGE_SECONDS

    def _first_outage_sign(self) -> float:
        """Return the first sign of a log outage, on the monotonic clock.

        A sign is a failed call of this daemon or a peer's query of the offline
        usage. A sign that is older than the log's last response no longer
        counts, except shortly after an outage: a draw may still fail while other
        calls succeed again, and the domains that spent offline may still be
        unreachable.
        """
        since = self.last_log_response_at() - OUTAGE_RECOVERY_SECONDS
        signs = [self.log.lost_at, self.first_offline_query_at, self.clock.monotonic()]
        first = min(sign for sign in signs if sign >= since)
        return min(first, self.log_outage_start())

    def _answer_offline_query(self, program: str) -> tuple[int, int]:
        """Return this daemon's offline usage to a peer without the log."""
        now = self.clock.monotonic()
        if (
            self.first_offline_query_at
            < self.last_log_response_at() - OUTAGE_RECOVERY_SECONDS
        ):
            self.first_offline_query_at = now
        self.first_offline_query_at = min(self.first_offline_query_at, now)
        assert self.allowances is not None
        return self.allowances.unrecorded.usage(program)

    def _active_since_outage(self, entries: list[DaemonEntry]) -> list[DaemonEntry]:
        """Return the daemons that may have served requests during the outage.

        The outage began at some time after the log's last response, which may be
        long before this daemon called the log again.
        """
        silence_seconds = max(PEER_SILENCE_SECONDS, 2 * self.load_exchange.interval())
        since = min(self.log.lost_at, self.last_log_response_at()) - silence_seconds
        return [
            one for one in entries if self.load_exchange.may_have_served(one, since)
        ]
