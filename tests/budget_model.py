"""Daemons, a log and a network in memory, for budgets under random faults.

The daemons are real up to their network: coordinators, fallback logs, followers,
accounts and ledgers. One clock is moved by hand, so that seconds cost nothing.
"""

import asyncio
import contextlib
import random
from types import SimpleNamespace

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
    PeerUnavailable,
    Ran,
    Refusal,
)
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.log.keyed_follower import KeyedFollower
from eelgrasslock.log.keyed_log import KeyedChanges, KeyedRecord, KeyedSnapshot
from eelgrasslock.log.read_schedule import ReadSchedule
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.log_rpc import append_for_peer, read_for_peer
from eelgrasslock.scheduling.calls import PeerLoad
from memory_log import RETENTION, TURN_TOKENS, MemoryLog

DOMAINS = ("a", "b", "c")
DAEMONS_PER_DOMAIN = 3
PARTITIONS_PER_TOPIC = 4
RECORD_SECONDS = 0.4
EXCHANGE_SECONDS = 0.25
PROGRAM_PAUSE_SECONDS = 60.0


class IdleScheduler:
    """A scheduler without calls."""

    def __init__(self, incarnation):
        self.incarnation = incarnation

    def peer_load(self):
        return PeerLoad(incarnation=self.incarnation, in_flight={})

    def observe_peer(self, load):
        """Ignore a peer's load."""

    def forget_peer(self, incarnation):
        """Ignore a peer that is gone."""


class DaemonLog:
    """The log as one daemon reaches it."""

    def __init__(self, fleet, name, domain):
        self.fleet = fleet
        self.name = name
        self.domain = domain

    def check(self, partition=None):
        fleet = self.fleet
        is_cut_off = self.domain in fleet.cut_off or self.name in fleet.cut_off
        if is_cut_off or fleet.is_log_down or partition in fleet.lost_partitions:
            raise LogUnavailable("unreachable")

    async def append_at(self, topic, partition, records, expected_end):
        self.check(partition)
        fate = self.fleet.rng.random() if self.fleet.loses_answers else 1.0
        if fate < 0.15:
            arguments = (topic, partition, records, expected_end)
            self.fleet.log.late.append(arguments)
            raise AppendUnresolved("late")
        end = await self.fleet.log.append_at(topic, partition, records, expected_end)
        if fate < 0.3:
            raise AppendUnresolved("lost")
        return end

    async def read_from(self, topic, partition, offset, max_kilobytes=0):
        self.check(partition)
        return await self.fleet.log.read_from(topic, partition, offset, max_kilobytes)

    async def snapshot(self, topic, answer_seconds=0.0):
        self.check()
        newest = {record.key: record for record in self.fleet.registrations}
        end = len(self.fleet.registrations)
        return KeyedSnapshot(records=tuple(newest.values()), end=end)

    async def changes(self, topic, offset, wait_seconds, answer_seconds=0.0):
        self.check()
        records = tuple(self.fleet.registrations[offset:])
        return KeyedChanges(records=records, end=offset + len(records))

    async def put(self, topic, key, value):
        self.check()
        self.fleet.registrations.append(KeyedRecord(key=key, value=value))


class Peer:
    """The calls that a daemon serves for its peers."""

    def __init__(self, daemon):
        self.callbacks = daemon.coordinator.mesh.callbacks

    async def offline(self, program):
        spent, drawn = self.callbacks.offline_usage(program)
        full_history = self.callbacks.has_full_history()
        return SimpleNamespace(spent=spent, drawn=drawn, fullHistory=full_history)

    async def release(self, program):
        return SimpleNamespace(tokens=self.callbacks.release_allowance(program))

    async def appendAt(self, topic, partition, records, expectedEnd):  # noqa: N802, N803
        log = self.callbacks.log
        return await append_for_peer(log, topic, partition, records, expectedEnd)

    async def readFrom(  # noqa: N802
        self,
        topic,
        partition,
        offset,
        maxKilobytes,  # noqa: N803
    ):
        log = self.callbacks.log
        return await read_for_peer(log, topic, partition, offset, maxKilobytes)


class ModelDaemon:
    """One incarnation of a daemon."""

    def __init__(self, fleet, name, domain, is_first_start):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.alive = True
        self.recorded_at = 0.0
        incarnation = f"{name}-{next(fleet.incarnations)}"
        log = DaemonLog(fleet, name, domain)
        self.entry = DaemonEntry(
            name=name, incarnation=incarnation, domain=domain, address="127.0.0.1:1"
        )
        self.coordinator = PeerCoordinator(
            self.entry, log, IdleScheduler(incarnation), fleet.clock, fleet.rng
        )
        mesh = self.coordinator.mesh
        mesh.call = self.call
        mesh.heartbeat = self.heartbeat
        ledger = DrawLedger(
            self.coordinator.log,
            PARTITIONS_PER_TOPIC,
            incarnation,
            fleet.clock,
            RETENTION,
        )
        self.allowances = AllowanceManager(
            ledger,
            fleet.clock,
            self.coordinator.request_release,
            self.coordinator.query_offline_usage,
            is_first_start=is_first_start,
        )
        self.coordinator.register_callbacks(self.allowances)
        self.follower = KeyedFollower(
            log,
            "keyed.daemons",
            self.coordinator.daemon_registry,
            fleet.clock,
            fleet.rng,
            ReadSchedule(wait_seconds=0.0, pause_seconds=0.0),
        )
        self.coordinator.last_log_response_at = lambda: self.follower.last_response_at
        self.coordinator.log_outage_start = self.follower.outage_started_at
        self.is_registered = False

    @property
    def serves(self):
        """A daemon serves once it has read the log."""
        return self.alive and self.follower.offset is not None

    def target(self, entry):
        daemon = self.fleet.daemons.get(entry.name)
        is_there = daemon is not None and daemon.alive
        if not is_there or daemon.entry.incarnation != entry.incarnation:
            raise PeerUnavailable(entry.name)
        if not self.fleet.are_connected(self, daemon):
            raise PeerUnavailable(entry.name)
        return daemon

    async def call(self, entry, send, timeout_seconds=0.0):
        target = self.target(entry)
        await asyncio.sleep(0)
        answer = await send(Peer(target))
        if not self.alive or self.fleet.loses_peer_answer():
            raise PeerUnavailable(entry.name, Ran.UNKNOWN)
        return answer

    async def heartbeat(self, entry, heartbeat, timeout_seconds=0.0):
        target = self.target(entry)
        return target.coordinator.load_exchange.answer_heartbeat(heartbeat)

    async def step(self):
        try:
            if not self.is_registered:
                await self.coordinator.direct_log.put(
                    "keyed.daemons", self.name, self.entry.encode()
                )
                self.is_registered = True
            await self.follower.read_once()
        except LogUnavailable as error:
            self.follower._set_unavailable(unavailable=True, reason=str(error))
        await self.coordinator.load_exchange.exchange()
        if self.fleet.clock.monotonic() >= self.recorded_at + RECORD_SECONDS:
            self.recorded_at = self.fleet.clock.monotonic()
            with contextlib.suppress(LogUnavailable, AppendUnresolved):
                await self.allowances.unrecorded.record()
                await self.allowances.refresh()

    async def leave(self):
        """End as after SIGTERM."""
        with contextlib.suppress(LogUnavailable, AppendUnresolved):
            await self.allowances.unrecorded.record()
            await self.allowances.return_all()
            await self.coordinator.deregister()
        self.alive = False


class ModelProgram:
    """A program that loops: it uses all that it is given."""

    def __init__(self, id, budget, now):
        self.id = id
        self.budget = budget
        self.tokens = 0
        self.seen_at = now


class ModelFleet:
    """The daemons, their faults and the programs."""

    def __init__(self, seed, budgets):
        self.rng = random.Random(seed)
        self.budgets = budgets
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.registrations = []
        self.incarnations = iter(range(1_000_000))
        self.cut_off = set()
        self.is_log_down = False
        self.lost_partitions = set()
        self.loses_answers = False
        self.ends = []
        self.in_flight = []
        self.programs = []
        self.finished = []
        self.daemons = {}
        self.down_until = {}
        for domain in DOMAINS:
            for number in range(DAEMONS_PER_DOMAIN):
                self.start(f"{domain}-{number}", domain, True)

    def start(self, name, domain, is_first_start=False):
        self.daemons[name] = ModelDaemon(self, name, domain, is_first_start)

    def are_connected(self, one, other):
        if {one.name, other.name} & self.cut_off:
            return False
        return one.domain == other.domain or not (
            {one.domain, other.domain} & self.cut_off
        )

    def loses_peer_answer(self):
        return self.loses_answers and self.rng.random() < 0.05

    async def step(self, seconds):
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        self.log.time = now
        self.log.expire_before(now - RETENTION)
        if self.log.late and self.rng.random() < 0.3:
            self.log.apply_late_appends()
            self.log.late.clear()
        for end in [one for one in self.ends if one[0] <= now]:
            self.ends.remove(end)
            end[1]()
        for name in [one for one, until in self.down_until.items() if until <= now]:
            del self.down_until[name]
            self.start(name, self.daemons[name].domain)
        for turn in [one for one in self.in_flight if one[0] <= now]:
            self.in_flight.remove(turn)
            _, daemon, reservation, used = turn
            daemon.allowances.settle(reservation, used)
        for daemon in list(self.daemons.values()):
            if daemon.alive:
                await daemon.step()

    def after(self, seconds, end):
        self.ends.append((self.clock.monotonic() + seconds, end))

    def kill(self, daemons):
        for daemon in daemons:
            daemon.alive = False
            down_until = self.clock.monotonic() + self.rng.uniform(0.5, 3.0)
            self.down_until.setdefault(daemon.name, down_until)

    async def cause_fault(self):
        rng = self.rng
        alive = [one for one in self.daemons.values() if one.alive]
        seconds = rng.uniform(1.0, 8.0)
        choice = rng.random()
        if choice < 0.25 and not set(DOMAINS) & self.cut_off:
            domain = rng.choice(DOMAINS)
            self.cut_off.add(domain)
            self.after(seconds, lambda: self.cut_off.discard(domain))
        elif choice < 0.35 and alive:
            name = rng.choice(alive).name
            self.cut_off.add(name)
            self.after(seconds, lambda: self.cut_off.discard(name))
        elif choice < 0.5 and not self.is_log_down:
            self.is_log_down = True
            self.after(seconds, lambda: setattr(self, "is_log_down", False))
        elif choice < 0.6 and not self.lost_partitions:
            self.lost_partitions = {rng.randrange(PARTITIONS_PER_TOPIC)}
            self.after(seconds, self.lost_partitions.clear)
        elif choice < 0.7 and not self.loses_answers:
            self.loses_answers = True
            self.after(seconds, lambda: setattr(self, "loses_answers", False))
        elif choice < 0.85 and alive:
            self.kill(rng.sample(alive, rng.randint(1, min(3, len(alive)))))
        elif choice < 0.88:
            self.kill(alive)
        elif choice < 0.95 and alive:
            daemon = rng.choice(alive)
            await daemon.leave()
            self.kill([daemon])
        else:
            await self.step(rng.choice([20.0, 100.0, 400.0]))

    def pick_program(self):
        now = self.clock.monotonic()
        oldest = now - PROGRAM_PAUSE_SECONDS
        self.finished += [one for one in self.programs if one.seen_at < oldest]
        self.programs = [one for one in self.programs if one.seen_at >= oldest]
        if len(self.programs) < 6 or self.rng.random() < 0.02:
            id = f"p{len(self.finished) + len(self.programs)}"
            budget = self.rng.choice(self.budgets) * TURN_TOKENS
            self.programs.append(ModelProgram(id, budget, now))
        return self.rng.choice(self.programs)

    async def run_turn(self):
        serving = [one for one in self.daemons.values() if one.serves]
        program = self.pick_program()
        program.seen_at = self.clock.monotonic()
        if not serving:
            return
        daemon = self.rng.choice(serving)
        try:
            reservation = await daemon.allowances.reserve(
                program.id, program.budget, TURN_TOKENS
            )
        except Refusal:
            return
        if not daemon.alive:
            return
        used = TURN_TOKENS if self.rng.random() < 0.8 else self.rng.randrange(100)
        program.tokens += used
        until = self.clock.monotonic() + self.rng.uniform(0.0, 0.6)
        self.in_flight.append((until, daemon, reservation, used))

    async def run(self, steps):
        for _ in range(steps):
            if self.rng.random() < 0.06:
                await self.cause_fault()
            await asyncio.gather(
                *(self.run_turn() for _ in range(self.rng.randint(1, 6)))
            )
            await self.step(self.rng.uniform(0.05, 0.4))
        return self.finished + self.programs
