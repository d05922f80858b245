"""Which daemons answer when they are asked."""

from typing import Any

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh

# How long a daemon that did not answer is passed over; longer if it sends no
# heartbeats either, as one that is gone for good stays registered.
SILENT_SECONDS = 1.0
LOST_SECONDS = 5.0
LIVE_SECONDS = 0.3
# Shorter than the limit of a peer's call, in which the answer is waited for.
PING_TIMEOUT_SECONDS = 0.15


class DaemonHealth:
    """Remembers for a moment which daemons answered and which did not.

    Parameters
    ----------
    ranking : DaemonRanking
        Says which daemons' heartbeats come.
    mesh : PeerMesh
        Calls the other daemons.
    clock : Clock
        The source of time.
    """

    def __init__(self, ranking: DaemonRanking, mesh: PeerMesh, clock: Clock) -> None:
        self.ranking = ranking
        self.mesh = mesh
        self.clock = clock
        self._silent_until: dict[str, float] = {}
        self._lost_until: dict[str, float] = {}
        self._live_until: dict[str, float] = {}

    def is_silent(self, entry: DaemonEntry) -> bool:
        """Return whether a daemon did not answer a moment ago.

        One that was lost is asked again as soon as its heartbeats come back.
        """
        now = self.clock.monotonic()
        if now < self._lost_until.get(entry.incarnation, 0.0):
            return not self.ranking.is_heard_of(entry)
        return now < self._silent_until.get(entry.incarnation, 0.0)

    async def answers(self, entry: DaemonEntry) -> bool:
        """Return whether a daemon answers, or did so a moment ago."""
        if self.is_silent(entry):
            return False
        if self.clock.monotonic() < self._live_until.get(entry.incarnation, 0.0):
            return True
        try:
            await self.mesh.call(entry, _ping, PING_TIMEOUT_SECONDS)
        except PeerUnavailable:
            self.record_silent(entry)
            return False
        until = self.clock.monotonic() + LIVE_SECONDS
        self._live_until[entry.incarnation] = until
        return True

    def record_silent(self, entry: DaemonEntry) -> None:
        """Record that a daemon did not answer."""
        now = self.clock.monotonic()
        self._live_until.pop(entry.incarnation, None)
        if self.ranking.is_heard_of(entry):
            self._silent_until[entry.incarnation] = now + SILENT_SECONDS
        else:
            self._lost_until[entry.incarnation] = now + LOST_SECONDS

    def forget_past(self) -> None:
        """Forget what no longer counts."""
        now = self.clock.monotonic()
        for times in (self._silent_until, self._lost_until, self._live_until):
            for incarnation in [one for one, until in times.items() if until <= now]:
                del times[incarnation]


async def _ping(peer: Any) -> None:
    await peer.ping()
