"""The gateway daemon: creates its components, starts and stops them."""

import asyncio
import random
import secrets
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from eelgrasslock.allowances.maintenance import maintenance_loops
from eelgrasslock.build_id import read_build_id
from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.draws.budget_controllers import BudgetControllers
from eelgrasslock.exceptions import Refusal
from eelgrasslock.failures.crash_records import CrashRecords
from eelgrasslock.failures.endpoint_ends import EndpointEnds
from eelgrasslock.failures.silent_calls import SilentCalls
from eelgrasslock.gateway.caller_connections import CallerConnections
from eelgrasslock.gateway.drainer import Drainer
from eelgrasslock.gateway.gauges import register_gauges
from eelgrasslock.gateway.listener import Listener, MetricsServer, ReadinessServer
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.gateway.platform_adapters import PlatformAdapters
from eelgrasslock.gateway.request_path import RequestPath
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.gateway.shared_controllers import SharedControllers
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.periodic import keep_running, run_periodically
from eelgrasslock.registry.endpoint_registry import EndpointRegistry
from eelgrasslock.registry.log_followers import LogFollowers
from eelgrasslock.registry.registry_updater import EndpointRegistryUpdater
from eelgrasslock.relaying.peer_forwarder import NO_LINKS
from eelgrasslock.routing.routes import RequestLimits
from eelgrasslock.routing.routing_state import RoutingState
from eelgrasslock.routing.scheduler_configuration import build_scheduler_configuration
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.load_shedding import LoadShedder
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

TICK_SECONDS = 0.1

# The gateway gets no message when a program ends, so a finished program's context
# would appear to occupy engine memory for minutes. Engines evict the least recently
# used context themselves.
FEATURES = FeatureFlags(memory=False)

_INCARNATION_BYTES = 6
_log = logger.bind(part="daemon")


class GatewayApplication:
    """One run of one gateway daemon; each start has an incarnation of its own.

    Parameters
    ----------
    settings : GatewaySettings
        The settings of the process.
    platform : PlatformAdapters
        The components that depend on the platform.
    pool : ConnectionPool
        Connections to endpoints and to the log.
    clock : Clock
        The source of time.
    rng : random.Random
        The generator for jitter and sampling.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        platform: PlatformAdapters,
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
        self._last_tick_at = 0.0
        self._daemon_count = 1
        self._tasks: list[asyncio.Task[None]] = []
        self._create_scheduler()
        self._create_peers()
        self._create_replicated_state()
        self._create_request_path()
        self._create_servers()

    def _create_scheduler(self) -> None:
        empty = Configuration(deployment="", domains=[self.settings.domain])
        self.scheduler = Scheduler(
            self.clock, self.rng, empty, self.settings.domain, FEATURES
        )
        self.scheduler.endpoint_table.learns_capacity = self.settings.learns_capacity
        self.dispatcher = Dispatcher(self.scheduler, self.clock)
        self.scheduler.quarantine.stagger = self.rng.random()
        self.load_shedder = LoadShedder(self.clock, self.rng)

    def _create_peers(self) -> None:
        settings = self.settings
        entry = DaemonEntry(
            name=settings.name,
            incarnation=self.incarnation,
            domain=settings.domain,
            address=settings.peer_address,
        )
        self.peer_coordinator = PeerCoordinator(
            entry, self.platform.log, self.scheduler, self.clock, self.rng
        )
        self.mesh = self.peer_coordinator.mesh
        self.daemon_registry = self.peer_coordinator.daemon_registry
        self.load_exchange = self.peer_coordinator.load_exchange
        self.log = self.peer_coordinator.log
        self.shared = SharedControllers(
            settings,
            self.peer_coordinator,
            self.platform.log,
            self.scheduler,
            lambda: self.followers.is_endpoints_view_current(),
            lambda seconds: self.followers.endpoints.confirm(seconds),
            lambda: self.routing.workspaces,
            self.clock,
            self.rng,
        )
        self.shared.quotas.count = self.metrics.quota_tokens_moved
        self.shared.limits.on_tokens = self.dispatcher.wake_up
        self.dispatcher.on_processed = self.shared.limits.request_tokens

    def _create_replicated_state(self) -> None:
        platform = self.platform
        self.endpoint_registry = EndpointRegistry(
            self.clock, self.settings.stable_window_seconds
        )
        self.routing = RoutingState(
            platform.record_decoder, self._configuration_changed
        )
        self.crash_records = CrashRecords(
            platform.log,
            self.scheduler.quarantine,
            self.incarnation,
            self.clock,
            self.rng,
        )
        self.silent_calls = SilentCalls(
            self.scheduler,
            self.crash_records,
            self.shared.ranking,
            self.mesh,
            self.clock,
        )
        self.silent_calls.register(self.mesh.callbacks)
        self.endpoint_ends = EndpointEnds(self.scheduler, self.silent_calls, self.clock)
        self.registry_updater = EndpointRegistryUpdater(
            platform.record_decoder,
            self.endpoint_registry,
            self._update_scheduler,
            self.endpoint_ends.record_replaced,
            self.endpoint_ends.record_removed,
        )
        self.registry_updater.on_version = self.shared.version_watch.note
        self.registry_updater.on_snapshot = self.shared.version_watch.note_gap
        self.followers = LogFollowers(
            platform.log,
            platform.record_decoder.topics,
            self.settings,
            self.clock,
            self.rng,
            self.routing,
            self.registry_updater,
            self.daemon_registry,
            self.crash_records,
        )
        budgets = BudgetControllers(
            self.settings,
            self.peer_coordinator,
            self.followers,
            self.metrics,
            self.clock,
        )
        self.draw_keepers = budgets.keepers
        self.allowances = budgets.allowances

    def _create_request_path(self) -> None:
        path = RequestPath(self)
        self.links = path.links
        self.links.on_lost = self._links_lost
        self.links.on_regained = self.scheduler.close_breakers
        self.peer_forwarder = path.peer_forwarder
        self.endpoint_reports = path.endpoint_reports
        self.failures = path.failures
        self.endpoint_ends.check_removed = path.failures.check_removed
        self.endpoint_ends.check_replaced = path.failures.check_replaced
        self.endpoint_ends.forget_reports = path.endpoint_reports.forget
        self.handler = path.handler
        self.peer_requests = path.peer_requests
        self.mesh.callbacks.serve_request = self.peer_requests.serve

    def _create_servers(self) -> None:
        codec = self.platform.codec
        self.caller_connections = CallerConnections(
            self.clock, self.settings.memory_megabytes, self.settings.max_descriptors
        )
        self.listener = Listener(
            self.settings.front_address,
            self.handler.handle,
            codec,
            self._request_limits,
            self.clock,
            self.caller_connections,
        )
        self.readiness_server = ReadinessServer(
            self.settings.ready_address, codec.ready_path, self.is_ready
        )
        self.metrics_server = MetricsServer(
            self.settings.metrics_address, self.metrics.text
        )
        self.drainer = Drainer(
            self.handler,
            self.listener,
            self.allowances,
            self.peer_coordinator,
            self.crash_records,
            self.draw_keepers.transfer,
            self.settings,
        )
        register_gauges(self)

    # --- callbacks of the components --------------------------------------------

    def is_ready(self) -> bool:
        """Return whether the daemon accepts new connections."""
        has_endpoints = bool(self.endpoint_registry.entries)
        is_informed = self.routing.current is not None and has_endpoints
        return is_informed and self.followers.are_crashes_read and not self.draining

    def _request_limits(self) -> RequestLimits:
        current = self.routing.current
        return current.limits if current is not None else RequestLimits()

    def _configuration_changed(self) -> None:
        self.shared.extend_times(self.routing.table)
        self.listener.reload_limits()
        self._update_scheduler()

    def _update_scheduler(self) -> None:
        current = self.routing.current
        if current is None:
            return
        entries = self.endpoint_registry.entries.values()
        self.shared.watch_versions(entries)
        domains = sorted({entry.domain for entry in entries})
        self._daemon_count = 1 + len(self.daemon_registry.entries)
        self.scheduler.configure(
            build_scheduler_configuration(current, entries, domains, self._daemon_count)
        )
        self.dispatcher.wake_up()

    def _links_lost(self) -> None:
        """Let the requests that wait for endpoints be passed on to peers."""
        sentence = "This daemon has lost its links to the endpoints."
        self.dispatcher.refuse_waiting(Refusal(NO_LINKS, sentence, 503))

    async def _tick(self) -> None:
        now = self.clock.monotonic()
        if self._last_tick_at:
            lag = max(0.0, now - self._last_tick_at - TICK_SECONDS)
            self.metrics.lag_seconds.observe(lag)
        self._last_tick_at = now
        if self._daemon_count != 1 + len(self.daemon_registry.entries):
            self._update_scheduler()
        self.registry_updater.remove_expired()
        self.shared.watch_versions(self.endpoint_registry.entries.values())
        self.peer_forwarder.forget_past()
        self.shared.limits.forget_others(self.endpoint_registry.entries.keys())
        self.shared.quotas.update()
        self.scheduler.decay_reported_loads()
        self.endpoint_ends.drop_past()
        self.draw_keepers.update()
        self.dispatcher.wake_up()

    # --- life cycle -------------------------------------------------------------

    def _loops(self) -> list[Coroutine[Any, Any, None]]:
        """Return the loops that run until the daemon stops."""
        clock = self.clock
        crashes = self.crash_records
        conversations = self.shared.conversations
        loops = {
            "Registering": self.peer_coordinator.register,
            "Writing crashes": crashes.write_changes,
            "Learning of draws": self.draw_keepers.transfer.catch_up,
            "Maintaining conversations": conversations.maintain_periodically,
        }
        for follower in self.followers.all:
            loops[f"Following {follower.topic}"] = follower.run
        exchange = self.load_exchange
        return [
            *(keep_running(clock, name, loop) for name, loop in loops.items()),
            *maintenance_loops(self.allowances, clock),
            run_periodically(clock, lambda: TICK_SECONDS, self._tick),
            run_periodically(clock, exchange.interval, exchange.exchange),
            run_periodically(clock, crashes.expiry_check_seconds, crashes.expire),
        ]

    async def start(self) -> None:
        """Start all components, the servers last."""
        await self.pool.start()
        await self.dispatcher.start()
        await self.mesh.start()
        self._tasks = [asyncio.create_task(loop) for loop in self._loops()]
        await self.readiness_server.start()
        await self.metrics_server.start()
        await self.listener.start()
        _log.info(
            "Started as incarnation {} of build {}{}.",
            self.incarnation,
            read_build_id(),
            ", with the whole fleet" if self.settings.is_first_start else "",
        )

    async def drain(self) -> None:
        """Report not ready, finish the requests in flight and return allowances."""
        self.draining = True
        await self.drainer.run()

    async def stop(self) -> None:
        """Stop all components."""
        for task in self._tasks:
            task.cancel()
        await self.listener.stop()
        await self.readiness_server.stop()
        await self.metrics_server.stop()
        await self.shared.stop()
        await self.draw_keepers.stop()
        await self.silent_calls.stop()
        await self.failures.stop()
        await self.links.stop()
        await self.dispatcher.stop()
        await self.mesh.stop()
        await self.pool.stop()
        _log.info("Stopped.")
