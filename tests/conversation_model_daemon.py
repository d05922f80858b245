"""One daemon of the model of conversations, as it reaches the log and its peers."""

import random
from types import SimpleNamespace

from eelgrasslock.conversations.conversation_controller import ConversationController
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
    PeerCallUnsupported,
)
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.fallback_log import FallbackLog
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.peers.log_rpc import append_for_peer, read_for_peer
from model_mesh import Mesh
from stream_model import IdleScheduler, Message

PARTITIONS_PER_TOPIC = 4
RETENTION_SECONDS = 20.0
LOG_SECONDS = 0.006
LOG_TIMEOUT_SECONDS = 0.6
CACHE_BYTES = 60_000
VIEW_SECONDS = 0.5
MAINTENANCE_SECONDS = 5.0


class DaemonLog:
    """The log as one daemon reaches it."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def check(self):
        await self.fleet.clock.sleep(LOG_SECONDS)
        if self.name in self.fleet.without_log:
            await self.fleet.clock.sleep(self.fleet.log_timeout)
            raise LogUnavailable("unreachable")

    async def append_at(self, topic, partition, records, expected_end):
        await self.check()
        fate = self.fleet.rng.random() if self.fleet.loses_answers else 1.0
        arguments = (topic, partition, records, expected_end)
        if fate < 0.15:
            self.fleet.start_task(self.append_late(arguments))
            await self.fleet.clock.sleep(LOG_TIMEOUT_SECONDS)
            raise AppendUnresolved("late")
        end = await self.fleet.log.append_at(*arguments)
        self.fleet.appended += 1
        if fate < 0.3:
            await self.fleet.clock.sleep(LOG_TIMEOUT_SECONDS)
            raise AppendUnresolved("lost")
        await self.fleet.clock.sleep(LOG_SECONDS)
        return end

    async def append_late(self, arguments):
        await self.fleet.clock.sleep(self.fleet.rng.uniform(1.0, 6.0))
        await self.fleet.log.append_at(*arguments)

    async def read_from(self, topic, partition, offset, max_kilobytes=0):
        await self.check()
        read = await self.fleet.log.read_from(topic, partition, offset, max_kilobytes)
        await self.fleet.clock.sleep(LOG_SECONDS)
        return read

    async def trim(self, topic, partition, offset):
        await self.check()
        await self.fleet.log.trim(topic, partition, offset)
        self.fleet.trimmed += 1


class ConversationPeer:
    """The calls that a daemon serves for its peers."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.fleet = daemon.fleet

    async def ping(self):
        """Answer."""

    async def appendAt(self, topic, partition, records, expectedEnd):  # noqa: N802, N803
        log = self.daemon.log.direct_log()
        return await append_for_peer(log, topic, partition, records, expectedEnd)

    async def readFrom(self, topic, partition, offset, maxKilobytes):  # noqa: N802, N803
        log = self.daemon.log.direct_log()
        return await read_for_peer(log, topic, partition, offset, maxKilobytes)

    async def tellTurns(self, turns):  # noqa: N802
        self.check()
        self.fleet.messages += 1
        self.fleet.told += 1
        message = {"turns": [Message(**one) for one in turns]}
        await self.daemon.controller.directory.serve_tell(message, None)

    async def findTurn(self, **message):  # noqa: N802
        self.check()
        self.fleet.messages += 1
        results = SimpleNamespace(isKnown=False, isAbsent=False)
        await self.daemon.controller.directory.serve_find(message, results)
        return results

    async def fetchTurns(self, **message):  # noqa: N802
        self.check()
        self.fleet.messages += 1
        results = SimpleNamespace()
        await self.daemon.controller.finder.serve_fetch(message, results)
        results.turns = [Message(**one) for one in results.turns]
        return results

    def check(self):
        if self.daemon.name in self.fleet.old_builds:
            raise PeerCallUnsupported(self.daemon.name)


class ConversationDaemon:
    """One daemon, with its own view of the fleet."""

    def __init__(self, fleet, name, domain, incarnation):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.clock = fleet.clock
        self.alive = True
        self.next_view_at = 0.0
        self.next_exchange_at = 0.0
        self.next_maintenance_at = 0.0
        self.entry = DaemonEntry(
            name=name, incarnation=incarnation, domain=domain, address="1:1"
        )
        rng = random.Random(fleet.rng.random())
        self.registry = DaemonRegistry(self.entry, rng)
        self.mesh = Mesh(fleet, self)
        self.exchange = LoadExchange(
            self.mesh, self.registry, IdleScheduler(), self.clock
        )
        direct = DaemonLog(fleet, name)
        self.log = FallbackLog(direct, self.mesh, self.registry, self.clock)
        self.controller = ConversationController(
            DaemonRanking(self.exchange, self.clock.monotonic),
            self.mesh,
            self.log,
            direct,
            PARTITIONS_PER_TOPIC,
            CACHE_BYTES,
            self.clock,
        )
        self.controller.extend_retention(RETENTION_SECONDS)

    async def step(self):
        now = self.clock.monotonic()
        if now >= self.next_view_at and self.name not in self.fleet.without_log:
            self.next_view_at = now + VIEW_SECONDS
            self.registry.entries = {
                entry.name: entry
                for entry in self.fleet.registered.values()
                if entry.name != self.name
            }
        if now >= self.next_exchange_at:
            self.next_exchange_at = now + self.exchange.interval()
            await self.exchange.exchange()
        if now >= self.next_maintenance_at:
            self.next_maintenance_at = now + MAINTENANCE_SECONDS
            self.fleet.start_task(self.controller.maintain())

    async def stop(self):
        self.alive = False
        await self.controller.stop()
