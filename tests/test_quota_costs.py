"""CPU time, memory and bytes of quotas in a fleet of 320 daemons."""

import asyncio
import random
import time
import tracemalloc

import capnp
import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_connection import PeerConnection
from eelgrasslock.peers.peer_server import PeerServer
from eelgrasslock.quotas.lease_messages import LeaseRequest, call_for_lease
from eelgrasslock.quotas.quota_controller import QuotaController
from eelgrasslock.quotas.quota_share import QuotaBounds
from eelgrasslock.workspaces.workspace import Workspace, WorkspaceDirectory
from quota_model import Loads
from test_peer_costs import CountingMesh

DAEMONS = 320
WORKSPACES = 200
CALLS = 1_000


class ByteCounter:
    """Counts the bytes of connections to a server."""

    def __init__(self, address):
        self.address = address
        self.bytes = 0
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.connect, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def connect(self, reader, writer):
        host, port = self.address.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, port)
        copies = [self.copy(reader, far_writer), self.copy(far_reader, writer)]
        self.tasks.extend(asyncio.ensure_future(one) for one in copies)

    async def copy(self, reader, writer):
        while data := await reader.read(65_536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()

    def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()


class SilentMesh:
    """Takes callbacks, and makes no calls."""

    callbacks = PeerCallbacks()


def make_controller():
    """Return a daemon of a large fleet that is ranked first for its workspaces."""
    entries = [
        DaemonEntry(
            name=f"edge-{number}",
            incarnation=f"edge-{number}-0",
            domain="abc"[number % 3],
            address="1:1",
        )
        for number in range(DAEMONS)
    ]
    clock = SystemClock()
    registry = DaemonRegistry(entries[0], random.Random(1))
    registry.entries = {one.name: one for one in entries[1:]}
    registry.is_own_read = True
    exchange = LoadExchange(SilentMesh(), registry, Loads("edge-0-0"), clock)
    ranking = DaemonRanking(exchange, clock.monotonic)
    names = (f"w-{number}" for number in range(10**6))
    names = (one for one in names if ranking.ranked_in("a", one)[0] is registry.own)
    directory = WorkspaceDirectory(
        Workspace(name=next(names), requests_per_second=10.0, burst=1_000.0)
        for _ in range(WORKSPACES)
    )
    bounds = QuotaBounds(window_seconds=5.0, overage=0.1, slack=20.0)
    controller = QuotaController(
        ranking, SilentMesh(), lambda: directory, bounds, clock, random.Random(1)
    )
    controller.owner.owned_since = 0.0
    controller.owner.contact.record(clock.monotonic())
    return controller


@pytest.fixture(scope="module")
def controller():
    return make_controller()


class TestFigures:
    """Figures that `pytest -s` prints; no check depends on them."""

    async def test_a_lease_of_another_daemon(self, controller):
        async with capnp.kj_loop():
            callbacks = PeerCallbacks()
            callbacks.lease_requests = controller.serve
            server = PeerServer([], lambda: "server", callbacks, SystemClock())
            address = await server.start("127.0.0.1:0")
            began = time.process_time()
            await self.lease_from(address, controller)
            seconds = time.process_time() - began
            counter = ByteCounter(address)
            await self.lease_from(await counter.start(), controller)
            counter.stop()
            await server.stop()
        print(f"\nlease: {seconds / CALLS * 1_000:.2f} ms, both sides")
        print(f"lease: {counter.bytes / CALLS:.0f} bytes, both ways")

    async def lease_from(self, address, controller):
        connection = await PeerConnection.connect(
            address, "server", "peer", [], SystemClock()
        )
        mesh = CountingMesh(connection)
        names = list(controller.directory().by_name)
        for number in range(CALLS):
            request = LeaseRequest(
                workspace=names[number % WORKSPACES], needed=1, extra=0
            )
            lease = await call_for_lease(mesh, None, request, 5.0)
        assert lease.count == 1
        connection.close()

    async def test_state_and_requests(self, controller):
        names = list(controller.directory().by_name)
        controller.owner.buckets.clear()
        controller.owner.contact.record(controller.clock.monotonic())
        tracemalloc.start()
        for name in names:
            await controller.take(name)
            controller.owner.contact.record(controller.clock.monotonic())
        size = tracemalloc.get_traced_memory()[0] / WORKSPACES
        tracemalloc.stop()
        assert controller.held_state() == 2 * WORKSPACES
        began = time.process_time()
        for _ in range(CALLS):
            controller.ranking.ranked_in("a", names[0])
        ranked = time.process_time() - began
        demand = controller.demands[names[0]]
        demand.held.add(CALLS, float("inf"))
        began = time.process_time()
        for _ in range(CALLS):
            await controller.take(names[0])
        taken = time.process_time() - began
        began = time.process_time()
        for _ in range(10):
            controller.update()
        updated = time.process_time() - began
        print(f"\nbucket and demand of a workspace: {size:.0f} bytes")
        print(f"ranking: {ranked / CALLS * 1e6:.0f} us")
        print(f"token that is held: {taken / CALLS * 1e6:.1f} us")
        print(f"update with {WORKSPACES} workspaces: {updated / 10 * 1e6:.0f} us")
