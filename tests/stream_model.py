"""Many daemons and engines of several software versions, under random faults.

The daemons' stream controllers, version watches and rankings are real; the network,
the store and the engines are in memory, and one clock is moved by hand.
"""

import asyncio
import random

from attrs import define, field

from eelgrasslock.clock import ManualClock
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.scheduling.calls import PeerLoad
from eelgrasslock.streams.stream_controller import StreamController
from eelgrasslock.streams.version_watch import VersionWatch
from model_mesh import STEP_SECONDS, Mesh, ModelFleet, Results

STABLE_SECONDS = 3.0
MAX_VIEW_SECONDS = 1.75
RESUME_SECONDS = 8.0
HOLD_SECONDS = 0.1
MAX_ATTEMPTS = 4
SERVICE = "lm"
DOMAINS = ("a", "b", "c")


@define(eq=False)
class Engine:
    """An engine; `registered` is whether the store has its entry."""

    name: str
    version: str
    alive: bool = True
    registered: bool = True


@define(eq=False)
class Stream:
    """A stream with what its client was given.

    Attributes
    ----------
    versions : list of str
        The version of each run that brought events.
    resumed, went_on : int
        The tries that count for the share of streams that go on, and those of
        them that did.
    """

    id: str
    versions: list = field(factory=list)
    resumed: int = 0
    went_on: int = 0


class IdleScheduler:
    """A scheduler without any calls."""

    def peer_load(self):
        return PeerLoad(incarnation="", in_flight={})

    def observe_peer(self, load):
        pass

    def forget_peer(self, incarnation):
        pass


class StreamPeer:
    """The calls that a daemon serves for its peers."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def ping(self):
        """Answer."""

    async def tellStreams(self, streams):  # noqa: N802
        self.daemon.fleet.told += len(streams)
        message = {"streams": [Message(**one) for one in streams]}
        await self.daemon.controller.serve_tell(message, Results())

    async def findStream(self, **message):  # noqa: N802
        results = Results()
        results.service = results.version = ""
        await self.daemon.controller.serve_find(message, results)
        return results


class Message:
    """The fields of a message."""

    def __init__(self, **fields):
        self.__dict__.update(fields)


class StreamDaemon:
    """One daemon, with its own view of the store."""

    def __init__(self, fleet, name, domain, incarnation):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.clock = fleet.clock
        self.alive = True
        self.disturbed_at = fleet.clock.monotonic()
        self.view = {}
        self.view_at = float("-inf")
        self.next_view_at = 0.0
        self.next_exchange_at = 0.0
        self.entry = DaemonEntry(
            name=name, incarnation=incarnation, domain=domain, address="1:1"
        )
        rng = random.Random(fleet.rng.random())
        self.registry = DaemonRegistry(self.entry, rng)
        self.mesh = Mesh(fleet, self)
        self.exchange = LoadExchange(
            self.mesh, self.registry, IdleScheduler(), self.clock
        )
        ranking = DaemonRanking(self.exchange, self.clock.monotonic)
        self.watch = VersionWatch(self.clock, self.is_view_current)
        self.watch.extend_window(RESUME_SECONDS)
        self.controller = StreamController(
            ranking, self.mesh, self.watch, self.confirm_view, self.clock
        )

    async def confirm_view(self, seconds):
        """Read the store now, if it is reached."""
        if self.name in self.fleet.without_store:
            return False
        self.next_view_at = 0.0
        self.read_store()
        return True

    def is_view_current(self):
        return self.clock.monotonic() - self.view_at <= MAX_VIEW_SECONDS

    def is_in_touch(self):
        return self.clock.monotonic() >= self.disturbed_at + STABLE_SECONDS

    def read_store(self):
        """Read the store now and then, if it is reached."""
        now = self.clock.monotonic()
        if now >= self.next_view_at and self.name not in self.fleet.without_store:
            self.next_view_at = now + self.fleet.rng.uniform(0.05, 0.7)
            self.view_at = now
            engines = self.fleet.engines.values()
            self.view = {one.name: one.version for one in engines if one.registered}
            self.registry.entries = {
                entry.name: entry
                for entry in self.fleet.registered.values()
                if entry.name != self.name
            }
        self.watch.update((SERVICE, version) for version in self.view.values())
        self.controller.tell_untold()

    async def exchange_loads(self):
        now = self.clock.monotonic()
        if now >= self.next_exchange_at:
            self.next_exchange_at = now + self.exchange.interval()
            await self.exchange.exchange()

    def pick(self, version):
        """Return an engine that takes a request, None if there is none."""
        names = [
            name
            for name, one in self.view.items()
            if version in ("", one) and self.fleet.engines[name].alive
        ]
        return self.fleet.engines[self.fleet.rng.choice(names)] if names else None

    async def stop(self):
        self.alive = False
        await self.controller.stop()


class StreamFleet(ModelFleet):
    """The daemons, the engines, the network, the store and their faults."""

    def __init__(self, seed, daemon_count, engine_count=6):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        super().__init__()
        self.without_store = set()
        self.break_share = 0.3
        self.engines = {}
        self.registered = {}
        self.daemons = {}
        self.streams = []
        self.tasks = set()
        self.told = 0
        self.begin_tries = self.begun = 0
        self.version = 1
        for _ in range(engine_count):
            self.add_engine()
        for number in range(daemon_count):
            self.start_daemon(f"d-{number}", DOMAINS[number % 3], 0)

    def make_peer(self, daemon):
        return StreamPeer(daemon)

    def start_daemon(self, name, domain, run):
        daemon = StreamDaemon(self, name, domain, f"{name}-{run}")
        self.daemons[name] = daemon
        self.registered[name] = daemon.entry
        return daemon

    def add_engine(self):
        name = f"e-{len(self.engines)}"
        self.engines[name] = Engine(name, f"v{self.version}")

    def named(self, daemon, heartbeat):
        load = PeerLoad(incarnation=daemon.entry.incarnation, in_flight={})
        return type(heartbeat)(load=load)

    # --- streams ----------------------------------------------------------------

    def send(self, per_second):
        count = per_second * STEP_SECONDS
        for _ in range(int(count) + (self.rng.random() < count - int(count))):
            stream = Stream(f"r-{len(self.streams)}")
            self.streams.append(stream)
            self.start_task(self.follow(stream))

    async def follow(self, stream):
        """Let a client begin a stream, and resume it where it breaks off."""
        daemon = self.any_daemon(None)
        is_whole = await self.begin(stream, daemon)
        for _ in range(MAX_ATTEMPTS):
            if is_whole or not stream.versions:
                return
            await self.clock.sleep(self.rng.uniform(0.02, 0.6))
            daemon = self.any_daemon(daemon)
            is_whole = await self.resume(stream, daemon)

    def any_daemon(self, other_than):
        alive = [one for one in self.daemons.values() if one.alive]
        others = [one for one in alive if one is not other_than]
        return self.rng.choice(others or alive)

    async def begin(self, stream, daemon):
        counts = daemon.is_in_touch()
        self.begin_tries += counts
        engine = daemon.pick("")
        if engine is None:
            return False
        is_whole = await self.run_at(stream, daemon, engine)
        self.begun += counts and bool(stream.versions)
        return is_whole

    async def resume(self, stream, daemon):
        began = stream.versions[0]
        serving = [one for one in self.engines.values() if self.serves(one, began)]
        counts = daemon.is_in_touch() and len(serving) >= 2
        stream.resumed += counts
        origin = await daemon.controller.find(stream.id, SERVICE)
        engine = None if origin is None else daemon.pick(origin.version)
        if engine is None:
            return False
        runs = len(stream.versions)
        is_whole = await self.run_at(stream, daemon, engine)
        stream.went_on += counts and len(stream.versions) > runs
        return is_whole

    def serves(self, engine, version):
        return engine.alive and engine.registered and engine.version == version

    async def run_at(self, stream, daemon, engine):
        """Run a stream; return whether it came to its end."""
        version = daemon.view[engine.name]
        await self.clock.sleep(self.rng.uniform(0.02, 0.2))
        if not (daemon.alive and engine.alive):
            return False
        told = daemon.controller.begin(
            stream.id, SERVICE, version, RESUME_SECONDS, True
        )
        if told is not None:
            sleeping = asyncio.ensure_future(self.clock.sleep(HOLD_SECONDS))
            await asyncio.wait({told, sleeping}, return_when=asyncio.FIRST_COMPLETED)
        if not (daemon.alive and engine.alive):
            return False
        stream.versions.append(engine.version)
        is_broken = self.rng.random() < self.break_share
        ends_at = self.clock.monotonic() + self.rng.uniform(0.1, 1.5)
        while self.clock.monotonic() < ends_at:
            await self.clock.sleep(0.1)
            if not (daemon.alive and engine.alive):
                return False
        return not is_broken

    # --- time -------------------------------------------------------------------

    async def step(self, alive):
        for daemon in alive:
            daemon.read_store()
        for daemon in alive:
            await daemon.exchange_loads()

    def disturb(self, daemons):
        for daemon in daemons:
            daemon.disturbed_at = self.clock.monotonic()

    # --- results ----------------------------------------------------------------

    def crossed(self):
        """Return the streams with events of several versions."""
        return [one for one in self.streams if len(set(one.versions)) > 1]

    def counts(self):
        """Return how many streams were resumed and how many of them went on."""
        resumed = sum(one.resumed for one in self.streams)
        return resumed, sum(one.went_on for one in self.streams)

    def keeps_enough(self):
        """Return whether resumed streams go on half as often as new ones begin."""
        resumed, went_on = self.counts()
        return resumed < 12 or went_on / resumed >= 0.5 * self.begun / self.begin_tries
