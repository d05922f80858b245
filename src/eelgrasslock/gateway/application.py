"""The central object of a daemon that serves routes."""

import asyncio
import random
import secrets
from typing import Any, Protocol

from attrs import frozen
from loguru import logger

from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.allowances.ledger import Ledger
from eelgrasslock.allowances.offline import (
    OfflineAnswers,
    OfflineWord,
    may_spend_offline,
    missing_members,
)
from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, PeerUnavailable
from eelgrasslock.gateway.attempts import Attempts
from eelgrasslock.gateway.deployment import build_configuration
from eelgrasslock.gateway.directory import EndpointDirectory
from eelgrasslock.gateway.forwarder import Forwarder
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.interfaces import Dialect, Records
from eelgrasslock.gateway.listener import Listener, MetricsServer, ReadyServer
from eelgrasslock.gateway.reports import Reporter
from eelgrasslock.gateway.routes import RequestLimits
from eelgrasslock.gateway.routing import Endpoints, Routing
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.log.keyed import KeyedLog
from eelgrasslock.log.keyed_follower import KeyedFollower, KeyedState
from eelgrasslock.log.partitioned import PartitionedLog
from eelgrasslock.peers import roster
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.peers.mesh import PeerMesh
from eelgrasslock.peers.relayed_log import RelayedLog
from eelgrasslock.peers.roster import Roster, RosterEntry
from eelgrasslock.periodic import run_periodically
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics, peak_memory_bytes

CONFIGURATION_WAIT_SECONDS = 1.5
CONFIGURATION_PAUSE_SECONDS = 0.05
ENDPOINTS_WAIT_SECONDS = 1.5
ENDPOINTS_PAUSE_SECONDS = 0.45
ROSTER_WAIT_SECONDS = 8.0
ROSTER_PAUSE_SECONDS = 0.2
TICK_SECONDS = 0.1
RECORD_SECONDS = 0.4
KEEP_SECONDS = 20.0
SILENT_SECONDS = 3.0
SERVING_SECONDS = 3.0
LAST_SECONDS = 1.5
GIVE_BACK_SECONDS = 0.5
QUIET_SECONDS = 0.15
MOST_QUIET_TRIES = 4

_INCARNATION_BYTES = 6
_log = logger.bind(part="daemon")


class GatewayLog(KeyedLog, PartitionedLog, Protocol):
    """What the gateway keeps on, and reads from, the platform's log."""


@frozen(kw_only=True)
class Platform:
    """The platform's side of the seams.

    Attributes
    ----------
    log : GatewayLog
        Its log.
    records : Records
        Reads what the platform and its operators write there.
    dialect : Dialect
        Translates requests and answers.
    """

    log: GatewayLog
    records: Records
    dialect: Dialect


class GatewayApplication:
    """One start of one daemon, from its settings to its end.

    Parameters
    ----------
    settings : GatewaySettings
        What the process was started with.
    platform : Platform
        The platform's side of the seams.
    pool : ConnectionPool
        Connections to endpoints and to the log.
    clock : Clock
        The time.
    rng : random.Random
        The generator for jitter and sampling.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        platform: Platform,
        pool: ConnectionPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.pool = pool
        self.clock = clock
        self.rng = rng
        self.metrics = GatewayMetrics()
        self.incarnation = f"{settings.name}-{secrets.token_hex(_INCARNATION_BYTES)}"
        self.draining = False
        self._ticked = 0.0
        self._daemons = 1
        self._tasks: list[asyncio.Task[None]] = []
        self._make_decisions()
        self._make_peers()
        self._make_state()
        self._make_passes()
        self._make_servers()

    def _make_decisions(self) -> None:
        empty = Configuration(deployment="", domains=[self.settings.domain])
        self.scheduler = Scheduler(self.clock, self.rng, empty, self.settings.domain)
        self.dispatcher = Dispatcher(self.scheduler, self.clock)

    def _make_peers(self) -> None:
        settings = self.settings
        self.entry = RosterEntry(
            name=settings.name,
            incarnation=self.incarnation,
            domain=settings.domain,
            address=settings.peer_address,
        )
        self.roster = Roster(self.entry, self.rng)
        self.mesh = PeerMesh(settings.peer_address, self.incarnation, self.clock)
        self.loads = LoadExchange(self.mesh, self.roster, self.scheduler, self.clock)

    def _make_state(self) -> None:
        platform = self.platform
        self.directory = EndpointDirectory(self.clock)
        self.routing = Routing(platform.records, self._configuration_changed)
        self.endpoints = Endpoints(
            platform.records, self.directory, self._changed, self._reborn
        )
        topics = platform.records.topics
        self.followers = [
            self._follower(
                topics.configuration,
                self.routing,
                CONFIGURATION_WAIT_SECONDS,
                CONFIGURATION_PAUSE_SECONDS,
            ),
            self._follower(
                topics.endpoints,
                self.endpoints,
                ENDPOINTS_WAIT_SECONDS,
                ENDPOINTS_PAUSE_SECONDS,
            ),
            self._follower(
                roster.TOPIC, self.roster, ROSTER_WAIT_SECONDS, ROSTER_PAUSE_SECONDS
            ),
        ]
        self.log = RelayedLog(platform.log, self.mesh, self.roster, self.clock)
        ledger = Ledger(
            self.log,
            self.settings.store_partitions,
            self.incarnation,
            self.clock,
            self.settings.store_retention_seconds,
        )
        self.allowances = Allowances(
            ledger,
            self.clock,
            self._ask_holder,
            self._ask_offline,
            self.metrics.tokens_moved,
        )
        self.mesh.callbacks.offline_word = self.allowances.offline_word
        self.mesh.callbacks.log = platform.log
        self.mesh.callbacks.release_allowance = self.allowances.release

    def _follower(
        self, topic: str, state: KeyedState, wait_seconds: float, pause_seconds: float
    ) -> KeyedFollower:
        return KeyedFollower(
            self.platform.log,
            topic,
            state,
            self.clock,
            self.rng,
            wait_seconds,
            pause_seconds,
        )

    def _make_passes(self) -> None:
        attempts = Attempts(
            self.pool,
            self.directory,
            self.platform.dialect,
            self.clock,
            self.metrics,
            self.settings.domain,
            self.scheduler.domains.is_suspect,
        )
        forwarder = Forwarder(
            self.dispatcher, self.scheduler, attempts, self.clock, self.metrics
        )
        self.handler = GatewayHandler(
            self.routing,
            self.allowances,
            forwarder,
            self.platform.dialect,
            self.clock,
            self.rng,
            Reporter(self.metrics, self.clock),
        )

    def _make_servers(self) -> None:
        dialect = self.platform.dialect
        self.listener = Listener(
            self.settings.front_address,
            self.handler.handle,
            dialect,
            self._limits,
            self.clock,
        )
        self.ready_server = ReadyServer(
            self.settings.ready_address, dialect.ready_path, self.is_ready
        )
        self.metrics_server = MetricsServer(
            self.settings.metrics_address, self.metrics.text
        )
        self._watch_gauges()

    def _watch_gauges(self) -> None:
        watch = self.metrics.watch
        watch("in_flight", "Requests in flight.", lambda: self.handler.in_flight.count)
        watch("waiting", "Calls that wait.", lambda: len(self.dispatcher.waiting))
        watch("endpoints", "Endpoints known.", lambda: len(self.directory.entries))
        watch("endpoints_out", "Endpoints left out.", self._endpoints_out)
        watch("peers", "Peers heard of late.", lambda: len(self.loads.heard))
        watch("configuration_version", "The version in force.", self._version)
        watch("relayed_calls", "Log calls by peers.", lambda: self.log.relayed)
        watch("connections_opened", "Connections opened.", lambda: self.pool.opened)
        watch("connections_reused", "Connections reused.", lambda: self.pool.reused)
        watch("accounts", "Programs with an account.", self._accounts)
        watch("peak_memory_bytes", "The most memory held.", peak_memory_bytes)

    def _endpoints_out(self) -> float:
        return len(self.scheduler.fleet.open_breakers())

    def _version(self) -> float:
        return self.routing.current.version if self.routing.current else 0

    def _accounts(self) -> float:
        return len(self.allowances.accounts)

    # --- what the parts ask of each other -------------------------------------

    def is_ready(self) -> bool:
        """Return whether new connections may come."""
        has_endpoints = bool(self.directory.entries)
        return not self.draining and self.routing.current is not None and has_endpoints

    def _limits(self) -> RequestLimits:
        current = self.routing.current
        return current.limits if current is not None else RequestLimits()

    def _configuration_changed(self) -> None:
        self.listener.limits_changed()
        self._changed()

    def _changed(self) -> None:
        current = self.routing.current
        if current is None:
            return
        entries = self.directory.entries.values()
        domains = sorted({entry.domain for entry in entries})
        self._daemons = 1 + len(self.roster.entries)
        self.scheduler.configure(
            build_configuration(current, entries, domains, self._daemons)
        )
        self.dispatcher.kick()

    def _reborn(self, endpoint: str) -> None:
        self.scheduler.restarted(endpoint)

    async def _ask_holder(self, holder: str, program: str) -> int:
        """Ask another daemon to give up what it has not spent on a program."""
        entry = self.roster.find(holder)
        if entry is None:
            raise PeerUnavailable(f"{holder} is gone.")

        async def ask(peer: Any) -> int:
            return (await peer.release(program=program)).tokens

        return await self.mesh.ask(entry, ask)

    async def _ask_offline(self, program: str) -> OfflineAnswers | None:
        """Ask all daemons in reach what they spent on a program without the log."""
        silence = max(SILENT_SECONDS, 2 * self.loads.interval())
        since = self.log.lost_at - silence
        entries = [
            entry
            for entry in self.roster.entries.values()
            if self.loads.may_have_lived(entry, since)
        ]

        async def ask(entry: RosterEntry) -> OfflineWord | None:
            async def call(peer: Any) -> Any:
                return await peer.offline(program=program)

            try:
                answer = await self.mesh.ask(entry, call)
            except PeerUnavailable:
                return None
            return OfflineWord(
                domain=entry.domain, spent=answer.spent, drawn=answer.drawn
            )

        answers = await asyncio.gather(*(ask(entry) for entry in entries))
        words = [word for word in answers if word is not None]
        members = [entry.domain for entry in entries]
        answered = [word.domain for word in words]
        if not may_spend_offline(self.settings.domain, members, answered):
            return None
        return OfflineAnswers(words=words, missing=missing_members(members, answered))

    async def _record_offline(self) -> None:
        try:
            await self.allowances.record_offline()
        except (LogUnavailable, AppendUnresolved) as error:
            _log.info("What was spent without the log is not recorded yet: {}", error)

    async def _keep_allowances(self) -> None:
        try:
            await self.allowances.keep()
        except (LogUnavailable, AppendUnresolved) as error:
            _log.info("Draws are not repeated yet: {}", error)

    async def _register(self) -> None:
        """Register in the log until it takes the entry."""
        backoff = Backoff(self.rng)
        while True:
            try:
                await self.platform.log.put(
                    roster.TOPIC, self.settings.name, self.entry.encode()
                )
            except LogUnavailable as error:
                _log.info("Not registered yet: {}", error)
                await self.clock.sleep(backoff.next())
            else:
                return

    async def _tick(self) -> None:
        now = self.clock.monotonic()
        if self._ticked:
            lag = max(0.0, now - self._ticked - TICK_SECONDS)
            self.metrics.lag_seconds.observe(lag)
        self._ticked = now
        if self._daemons != 1 + len(self.roster.entries):
            self._changed()
        self.endpoints.sweep()
        self.scheduler.age_loads()
        self.dispatcher.kick()

    # --- life cycle -------------------------------------------------------------

    async def start(self) -> None:
        """Start all parts, the servers last."""
        await self.pool.start()
        await self.dispatcher.start()
        await self.mesh.start()
        runs = [follower.run() for follower in self.followers]
        runs.append(self._register())
        runs.append(run_periodically(self.clock, lambda: TICK_SECONDS, self._tick))
        runs.append(
            run_periodically(self.clock, self.loads.interval, self.loads.exchange)
        )
        runs.append(
            run_periodically(self.clock, lambda: RECORD_SECONDS, self._record_offline)
        )
        runs.append(
            run_periodically(self.clock, lambda: KEEP_SECONDS, self._keep_allowances)
        )
        self._tasks = [asyncio.create_task(run) for run in runs]
        await self.ready_server.start()
        await self.metrics_server.start()
        await self.listener.start()
        _log.info("Started as incarnation {}.", self.incarnation)

    async def drain(self) -> None:
        """Take no new connections and finish what is in flight."""
        self.draining = True
        self.listener.closing = True
        count = self.handler.in_flight.count
        _log.info("Draining, {} requests in flight.", count)
        try:
            async with asyncio.timeout(self.settings.drain_seconds - LAST_SECONDS):
                await self.clock.sleep(SERVING_SECONDS)
                self.handler.closed = True
                self.listener.close_idle()
                await self.handler.in_flight.none_left()
        except TimeoutError:
            count = self.handler.in_flight.count
            _log.warning("{} requests outlast the drain.", count)
        await self._give_back()
        await self._quiet()

    async def stop(self) -> None:
        """Stop all parts."""
        for task in self._tasks:
            task.cancel()
        await self.listener.stop()
        await self.ready_server.stop()
        await self.metrics_server.stop()
        await self.dispatcher.stop()
        await self.mesh.stop()
        await self.pool.stop()
        _log.info("Stopped.")

    async def _quiet(self) -> None:
        """Wait until no caller has sent a request for a moment.

        Until then each is refused, since a request that was read and then lost
        its connection would be left without an answer.
        """
        for _ in range(MOST_QUIET_TRIES):
            refused = self.handler.refused_closed
            await self.clock.sleep(QUIET_SECONDS)
            if self.handler.refused_closed == refused:
                return

    async def _give_back(self) -> None:
        await self._record_offline()
        try:
            async with asyncio.timeout(GIVE_BACK_SECONDS):
                await self.allowances.give_back_all()
                await self.platform.log.put(roster.TOPIC, self.settings.name, b"")
        except TimeoutError:
            _log.info("The log did not take back all allowances in time.")
        except LogUnavailable as error:
            _log.info("The log did not take the end of the registration: {}", error)
