"""The components that a request passes between its caller and the endpoints."""

import random
from typing import Protocol

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import Clock
from eelgrasslock.failures.endpoint_ends import EndpointEnds
from eelgrasslock.failures.endpoint_probe import EndpointProbe
from eelgrasslock.failures.failure_classifier import FailureClassifier
from eelgrasslock.failures.link_monitor import LinkMonitor
from eelgrasslock.failures.silent_calls import SilentCalls
from eelgrasslock.forwarding.attempts import AttemptRunner
from eelgrasslock.forwarding.endpoint_reports import EndpointReports
from eelgrasslock.forwarding.forwarder import Forwarder
from eelgrasslock.gateway.access_log import AccessLogger
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.platform_adapters import PlatformAdapters
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.gateway.shared_controllers import SharedControllers
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.peers.daemon_health import DaemonHealth
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.registry.current_endpoints import CurrentEndpoints
from eelgrasslock.registry.endpoint_registry import EndpointRegistry
from eelgrasslock.registry.log_followers import LogFollowers
from eelgrasslock.relaying.peer_forwarder import PeerForwarder
from eelgrasslock.relaying.peer_requests import PeerRequestHandler
from eelgrasslock.responses.relay import ResponseRelay
from eelgrasslock.routing.routes import ServiceSpec
from eelgrasslock.routing.routing_state import RoutingState
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.load_shedding import LoadShedder
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics
from eelgrasslock.turns.conversations import Conversations
from eelgrasslock.workspaces.access import WorkspaceAccess


class RequestPathSources(Protocol):
    """The components of a daemon that requests use on their way."""

    allowances: AllowanceManager
    clock: Clock
    dispatcher: Dispatcher
    endpoint_ends: EndpointEnds
    endpoint_registry: EndpointRegistry
    followers: LogFollowers
    load_exchange: LoadExchange
    load_shedder: LoadShedder
    mesh: PeerMesh
    metrics: GatewayMetrics
    platform: PlatformAdapters
    pool: ConnectionPool
    rng: random.Random
    routing: RoutingState
    scheduler: Scheduler
    settings: GatewaySettings
    shared: SharedControllers
    silent_calls: SilentCalls


class RequestPath:
    """Creates what serves the requests of callers and of peers.

    Parameters
    ----------
    sources : RequestPathSources
        The daemon's components.

    Attributes
    ----------
    links : LinkMonitor
        Watches the connections to the endpoints.
    peer_forwarder : PeerForwarder
        Passes requests on to peers.
    endpoint_reports : EndpointReports
        Takes what endpoints say of themselves.
    failures : FailureClassifier
        Tells crashes of endpoints from broken connections.
    access : WorkspaceAccess
        Finds the workspaces of requests.
    handler : GatewayHandler
        Handles the requests of callers.
    peer_requests : PeerRequestHandler
        Handles those that peers pass on.
    """

    def __init__(self, sources: RequestPathSources) -> None:
        self.sources = sources
        self.links = LinkMonitor(
            sources.endpoint_registry, sources.pool, sources.clock, sources.rng
        )
        self.peer_forwarder = PeerForwarder(
            sources.mesh,
            sources.load_exchange,
            DaemonHealth(sources.shared.ranking, sources.mesh, sources.clock),
            self.links,
            sources.clock,
            sources.rng,
        )
        self.endpoint_reports = EndpointReports(
            sources.endpoint_registry,
            sources.scheduler,
            sources.dispatcher,
            sources.shared.limits,
            sources.load_shedder,
            sources.clock,
            sources.metrics,
        )
        self.failures = FailureClassifier(
            sources.pool,
            sources.endpoint_registry,
            self.links,
            sources.clock,
            EndpointProbe(sources.pool, sources.platform.codec, self._find_health_path),
            sources.endpoint_ends.record_crash,
            sources.endpoint_ends.record_silence,
            sources.endpoint_ends.has_calls,
            sources.endpoint_ends.record_alive,
        )
        self.access = WorkspaceAccess(
            lambda: sources.routing.workspaces, sources.platform.codec
        )
        forwarder = self._create_forwarder()
        self.handler = self._create_handler(forwarder)
        self.peer_requests = PeerRequestHandler(
            self.handler, forwarder, sources.platform.codec, sources.clock
        )

    def _find_health_path(self, service: str) -> str:
        current = self.sources.routing.current
        services = {} if current is None else current.services
        return services.get(service, ServiceSpec(name=service)).health_path

    def _find_state_path(self, service: ServiceSpec) -> str:
        if service.engine is None:
            return service.health_path
        return self.sources.platform.codec.report_path

    def _create_forwarder(self) -> Forwarder:
        sources = self.sources
        current_endpoints = CurrentEndpoints(
            sources.endpoint_registry, sources.followers.endpoints
        )
        relay = ResponseRelay(
            sources.pool,
            current_endpoints,
            sources.platform.codec,
            sources.clock,
            sources.shared.stream_versions,
            self._find_state_path,
            sources.silent_calls.record_heard,
        )
        attempt_runner = AttemptRunner(
            sources.pool,
            current_endpoints,
            sources.platform.codec,
            sources.clock,
            sources.metrics,
            sources.settings.domain,
            sources.scheduler.domain_breaker.is_tripped,
            self.links,
            relay,
            self.endpoint_reports,
            self.failures,
            sources.silent_calls.record_heard,
        )
        return Forwarder(
            sources.dispatcher,
            sources.scheduler,
            attempt_runner,
            self.links,
            self.peer_forwarder,
            self.access,
            sources.clock,
            sources.metrics,
        )

    def _create_handler(self, forwarder: Forwarder) -> GatewayHandler:
        sources = self.sources
        return GatewayHandler(
            sources.routing,
            sources.followers.configuration,
            sources.allowances,
            forwarder,
            sources.platform.codec,
            sources.clock,
            sources.rng,
            AccessLogger(sources.metrics, sources.clock),
            sources.load_shedder,
            sources.shared.stream_versions,
            Conversations(sources.shared.conversations, sources.clock),
            sources.endpoint_registry,
            self.access,
            sources.shared.quotas,
        )
