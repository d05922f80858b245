"""Many daemons and one service of engines that name limits, under random faults.

The daemons' schedulers, limit controllers and owners are real; the network and the
engines are in memory, and one clock is moved by hand.
"""

import random
from collections import defaultdict, deque

from attrs import define, field

from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    ModelSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.exceptions import Refusal
from eelgrasslock.gateway.application import FEATURES
from eelgrasslock.limits.limit_controller import LimitController
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.routing.scheduler_configuration import (
    SCHEDULER_LIMITS,
    SCHEDULER_WEIGHTS,
)
from eelgrasslock.scheduling.calls import Call, CallOutcome
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.scheduler import Scheduler
from model_mesh import STEP_SECONDS, Mesh, ModelFleet, Results

WINDOW_SECONDS = 4.0
STABLE_SECONDS = 3.0
TOLD_SECONDS = 0.5
RUN_SECONDS = 0.2
SERVICE = "lm"
DOMAINS = ("a", "b", "c")


@define(eq=False)
class Engine:
    """An engine, what it names, and what it got from whom.

    Attributes
    ----------
    limit : float or None
        What it names from now on.
    first_named_at : float
        When it first named its present limit.
    arrivals : list of (float, str)
        Time and daemon of each request.
    told_at : dict of str to float
        When each daemon first passed on an answer that named a limit.
    """

    name: str
    limit: float | None = None
    first_named_at: float = float("inf")
    arrivals: list = field(factory=list)
    told_at: dict = field(factory=dict)


class LimitPeer:
    """The calls that a daemon serves for its peers."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def ping(self):
        """Answer."""

    async def grantRequests(self, **message):  # noqa: N802
        results = Results()
        results.count = results.askers = 0
        results.waitSeconds = 0.0
        controller = self.daemon.controller
        await controller.serve(message, results)
        return results


class ModelDaemon:
    """One daemon: a scheduler, the exchange of loads and the limits."""

    def __init__(self, fleet, name, domain, incarnation):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.clock = fleet.clock
        self.alive = True
        self.entry = DaemonEntry(
            name=name, incarnation=incarnation, domain=domain, address="1:1"
        )
        self.started_at = fleet.clock.monotonic()
        rng = random.Random(fleet.rng.random())
        self.scheduler = Scheduler(
            self.clock, rng, fleet.configuration, domain, FEATURES
        )
        self.dispatcher = Dispatcher(self.scheduler, self.clock)
        self.registry = DaemonRegistry(self.entry, rng)
        self.mesh = Mesh(fleet, self)
        self.exchange = LoadExchange(
            self.mesh, self.registry, self.scheduler, self.clock
        )
        owners = DaemonRanking(self.exchange, self.clock.monotonic)
        self.controller = LimitController(
            owners, self.mesh, self.scheduler.limited_calls, self.clock
        )
        self.controller.on_tokens = self.dispatcher.wake_up
        self.dispatcher.on_processed = self.controller.request_tokens
        self.next_exchange_at = 0.0
        self.served = 0
        self.refusals = []

    async def stop(self):
        self.alive = False
        await self.controller.stop()

    async def exchange_loads(self):
        now = self.clock.monotonic()
        if now < self.next_exchange_at:
            return
        self.next_exchange_at = now + self.exchange.interval()
        self.registry.entries = {
            entry.name: entry
            for entry in self.fleet.registered.values()
            if entry.name != self.name
        }
        await self.exchange.exchange()

    async def serve(self, call):
        """Run a call at the engine that the scheduler assigns; count refusals."""
        try:
            assignment = await self.dispatcher.acquire(call)
        except Refusal as refusal:
            self.refusals.append((self.clock.monotonic(), refusal))
            return
        engine = self.fleet.engines[assignment.endpoint]
        sent_at = self.clock.monotonic()
        engine.arrivals.append((sent_at, self.entry.incarnation))
        named = self.fleet.named_limit(engine)
        await self.clock.sleep(self.fleet.rng.uniform(0.3, 1.7) * RUN_SECONDS)
        if not self.alive:
            return
        if engine.limit is not None:
            engine.told_at.setdefault(self.entry.incarnation, self.clock.monotonic())
        is_named, value = named
        self.controller.observe(engine.name, is_named, value, sent_at)
        self.dispatcher.finish(call, CallOutcome.DONE)
        self.served += 1


class LimitFleet(ModelFleet):
    """The daemons, the engines, the network and its faults."""

    def __init__(self, seed, daemon_count, engine_count, skew=0.0):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        super().__init__()
        self.excused = defaultdict(lambda: deque())
        self.unreadable = set()
        names = [f"e-{number}" for number in range(engine_count)]
        self.engines = {name: Engine(name) for name in names}
        self.configuration = Configuration(
            deployment="model",
            domains=list(DOMAINS),
            services={SERVICE: ServiceSettings(kind=ServiceKind.ENGINE)},
            models={SERVICE: ModelSettings(service=SERVICE)},
            endpoints={
                name: EndpointSettings(
                    service=SERVICE,
                    domain=DOMAINS[number % 3],
                    url="1:1",
                    batch_limit=18,
                    cache_tokens=400_000,
                    prefill_tokens_per_second=100_000,
                    decode_tokens_per_second=2_000,
                )
                for number, name in enumerate(names)
            },
            weights=SCHEDULER_WEIGHTS,
            limits=SCHEDULER_LIMITS,
        )
        self.registered = {}
        self.daemons = {}
        self.weights = []
        for number in range(daemon_count):
            self.weights.append((1.0 - skew) + skew * self.rng.expovariate(1.0) * 3)
            self.start_daemon(f"d-{number}", DOMAINS[number % 3], 0)
        self.number = 0
        self.tasks = set()

    def make_peer(self, daemon):
        return LimitPeer(daemon)

    def start_daemon(self, name, domain, run):
        daemon = ModelDaemon(self, name, domain, f"{name}-{run}")
        self.daemons[name] = daemon
        self.registered[name] = daemon.entry
        return daemon

    def named(self, daemon, heartbeat):
        """Return a heartbeat as the connection hands it over: with its sender."""
        load = heartbeat.load
        load = type(load)(
            incarnation=daemon.entry.incarnation,
            in_flight=load.in_flight,
            waiting=load.waiting,
        )
        return type(heartbeat)(load=load)

    def named_limit(self, engine):
        """Return what an engine's answer says: whether it names a limit, and which."""
        if engine.limit is None:
            return False, None
        if engine.name in self.unreadable and engine.told_at:
            return True, None
        return True, engine.limit

    def set_limit(self, engine, limit):
        engine.limit = limit
        engine.told_at.clear()
        engine.first_named_at = self.clock.monotonic()

    def send(self, per_second):
        """Let callers send the requests of one step."""
        count = per_second * STEP_SECONDS
        whole = int(count) + (self.rng.random() < count - int(count))
        names = list(self.daemons)
        weights = self.weights[: len(names)]
        for _ in range(whole):
            daemon = self.rng.choices(list(self.daemons.values()), weights)[0]
            if not daemon.alive:
                continue
            self.number += 1
            call = Call(
                id=f"c-{self.number}",
                program=f"p-{self.rng.randrange(400)}",
                service=SERVICE,
                model=SERVICE,
                deadline=self.clock.monotonic() + 3.0,
            )
            self.start_task(daemon.serve(call))

    async def step(self, alive):
        for daemon in alive:
            daemon.dispatcher.wake_up()
        for daemon in alive:
            await daemon.exchange_loads()

    # --- faults -----------------------------------------------------------------

    async def restart(self, name, seconds, per_second):
        daemon = self.daemons[name]
        await daemon.stop()
        self.excuse(daemon)
        await self.run(seconds, per_second)
        run = int(daemon.entry.incarnation.rpartition("-")[2]) + 1
        self.start_daemon(name, daemon.domain, run)

    def excuse(self, daemon):
        """Leave out a daemon that is cut off or killed, for a stable window after."""
        self.excused[daemon.entry.incarnation].append(self.clock.monotonic())

    def excess(self):
        """Return for each engine how far the users' bound was exceeded at most.

        Counted are requests of daemons that had passed on the limit half a second
        before or earlier, from a stable window after it was first named.
        """
        found = {}
        for engine in self.engines.values():
            if engine.limit is None:
                continue
            since = engine.first_named_at + STABLE_SECONDS
            times = [
                at
                for at, daemon in engine.arrivals
                if at >= since
                and at >= engine.told_at.get(daemon, float("inf")) + TOLD_SECONDS
                and not self.is_excused(daemon, at)
            ]
            allowed = 1.5 * WINDOW_SECONDS * engine.limit + 5
            most = most_in_window(times)
            found[engine.name] = most - allowed
        return found

    def is_excused(self, daemon, at):
        return any(abs(at - time) < STABLE_SECONDS for time in self.excused[daemon])


def most_in_window(times):
    """Return the most of some sorted times that lie in one window."""
    most, first = 0, 0
    times = sorted(times)
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most
