"""Calls whose endpoint is silent, known to other daemons before anybody's end.

A request may end the endpoint that runs it, and the daemon that waits for it may be
gone before the endpoint's registration is. So such a daemon tells a few others of the
calls for which nothing is heard, and these count the end if it can't.
"""

from collections.abc import Iterable
from typing import Any

from attrs import frozen
from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.failures.crash_records import CrashRecords
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.scheduling.lost_calls import NOTICE_SECONDS
from eelgrasslock.scheduling.scheduler import Scheduler

KEEPERS = 3
# A sound endpoint may be silent for a second or so.
SILENT_SECONDS = 1.0
TELL_INTERVAL_SECONDS = 1.0
# A daemon counts its own calls, unless it is not heard of any more by then.
OWNER_SECONDS = 4.0
MAX_CALLS = 5_000

_log = logger.bind(part="crashes")


@frozen
class SilentCall:
    """A call of another daemon for which nothing is heard.

    Attributes
    ----------
    owner : str
        The incarnation that waits or waited for it.
    endpoint : str
        The endpoint's id.
    digest : str
        The digest of its request.
    """

    owner: str
    endpoint: str
    digest: str


@frozen
class EndedCall:
    """A silent call whose endpoint has ended.

    Attributes
    ----------
    call : SilentCall
        The call.
    end : str
        The name of the end.
    crashes_before : int
        The crashes that its owner had counted for the request.
    until : float
        How long the owner may still count this one, on the monotonic clock.
    """

    call: SilentCall
    end: str
    crashes_before: int
    until: float


class SilentCalls:
    """Tells others of own silent calls, and counts those of daemons that are gone.

    Parameters
    ----------
    scheduler : Scheduler
        Has the own calls, and the crashes.
    crash_records : CrashRecords
        Writes crashes that daemons which are gone would have written.
    ranking : DaemonRanking
        Names the daemons that are told of an endpoint's calls.
    mesh : PeerMesh
        Calls them.
    clock : Clock
        The time.

    Attributes
    ----------
    heard_at : dict of str to float
        When anything was last received from an endpoint, on the monotonic clock.
    told_at : dict of SilentCall to float
        When other daemons told of their calls.
    ended : list of EndedCall
        Those that may have to be counted here.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        crash_records: CrashRecords,
        ranking: DaemonRanking,
        mesh: PeerMesh,
        clock: Clock,
    ) -> None:
        self.scheduler = scheduler
        self.crash_records = crash_records
        self.ranking = ranking
        self.mesh = mesh
        self.clock = clock
        self.heard_at: dict[str, float] = {}
        self.told_at: dict[SilentCall, float] = {}
        self.ended: list[EndedCall] = []
        self.tasks = BackgroundTasks()
        self._own_told_at: dict[tuple[str, str], float] = {}

    def register(self, callbacks: PeerCallbacks) -> None:
        """Serve the call with which peers tell of their calls."""
        callbacks.tell_silent = self.serve_tell

    def record_heard(self, endpoint: str) -> None:
        """Record that something was received from an endpoint."""
        self.heard_at[endpoint] = self.clock.monotonic()

    async def stop(self) -> None:
        """Cancel calls that still run."""
        await self.tasks.stop()

    # --- own calls --------------------------------------------------------------

    def update(self) -> None:
        """Tell of calls that have become silent, and drop what is past."""
        now = self.clock.monotonic()
        oldest = now - NOTICE_SECONDS
        self._own_told_at = {
            one: at for one, at in self._own_told_at.items() if at >= oldest
        }
        self.told_at = {one: at for one, at in self.told_at.items() if at >= oldest}
        for endpoint, digests in self._newly_silent(now).items():
            for entry in self._keepers(endpoint):
                self.tasks.start(self._tell(entry, endpoint, digests))
        self._count_ended(now)
        self._forget_endpoints()

    def _newly_silent(self, now: float) -> dict[str, list[str]]:
        """Return the digests to tell of, by endpoint."""
        digests: dict[str, list[str]] = {}
        for endpoint, running in self.scheduler.endpoint_table.all_running():
            heard_at = self.heard_at.get(endpoint, float("-inf"))
            key = (endpoint, running.call.digest)
            told_at = self._own_told_at.get(key, float("-inf"))
            is_silent = now >= max(heard_at, running.started_at) + SILENT_SECONDS
            if is_silent and now >= told_at + TELL_INTERVAL_SECONDS:
                self._own_told_at[key] = now
                digests.setdefault(endpoint, []).extend(running.call.digests)
        return digests

    def _keepers(self, endpoint: str) -> list[DaemonEntry]:
        ranked = self.ranking.ranked(endpoint)
        own = self.ranking.registry.own
        others = (one for one in ranked if one is not own)
        return [one for one in others if self.ranking.is_heard_of(one)][:KEEPERS]

    async def _tell(
        self, entry: DaemonEntry, endpoint: str, digests: list[str]
    ) -> None:
        own = self.ranking.registry.own.incarnation

        async def tell(peer: Any) -> None:
            await peer.tellSilent(owner=own, endpoint=endpoint, digests=digests)

        try:
            await self.mesh.call(entry, tell)
        except PeerUnavailable as error:
            _log.info("{} was not told of silent calls: {}", entry.name, error)

    def _forget_endpoints(self) -> None:
        table = self.scheduler.endpoint_table
        gone = [one for one in self.heard_at if table.find(one) is None]
        for endpoint in gone:
            del self.heard_at[endpoint]

    # --- calls of others --------------------------------------------------------

    async def serve_tell(self, message: dict[str, Any], results: Any) -> None:
        """Keep the silent calls of a peer."""
        now = self.clock.monotonic()
        for digest in message["digests"]:
            call = SilentCall(message["owner"], message["endpoint"], digest)
            if digest and len(self.told_at) < MAX_CALLS:
                self.told_at[call] = now

    def has_any(self, endpoint: str) -> bool:
        """Return whether others have told of silent calls to an endpoint."""
        return any(self._of(endpoint))

    def _of(self, endpoint: str) -> Iterable[SilentCall]:
        """Return the calls to an endpoint since which nothing was heard of it."""
        heard_at = self.heard_at.get(endpoint, float("-inf"))
        calls = self.told_at.items()
        return [one for one, at in calls if one.endpoint == endpoint and at >= heard_at]

    def record_end(self, endpoint: str, end: str) -> None:
        """Note that an endpoint has ended; its silent calls count, also of others."""
        until = self.clock.monotonic() + OWNER_SECONDS
        for call in self._of(endpoint):
            before = self._crashes_of(call)
            self.ended.append(EndedCall(call, end, before, until))
            del self.told_at[call]

    def _count_ended(self, now: float) -> None:
        """Count the ends that their owners can't count any more."""
        live = self.ranking.load_exchange.live_peers
        waiting: list[EndedCall] = []
        for one in self.ended:
            call = one.call
            if self._crashes_of(call) > one.crashes_before:
                continue
            if call.owner in live:
                if now < one.until:
                    waiting.append(one)
                continue
            _log.bind(digest=call.digest).warning(
                "Endpoint {} ended with a call of {}, which is gone.",
                call.endpoint,
                call.owner,
            )
            self.crash_records.write_for(call.owner, call.digest, one.end)
        self.ended = waiting

    def _crashes_of(self, call: SilentCall) -> int:
        return self.scheduler.quarantine.crashes_by(call.owner, call.digest)
