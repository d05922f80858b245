"""The connections between the daemons of a model, in memory."""

from eelgrasslock.exceptions import PeerUnavailable

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
