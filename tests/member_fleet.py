"""Daemons of one fleet, each with a log connection that can be interrupted."""

import asyncio
import contextlib
import random

import capnp

from eelgrasslock.clock import SystemClock
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.record_codec import readable_records
from eelgrasslock.log.records import (
    MEMBERS_STREAM,
    DomainChallenged,
    MemberRetired,
    new_id,
)
from eelgrasslock.peers import membership as membership_module
from eelgrasslock.peers.membership import Membership
from eelgrasslock.peers.peer_connection import ConnectionLost
from eelgrasslock.peers.peer_transport import PeerTransport
from fake_log import FakeLog
from peer_helpers import daemon_settings

WAIT_SECONDS = 30.0


def shorten_intervals(monkeypatch):
    """Shorten the intervals of the membership, so that tests are short."""
    monkeypatch.setattr(membership_module, "_TICK_SECONDS", 0.1)
    monkeypatch.setattr(membership_module, "_REJOIN_SECONDS", 0.5)


class Daemon:
    """The parts of a daemon that maintain its membership."""

    def __init__(self, name, domain, log, address="127.0.0.1:0", seeds=()):
        clock, rng = SystemClock(), random.Random(name)
        settings = daemon_settings(name, domain, address, seeds=list(seeds))
        incarnation = f"{name}-{new_id()[:8]}"
        self.log = log
        self.writer = LogWriter(log, clock, rng, appends_per_second=100.0)
        self.tail = LogTail(log, clock, rng, poll_seconds=0.05)
        self.peers = PeerTransport(settings, incarnation, clock, rng)
        self.membership = Membership(
            settings, incarnation, self.writer, self.tail, self.peers, clock, rng
        )
        self.table = self.membership.table

    @property
    def incarnation(self):
        return self.membership.incarnation

    async def start(self):
        await self.peers.start()
        await self.writer.start()
        await self.tail.start()
        await self.membership.start()
        return self

    async def stop(self):
        await self.membership.stop()
        await self.tail.stop()
        await self.writer.stop()
        await self.peers.stop()

    def has_passed_barrier(self):
        return self.membership.join_barrier.is_passed

    def live_names(self):
        return {one.name for one in self.table.live()}


class InterruptibleLog:
    """One daemon's access to the log, which can be interrupted.

    While `reachable` is not set, calls hang. While `own.down` is set, they fail.
    """

    def __init__(self, log):
        self.log = log
        self.own = FakeLog(SystemClock())
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def append(self, stream, data):
        await self.reachable.wait()
        log = self.own if self.own.down else self.log
        return await log.append(stream, data)

    async def read(self, stream, offset, limit):
        await self.reachable.wait()
        log = self.own if self.own.down else self.log
        return await log.read(stream, offset, limit)


async def until(condition, seconds=WAIT_SECONDS):
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def fleet(*names, log=None):
    """Start daemons, and yield them by name; the first letter is the domain."""
    log = log or FakeLog(SystemClock())
    async with capnp.kj_loop(), contextlib.AsyncExitStack() as stack:
        daemons = {}
        for name in names:
            daemon = daemons[name] = Daemon(name, name[0], InterruptibleLog(log))
            await daemon.start()
            stack.push_async_callback(daemon.stop)
        wanted = set(names)
        await until(lambda: all(one.live_names() == wanted for one in daemons.values()))
        # `block_connections` does not close a connection that is being opened.
        await until(lambda: all(one.has_passed_barrier() for one in daemons.values()))
        yield daemons


def retired_records(log):
    records = [
        record
        for entry in log.streams[MEMBERS_STREAM]
        for record in readable_records(entry.data)
    ]
    return [one for one in records if isinstance(one, MemberRetired)]


def retirements(log):
    return [one.reason for one in retired_records(log)]


def challenges(log):
    return [
        record
        for entry in log.streams[MEMBERS_STREAM]
        for record in readable_records(entry.data)
        if isinstance(record, DomainChallenged)
    ]


def retired_names(log, daemons):
    names = {one.incarnation: name for name, one in daemons.items()}
    return [names[one.incarnation] for one in retired_records(log)]


def block_connections(daemon, is_cut):
    """Fail a daemon's new connections to some addresses; close all its old ones."""
    connect = daemon.peers._connect

    async def connect_or_fail(address, expected):
        if is_cut(address):
            raise ConnectionLost("cut")
        return await connect(address, expected)

    daemon.peers._connect = connect_or_fail
    for connection in daemon.peers._connections.values():
        connection.close()
