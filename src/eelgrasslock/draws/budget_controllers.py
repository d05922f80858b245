"""The components of a daemon that give out the token budgets of programs."""

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import Clock
from eelgrasslock.draws.draw_handover import DrawHandover
from eelgrasslock.draws.draw_keepers import DrawKeepers
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.registry.log_followers import LogFollowers
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics


class BudgetControllers:
    """The allowances of a daemon, and the draws that the daemons keep.

    Parameters
    ----------
    settings : GatewaySettings
        The settings of the process.
    peer_coordinator : PeerCoordinator
        The daemon's registration, its peers and their log.
    followers : LogFollowers
        Know when the log last answered.
    metrics : GatewayMetrics
        Count the tokens that are moved.
    clock : Clock
        The source of time.

    Attributes
    ----------
    keepers : DrawKeepers
        Keeps the draws without the log of this daemon's failure domain.
    allowances : AllowanceManager
        Draws tokens and spends them.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        peer_coordinator: PeerCoordinator,
        followers: LogFollowers,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        mesh = peer_coordinator.mesh
        ledger = DrawLedger(
            peer_coordinator.log,
            settings.store_partitions,
            peer_coordinator.entry.incarnation,
            clock,
            settings.store_retention_seconds,
        )
        self.keepers = DrawKeepers(
            peer_coordinator.daemon_registry,
            mesh,
            clock,
            settings.store_retention_seconds,
            settings.is_first_start,
        )
        self.keepers.register(mesh.callbacks)
        self.allowances = AllowanceManager(
            ledger,
            clock,
            peer_coordinator.request_release,
            self.keepers,
            metrics.tokens_moved,
        )
        peer_coordinator.register_callbacks(self.allowances)
        self.keepers.transfer.last_log_response_at = lambda: (
            followers.daemons.last_response_at
        )
        self.keepers.needed_draw = self.allowances.unrecorded.needed_draw
        DrawHandover(self.allowances.unrecorded).register(mesh.callbacks)
