"""Many daemons that keep the quotas of workspaces, under faults.

The daemons' controllers and owners are real; the network is in memory, and one
clock is moved by hand. Requests that got a token count as run.
"""

import random

from attrs import define, field

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import PeerUnavailable, Refusal
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.quotas.quota_controller import CALL_SECONDS, QuotaController
from eelgrasslock.quotas.quota_share import QuotaBounds
from eelgrasslock.scheduling.calls import PeerLoad
from eelgrasslock.workspaces.workspace import Workspace, WorkspaceDirectory
from model_mesh import STEP_SECONDS, Mesh, ModelFleet, Results

BOUNDS = QuotaBounds(window_seconds=5.0, overage=0.1, slack=20.0)
DOMAINS = ("a", "b", "c")


@define(eq=False)
class Traffic:
    """The requests of one workspace: how many a second, and what became of them."""

    per_second: float
    domains: tuple = DOMAINS
    taken: list = field(factory=list)
    refused: list = field(factory=list)


class QuotaPeer:
    """The calls that a daemon serves for its peers."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def ping(self):
        """Answer."""
        await self.check()

    async def leaseRequests(self, **message):  # noqa: N802
        await self.check()
        results = Results()
        results.count, results.waitSeconds = 0, 0.0
        self.daemon.calls += 1
        await self.daemon.controller.serve(message, results)
        return results

    async def check(self):
        """Give no answer in time while the daemon is frozen."""
        if self.daemon.frozen:
            await self.daemon.fleet.clock.sleep(CALL_SECONDS)
            raise PeerUnavailable(self.daemon.name)


class Loads:
    """The scheduler's part in the exchange of loads: nothing."""

    def __init__(self, incarnation):
        self.load = PeerLoad(incarnation=incarnation, in_flight={}, waiting=0)

    def peer_load(self):
        return self.load

    def observe_peer(self, load):
        """Ignore it."""

    def forget_peer(self, incarnation):
        """Ignore it."""


class ModelDaemon:
    """One daemon: the registry, the exchange of loads and the quotas."""

    def __init__(self, fleet, name, domain, incarnation):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.alive, self.frozen, self.calls = True, False, 0
        self.entry = DaemonEntry(
            name=name, incarnation=incarnation, domain=domain, address="1:1"
        )
        rng = random.Random(fleet.rng.random())
        self.registry = DaemonRegistry(self.entry, rng)
        self.registry.is_own_read = True
        self.mesh = Mesh(fleet, self)
        self.exchange = LoadExchange(
            self.mesh, self.registry, Loads(incarnation), fleet.clock
        )
        ranking = DaemonRanking(self.exchange, fleet.clock.monotonic)
        self.controller = QuotaController(
            ranking, self.mesh, lambda: fleet.directory, BOUNDS, fleet.clock, rng
        )
        self.next_exchange_at = 0.0

    async def stop(self):
        self.alive = False
        await self.controller.stop()

    async def update(self):
        now = self.fleet.clock.monotonic()
        self.registry.entries = {
            entry.name: entry
            for entry in self.fleet.registered.values()
            if entry.name != self.name
        }
        self.controller.update()
        if now >= self.next_exchange_at:
            self.next_exchange_at = now + self.exchange.interval()
            await self.exchange.exchange()

    async def serve(self, workspace):
        traffic = self.fleet.traffic[workspace]
        try:
            token = await self.controller.take(workspace)
        except Refusal:
            traffic.refused.append(self.fleet.clock.monotonic())
            return
        assert token is not None
        traffic.taken.append(self.fleet.clock.monotonic())


class QuotaFleet(ModelFleet):
    """The daemons, the workspaces, the network and its faults."""

    def __init__(self, seed, daemon_count):
        super().__init__()
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.directory = WorkspaceDirectory()
        self.traffic = {}
        self.flood = {}
        self.daemons, self.registered, self.tasks = {}, {}, set()
        for number in range(daemon_count):
            self.start_daemon(f"d-{number}", DOMAINS[number % 3], 0)

    def configure(self, **limits):
        """Set the limits: rate and burst by the workspace's name."""
        self.directory = WorkspaceDirectory(
            Workspace(name=name, requests_per_second=rate, burst=burst)
            for name, (rate, burst) in limits.items()
        )

    def make_peer(self, daemon):
        return QuotaPeer(daemon)

    def named(self, daemon, heartbeat):
        return Heartbeat(load=daemon.exchange.scheduler.load)

    def start_daemon(self, name, domain, run):
        daemon = ModelDaemon(self, name, domain, f"{name}-{run}")
        self.daemons[name] = daemon
        self.registered[name] = daemon.entry

    def send(self, _):
        for name, (workspace, per_second) in self.flood.items():
            for _ in range(round(per_second * STEP_SECONDS)):
                self.start_task(self.daemons[name].serve(workspace))
        for name, traffic in self.traffic.items():
            count = traffic.per_second * STEP_SECONDS
            whole = int(count) + (self.rng.random() < count - int(count))
            able = [
                one
                for one in self.daemons.values()
                if one.alive and not one.frozen and one.domain in traffic.domains
            ]
            for _ in range(whole if able else 0):
                self.start_task(self.rng.choice(able).serve(name))

    async def step(self, alive):
        for daemon in alive:
            if not daemon.frozen:
                await daemon.update()

    async def kill(self, name):
        await self.daemons[name].stop()

    def restart(self, name):
        old = self.daemons[name]
        run = int(old.entry.incarnation.rpartition("-")[2]) + 1
        self.start_daemon(name, old.domain, run)

    def first_owner(self, workspace, domain):
        """Return the name of the daemon that is ranked first."""
        any_daemon = next(iter(self.daemons.values()))
        return any_daemon.controller.ranking.ranked_in(domain, workspace)[0].name


def most_in_window(times, seconds=BOUNDS.window_seconds):
    """Return the most of some times that lie in one window."""
    most, first, times = 0, 0, sorted(times)
    for last, time in enumerate(times):
        while times[first] <= time - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def bound(rate, burst):
    """Return the most requests that a window may hold."""
    quota = rate * BOUNDS.window_seconds + burst
    return quota * (1 + BOUNDS.overage) + BOUNDS.slack
