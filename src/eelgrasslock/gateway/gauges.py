"""The gauges of a daemon that serves routes."""

from typing import Protocol

from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.gateway.directory import EndpointDirectory
from eelgrasslock.gateway.handler import GatewayHandler
from eelgrasslock.gateway.peering import Peering
from eelgrasslock.gateway.routing import Routing
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.scheduling.crowding import NewProgramGate
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics, peak_memory_bytes


class Watched(Protocol):
    """The parts of a daemon whose state is shown."""

    metrics: GatewayMetrics
    handler: GatewayHandler
    dispatcher: Dispatcher
    directory: EndpointDirectory
    scheduler: Scheduler
    peering: Peering
    routing: Routing
    pool: ConnectionPool
    allowances: Allowances
    gate: NewProgramGate


def watch_gauges(parts: Watched) -> None:
    """Show the state of a daemon's parts whenever its metrics are read."""
    watch = parts.metrics.watch
    watch("in_flight", "Requests in flight.", lambda: parts.handler.in_flight.count)
    watch("waiting", "Calls that wait.", lambda: len(parts.dispatcher.waiting))
    watch("endpoints", "Endpoints known.", lambda: len(parts.directory.entries))
    watch("endpoints_out", "Endpoints left out.", lambda: _endpoints_out(parts))
    watch("peers", "Peers heard of late.", lambda: len(parts.peering.loads.live_peers))
    watch("configuration_version", "The version in force.", lambda: _version(parts))
    watch(
        "relayed_calls", "Log calls by peers.", lambda: parts.peering.log.relayed_calls
    )
    watch("connections_opened", "Connections opened.", lambda: parts.pool.opened)
    watch("connections_reused", "Connections reused.", lambda: parts.pool.reused)
    watch("crowding", "Most calls for each engine place.", parts.gate.most_crowded)
    watch("accounts", "Programs known.", lambda: len(parts.allowances.accounts))
    watch("peak_memory_bytes", "The most memory held.", peak_memory_bytes)


def _endpoints_out(parts: Watched) -> float:
    return len(parts.scheduler.fleet.open_breakers())


def _version(parts: Watched) -> float:
    current = parts.routing.current
    return 0 if current is None else current.version
