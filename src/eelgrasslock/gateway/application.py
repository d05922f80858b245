"""The central object of a daemon that serves routes."""

import asyncio
import random
import secrets
from typing import Protocol

from attrs import frozen
from loguru import logger

from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.allowances.ledger import Ledger
from eelgrasslock.allowances.upkeep import upkeep_runs
from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.gateway.attempts import Attempts
from eelgrasslock.gateway.deployment import build_configuration
from eelgrasslock.gateway.directory import EndpointDirectory
from eelgrasslock.gateway.drainer import Drainer
from eelgrasslock.gateway.forwarder import Forwarder
from eelgrasslock.gateway.gauges import watch_gauges
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.interfaces import Dialect, Records
from eelgrasslock.gateway.listener import Listener, MetricsServer, ReadyServer
from eelgrasslock.gateway.messages import EndpointLoadWord
from eelgrasslock.gateway.peering import Peering
from eelgrasslock.gateway.reports import Reporter
from eelgrasslock.gateway.routes import RequestLimits
from eelgrasslock.gateway.routing import Endpoints, Routing
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.log.keyed import KeyedLog
from eelgrasslock.log.keyed_follower import KeyedFollower, KeyedState
from eelgrasslock.log.partitioned import PartitionedLog
from eelgrasslock.peers import daemon_registry
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.periodic import run_periodically
from eelgrasslock.scheduling.calls import LoadReport
from eelgrasslock.scheduling.crowding import NewProgramGate
from eelgrasslock.scheduling.decisions import Decisions
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

CONFIGURATION_WAIT_SECONDS = 1.5
CONFIGURATION_PAUSE_SECONDS = 0.05
ENDPOINTS_WAIT_SECONDS = 1.5
ENDPOINTS_PAUSE_SECONDS = 0.45
REGISTRY_LONG_POLL_SECONDS = 8.0
REGISTRY_PAUSE_SECONDS = 0.2
TICK_SECONDS = 0.1

# Nobody tells when a program has ended, so that its context would seem to fill
# an engine for minutes; engines drop what was not used for longest.
DECISIONS = Decisions(memory=False)

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
        self.scheduler = Scheduler(
            self.clock, self.rng, empty, self.settings.domain, DECISIONS
        )
        self.dispatcher = Dispatcher(self.scheduler, self.clock)
        self.gate = NewProgramGate(self.clock, self.rng)

    def _make_peers(self) -> None:
        settings = self.settings
        entry = DaemonEntry(
            name=settings.name,
            incarnation=self.incarnation,
            domain=settings.domain,
            address=settings.peer_address,
        )
        self.peering = Peering(
            entry, self.platform.log, self.scheduler, self.clock, self.rng
        )
        self.mesh = self.peering.mesh
        self.daemon_registry = self.peering.daemon_registry
        self.loads = self.peering.loads
        self.log = self.peering.log

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
                daemon_registry.TOPIC,
                self.daemon_registry,
                REGISTRY_LONG_POLL_SECONDS,
                REGISTRY_PAUSE_SECONDS,
            ),
        ]
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
            self.peering.ask_holder,
            self.peering.ask_offline,
            self.metrics.tokens_moved,
        )
        self.peering.serve(self.allowances)
        self.peering.log_answered_at = self._log_answered_at
        self.peering.log_trouble_at = self._log_trouble_at

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
            self._note_load,
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
            self.gate,
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
        self.drainer = Drainer(
            self.handler, self.listener, self.allowances, self.peering, self.settings
        )
        watch_gauges(self)

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
        self._daemons = 1 + len(self.daemon_registry.entries)
        self.scheduler.configure(
            build_configuration(current, entries, domains, self._daemons)
        )
        self.dispatcher.kick()

    def _reborn(self, endpoint: str) -> None:
        self.scheduler.restarted(endpoint)

    def _note_load(self, service: str, endpoint: str, word: EndpointLoadWord) -> None:
        """Take in what an endpoint says with the head of an answer."""
        self.gate.hear(service, word.running, word.waiting, word.slots)
        report = LoadReport(
            running=word.running, queued=word.waiting, time=self.clock.now()
        )
        self.scheduler.observe_load(endpoint, report)

    def _log_answered_at(self) -> float:
        return max(follower.answered_at for follower in self.followers)

    def _log_trouble_at(self) -> float:
        return min(follower.trouble_at() for follower in self.followers)

    async def _tick(self) -> None:
        now = self.clock.monotonic()
        if self._ticked:
            lag = max(0.0, now - self._ticked - TICK_SECONDS)
            self.metrics.lag_seconds.observe(lag)
        self._ticked = now
        if self._daemons != 1 + len(self.daemon_registry.entries):
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
        runs.append(self.peering.register())
        runs.append(run_periodically(self.clock, lambda: TICK_SECONDS, self._tick))
        runs.append(
            run_periodically(self.clock, self.loads.interval, self.loads.exchange)
        )
        runs += upkeep_runs(self.allowances, self.clock)
        self._tasks = [asyncio.create_task(run) for run in runs]
        await self.ready_server.start()
        await self.metrics_server.start()
        await self.listener.start()
        _log.info("Started as incarnation {}.", self.incarnation)

    async def drain(self) -> None:
        """Take no new connections, finish what is in flight, and give back."""
        self.draining = True
        await self.drainer.run()

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
