"""The daemons of a model and the connections between them, in memory."""

import asyncio

from eelgrasslock.exceptions import PeerUnavailable

STEP_SECONDS = 0.02
PEER_SECONDS = 0.01
PEER_TIMEOUT_SECONDS = 0.3


class Mesh:
    """The connections of one daemon to the others."""

    def __init__(self, fleet, daemon):
        self.fleet = fleet
        self.daemon = daemon
        self.callbacks = Callbacks()

    async def call(self, entry, send, timeout_seconds=PEER_TIMEOUT_SECONDS):
        target = self.fleet.daemons.get(entry.name)
        await self.fleet.clock.sleep(PEER_SECONDS)
        if not self.fleet.are_connected(self.daemon, target):
            await self.fleet.clock.sleep(timeout_seconds - PEER_SECONDS)
            raise PeerUnavailable(entry.name)
        if target is None or not target.alive or target.entry != entry:
            raise PeerUnavailable(entry.name)
        answer = await send(self.fleet.make_peer(target))
        await self.fleet.clock.sleep(PEER_SECONDS)
        if not self.fleet.are_connected(self.daemon, target):
            raise PeerUnavailable(entry.name)
        return answer

    async def heartbeat(self, entry, heartbeat, timeout_seconds=PEER_TIMEOUT_SECONDS):
        target = self.fleet.daemons.get(entry.name)
        is_there = target is not None and target.alive and target.entry == entry
        if not is_there or not self.fleet.are_connected(self.daemon, target):
            raise PeerUnavailable(entry.name)
        heartbeat = self.fleet.named(self.daemon, heartbeat)
        return self.fleet.named(target, target.exchange.answer_heartbeat(heartbeat))


class Callbacks:
    """The callbacks that serve a daemon's peers."""

    answer_heartbeat = None


class Results:
    """The fields of an answer."""


class ModelFleet:
    """Daemons that share a clock which is moved by hand, and a network with cuts.

    A fleet that extends it has `clock`, `daemons` by name and `tasks`, and the
    methods `send`, which lets callers send the requests of one step, and `step`.
    """

    def __init__(self):
        self.cut_domain = ""
        self.cut_daemons = set()

    def are_connected(self, one, other):
        if other is None:
            return True
        if one.name in self.cut_daemons or other.name in self.cut_daemons:
            return False
        return (one.domain == self.cut_domain) == (other.domain == self.cut_domain)

    def start_task(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, seconds, per_second):
        """Move the clock on, with requests at a rate."""
        ends_at = self.clock.monotonic() + seconds
        while self.clock.monotonic() < ends_at:
            self.send(per_second)
            await self.step([one for one in self.daemons.values() if one.alive])
            for _ in range(2):
                self.clock.advance(STEP_SECONDS / 2)
                for _ in range(4):
                    await asyncio.sleep(0)

    async def stop(self):
        for daemon in self.daemons.values():
            await daemon.stop()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
