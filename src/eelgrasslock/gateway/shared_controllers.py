"""The controllers whose state all daemons of the fleet hold together."""

import random
from collections.abc import Callable, Iterable

from eelgrasslock.clock import Clock
from eelgrasslock.conversations.conversation_controller import (
    ConversationController,
    TrimmableLog,
)
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.limits.limit_controller import LimitController
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.quotas.quota_controller import QuotaController
from eelgrasslock.quotas.quota_share import QuotaBounds
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.responses.stream_versions import StreamVersions
from eelgrasslock.routing.routes import RouteTable
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.streams.stream_controller import ConfirmView, StreamController
from eelgrasslock.streams.version_watch import VersionWatch
from eelgrasslock.workspaces.workspace import WorkspaceDirectory


class SharedControllers:
    """Creates the controllers, and serves the calls of peers to them.

    Parameters
    ----------
    settings : GatewaySettings
        The settings of the process.
    peer_coordinator : PeerCoordinator
        Knows and reaches the other daemons, and the log.
    log : TrimmableLog
        The log without the way through peers.
    scheduler : Scheduler
        Is told of the tokens of limits.
    is_endpoints_view_current : callable
        Returns whether the view of the endpoints is young enough to be used.
    confirm_endpoints : callable
        Returns whether the endpoints that are registered by now are known.
    workspaces : callable
        Returns the workspaces of the configuration in force.
    clock : Clock
        The source of time.
    rng : random.Random
        The generator for jitter.

    Attributes
    ----------
    ranking : DaemonRanking
        Ranks the daemons for each key.
    limits : LimitController
        Keeps the limits of requests that endpoints name.
    quotas : QuotaController
        Keeps the quotas of workspaces.
    version_watch : VersionWatch
        The software versions of late.
    streams : StreamController
        Keeps the versions at which streams began.
    stream_versions : StreamVersions
        Lets streams go on at their version only.
    conversations : ConversationController
        Keeps the turns of conversations.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        peer_coordinator: PeerCoordinator,
        log: TrimmableLog,
        scheduler: Scheduler,
        is_endpoints_view_current: Callable[[], bool],
        confirm_endpoints: ConfirmView,
        workspaces: Callable[[], WorkspaceDirectory],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        mesh = peer_coordinator.mesh
        self.ranking = DaemonRanking(peer_coordinator.load_exchange, clock.monotonic)
        self.limits = LimitController(
            self.ranking, mesh, scheduler.limited_calls, clock
        )
        bounds = QuotaBounds(
            window_seconds=settings.quota_window_seconds,
            overage=settings.quota_overage,
            slack=settings.quota_slack,
        )
        self.quotas = QuotaController(
            self.ranking, mesh, workspaces, bounds, clock, rng
        )
        self.version_watch = VersionWatch(clock, is_endpoints_view_current)
        self.streams = StreamController(
            self.ranking, mesh, self.version_watch, confirm_endpoints, clock
        )
        self.stream_versions = StreamVersions(self.streams)
        self.conversations = ConversationController(
            self.ranking,
            mesh,
            peer_coordinator.log,
            log,
            settings.store_partitions,
            settings.conversation_cache_bytes,
            clock,
        )
        self._register(mesh.callbacks)

    def _register(self, callbacks: PeerCallbacks) -> None:
        callbacks.grant_requests = self.limits.serve
        callbacks.lease_requests = self.quotas.serve
        callbacks.tell_streams = self.streams.serve_tell
        callbacks.find_stream = self.streams.serve_find
        callbacks.tell_turns = self.conversations.directory.serve_tell
        callbacks.find_turn = self.conversations.directory.serve_find
        callbacks.fetch_turns = self.conversations.finder.serve_fetch

    def watch_versions(self, endpoints: Iterable[EndpointRecord]) -> None:
        """Tell other daemons of streams under way once a second version serves."""
        self.version_watch.update((one.service, one.version) for one in endpoints)
        self.streams.tell_untold()

    def extend_times(self, table: RouteTable) -> None:
        """Keep what the routes of a configuration need for as long as they say."""
        self.version_watch.extend_window(table.resume_seconds)
        self.conversations.extend_retention(table.turn_retention_seconds)

    async def stop(self) -> None:
        """Stop telling and asking other daemons."""
        await self.limits.stop()
        await self.quotas.stop()
        await self.streams.stop()
        await self.conversations.stop()
