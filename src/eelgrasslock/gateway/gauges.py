"""The gauges of a gateway daemon."""

from typing import Protocol

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import Clock
from eelgrasslock.failures.link_monitor import LinkMonitor
from eelgrasslock.gateway.caller_connections import CallerConnections
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.gateway.shared_controllers import SharedControllers
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.registry.endpoint_registry import EndpointRegistry
from eelgrasslock.relaying.peer_forwarder import PeerForwarder
from eelgrasslock.relaying.peer_requests import PeerRequestHandler
from eelgrasslock.routing.routing_state import RoutingState
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.load_shedding import LoadShedder
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics, peak_memory_bytes


class GaugeSources(Protocol):
    """The components of a daemon that provide the values of gauges."""

    metrics: GatewayMetrics
    clock: Clock
    handler: GatewayHandler
    dispatcher: Dispatcher
    endpoint_registry: EndpointRegistry
    scheduler: Scheduler
    peer_coordinator: PeerCoordinator
    routing: RoutingState
    pool: ConnectionPool
    allowances: AllowanceManager
    load_shedder: LoadShedder
    links: LinkMonitor
    peer_forwarder: PeerForwarder
    peer_requests: PeerRequestHandler
    shared: SharedControllers
    caller_connections: CallerConnections


def register_gauges(sources: GaugeSources) -> None:
    """Register the gauges; their values are read with each scrape of the metrics."""
    watch = sources.metrics.watch
    watch("in_flight", "Requests in flight.", lambda: sources.handler.in_flight.count)
    watch("waiting", "Calls that wait.", lambda: len(sources.dispatcher.waiting))
    watch(
        "endpoints", "Endpoints known.", lambda: len(sources.endpoint_registry.entries)
    )
    watch("endpoints_out", "Endpoints left out.", lambda: _endpoints_out(sources))
    watch(
        "peers",
        "Peers heard of late.",
        lambda: len(sources.peer_coordinator.load_exchange.live_peers),
    )
    watch("configuration_version", "The version in force.", lambda: _version(sources))
    watch(
        "relayed_calls",
        "Log calls by peers.",
        lambda: sources.peer_coordinator.log.relayed_calls,
    )
    callers = sources.caller_connections
    watch("held_bytes", "Bytes held for callers.", lambda: callers.budget.held)
    watch("bodies_refused", "Refused for memory.", lambda: callers.refused)
    watch("callers_closed", "Closed for memory.", lambda: callers.closed)
    watch("callers_displaced", "Closed for descriptors.", lambda: callers.displaced)
    watch("links_lost", "Whether links are lost.", lambda: sources.links.is_lost)
    watch(
        "requests_relayed",
        "Requests served through peers.",
        lambda: sources.peer_forwarder.relayed,
    )
    watch(
        "requests_of_peers",
        "Requests of peers without links.",
        lambda: sources.peer_requests.served,
    )
    watch("connections_opened", "Connections opened.", lambda: sources.pool.opened)
    watch("connections_reused", "Connections reused.", lambda: sources.pool.reused)
    watch(
        "crowding",
        "Most calls for each engine place.",
        sources.load_shedder.max_load_ratio,
    )
    watch(
        "workspaces_beyond_share",
        "Workspaces that ask for more than their shares.",
        sources.load_shedder.workspaces_beyond_share,
    )
    conversations = sources.shared.conversations
    watch("turns_stored", "Turns stored.", lambda: conversations.writer.stored)
    watch(
        "turns_rewritten",
        "Turns of long conversations stored again.",
        lambda: conversations.writer.rewritten,
    )
    watch(
        "turns_in_memory_bytes",
        "Memory of turns.",
        lambda: conversations.cache.memory_bytes,
    )
    watch(
        "turn_partition_reads",
        "Reads of partitions for turns that no index had.",
        lambda: conversations.directory.partition_reads,
    )
    watch(
        "turns_refused",
        "Whether turns are refused because they can't be stored.",
        lambda: conversations.writer.breaker.is_open,
    )
    watch(
        "quotas_held",
        "Buckets and workspaces in memory.",
        sources.shared.quotas.held_state,
    )
    quarantine = sources.scheduler.quarantine
    watch(
        "suspects",
        "Requests that were in flight on an endpoint as it crashed.",
        lambda: len(quarantine.suspects()),
    )
    table = sources.scheduler.endpoint_table
    watch(
        "learned_limit_lowest",
        "The lowest learned limit of calls, as a share of an endpoint's slots.",
        lambda: min(table.learned_limits(), default=1.0),
    )
    watch(
        "learned_limit_highest",
        "The highest learned limit of calls, as a share of an endpoint's slots.",
        lambda: max(table.learned_limits(), default=1.0),
    )
    watch(
        "endpoints_ejected",
        "Endpoints left out because they fail more calls than others.",
        lambda: table.ejected_count(sources.clock.monotonic()),
    )
    watch("accounts", "Programs known.", lambda: len(sources.allowances.accounts))
    watch("peak_memory_bytes", "The most memory held.", peak_memory_bytes)


def _endpoints_out(sources: GaugeSources) -> float:
    return len(sources.scheduler.endpoint_table.open_breakers())


def _version(sources: GaugeSources) -> float:
    current = sources.routing.current
    return 0 if current is None else current.version
