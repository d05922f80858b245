"""One daemon of the model of budgets, as it reaches the log and its peers."""

import asyncio
import contextlib
from types import SimpleNamespace

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.draws.draw_keepers import DrawKeepers
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
    PeerUnavailable,
    Ran,
)
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.log.keyed_follower import KeyedFollower
from eelgrasslock.log.keyed_log import KeyedChanges, KeyedRecord, KeyedSnapshot
from eelgrasslock.log.read_schedule import ReadSchedule
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.log_rpc import append_for_peer, read_for_peer
from eelgrasslock.scheduling.calls import PeerLoad
from memory_log import RETENTION

PARTITIONS_PER_TOPIC = 4
RECORD_SECONDS = 0.4


def to_message(value):
    """Return what a peer reads of a message that was written as a dict."""
    if isinstance(value, dict):
        fields = {key: to_message(one) for key, one in value.items()}
        return SimpleNamespace(**fields)
    if isinstance(value, list):
        return [to_message(one) for one in value]
    return value


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

    async def keepDraw(self, **message):  # noqa: N802
        nothing = {"program": "", "isClosed": False, "draws": []}
        results = SimpleNamespace(counts=False, known=nothing, keepers=0)
        await self.callbacks.keep_draw(message, results)
        return to_message(vars(results))

    async def giveDraws(self, programs):  # noqa: N802
        await self.callbacks.give_draws({"programs": to_message(programs)}, None)

    async def fetchDraws(self, joiner, domain):  # noqa: N802
        results = SimpleNamespace(programs=[])
        await self.callbacks.fetch_draws({"joiner": joiner, "domain": domain}, results)
        return to_message(vars(results))

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
        self.keepers = DrawKeepers(
            self.coordinator.daemon_registry,
            mesh,
            fleet.clock,
            RETENTION,
            is_first_start,
        )
        self.keepers.register(mesh.callbacks)
        self.allowances = AllowanceManager(
            ledger,
            fleet.clock,
            self.coordinator.request_release,
            self.keepers,
        )
        self.keepers.transfer.last_log_response_at = lambda: (
            self.follower.last_response_at
        )
        self.coordinator.register_callbacks(self.allowances)
        self.keepers.needed_draw = self.allowances.unrecorded.needed_draw
        self.follower = KeyedFollower(
            log,
            "keyed.daemons",
            self.coordinator.daemon_registry,
            fleet.clock,
            fleet.rng,
            ReadSchedule(wait_seconds=0.0, pause_seconds=0.0),
        )
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
        await self.keepers.transfer.try_to_catch_up()
        self.keepers.update()
        if self.fleet.clock.monotonic() >= self.recorded_at + RECORD_SECONDS:
            self.recorded_at = self.fleet.clock.monotonic()
            with contextlib.suppress(LogUnavailable, AppendUnresolved):
                await self.allowances.unrecorded.record()
                await self.allowances.refresh()
            await self.allowances.unrecorded.tell_less()

    async def leave(self):
        """End as after SIGTERM."""
        try:
            await self.allowances.unrecorded.record()
            await self.allowances.return_all()
        except (LogUnavailable, AppendUnresolved):
            pass
        await self.keepers.transfer.hand_over()
        with contextlib.suppress(LogUnavailable):
            await self.coordinator.deregister()
        self.alive = False
