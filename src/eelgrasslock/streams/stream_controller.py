"""Keeps the versions at which streams began, so that any daemon can resume them.

Each stream has keepers, two daemons of different failure domains that rendezvous
hashing chooses by the id of its first request. They are told before the first event
is relayed, unless all endpoints of the service have run one version for so long that
no stream of another one can be resumed.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Any

from attrs import frozen
from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.peers.daemon_health import DaemonHealth
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.streams.stream_messages import (
    FoundOrigin,
    ask_origin,
    tell_origins,
    told_origins,
)
from eelgrasslock.streams.stream_table import StreamOrigin, StreamTable, stream_key
from eelgrasslock.streams.version_watch import VersionWatch

KEEPERS = 2
MAX_DAEMONS_TOLD = 4
# More than are told, as the asker's view of the fleet may be another one.
MAX_DAEMONS_ASKED = 6
# How long a daemon asks the log whether it knows all versions: for a request of its
# own, and for another daemon, whose call must not time out meanwhile.
CONFIRM_SECONDS = 0.6
CONFIRM_FOR_PEER_SECONDS = 0.15

ConfirmView = Callable[[float], Awaitable[bool]]

_log = logger.bind(part="streams")


@frozen(kw_only=True)
class KnownOrigin:
    """Where a stream began, and who says so.

    Attributes
    ----------
    service, version : str
        Its service, and the software version of the endpoint that began it.
    source : str
        ``own`` for a stream that this daemon relayed or keeps, ``peer`` for one
        that another daemon knows, ``only`` if the service has run no other version.
    """

    service: str
    version: str
    source: str


class StreamController:
    """Tells the keepers of streams, and asks them when a stream is resumed.

    Parameters
    ----------
    ranking : DaemonRanking
        Ranks the daemons for each stream.
    mesh : PeerMesh
        Calls the other daemons.
    watch : VersionWatch
        The versions of late.
    confirm_view : callable
        Returns whether the endpoints that are registered by now are known; takes the
        seconds for which the log may be asked.
    clock : Clock
        The source of time.

    Attributes
    ----------
    table : StreamTable
        The streams that this daemon knows.
    """

    def __init__(
        self,
        ranking: DaemonRanking,
        mesh: PeerMesh,
        watch: VersionWatch,
        confirm_view: ConfirmView,
        clock: Clock,
    ) -> None:
        self.ranking = ranking
        self.mesh = mesh
        self.watch = watch
        self.confirm_view = confirm_view
        self.clock = clock
        self.table = StreamTable()
        self.health = DaemonHealth(ranking, mesh, clock)
        self.tasks = BackgroundTasks()

    # --- streams that begin -----------------------------------------------------

    def begin(
        self,
        request_id: str,
        service: str,
        version: str,
        seconds: float,
        is_only_service: bool,
    ) -> asyncio.Future[None] | None:
        """Record where a stream began, or goes on.

        Parameters
        ----------
        request_id : str
            The id of the request that brought the stream's first event.
        service, version : str
            The service, and the software version of the endpoint.
        seconds : float
            For how long the stream may be resumed.
        is_only_service : bool
            Whether the stream can have begun at no other service.

        Returns
        -------
        asyncio.Future or None
            Done once a keeper knows or none can be told; None if none needs to.
        """
        now = self.clock.monotonic()
        origin = StreamOrigin(
            key=stream_key(request_id),
            service=service,
            version=version,
            expires_at=now + seconds,
            is_own=True,
        )
        self.table.put(origin, now)
        if is_only_service and self.watch.only_version(service) == version:
            return None
        origin.is_told = True
        told: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.tasks.start(self._tell_keepers(origin, told))
        return told

    def tell_untold(self) -> None:
        """Tell of the streams under way whose service got a second version."""
        by_daemon: dict[str, list[StreamOrigin]] = defaultdict(list)
        entries: dict[str, DaemonEntry] = {}
        for origin in list(self.table.untold(self.clock.monotonic())):
            if self.watch.only_version(origin.service) == origin.version:
                continue
            origin.is_told = True
            for entry in self._keepers(origin.key)[:KEEPERS]:
                entries[entry.name] = entry
                by_daemon[entry.name].append(origin)
        for name, origins in by_daemon.items():
            self.tasks.start(self._tell(entries[name], origins))
        self.health.forget_past()

    async def _tell_keepers(
        self, origin: StreamOrigin, told: asyncio.Future[None]
    ) -> None:
        """Tell the keepers, or those that come next if one does not answer."""
        keepers = iter(self._keepers(origin.key)[:MAX_DAEMONS_TOLD])
        try:
            telling = [self._tell_next(keepers, origin, told) for _ in range(KEEPERS)]
            await asyncio.gather(*telling)
        finally:
            _set_done(told)

    async def _tell_next(
        self,
        keepers: Iterator[DaemonEntry],
        origin: StreamOrigin,
        told: asyncio.Future[None],
    ) -> None:
        for entry in keepers:
            if await self._tell(entry, [origin]):
                _set_done(told)
                return

    async def _tell(self, entry: DaemonEntry, origins: Iterable[StreamOrigin]) -> bool:
        """Tell a daemon; return whether it answered."""
        try:
            await tell_origins(self.mesh, entry, origins, self.clock.monotonic())
        except PeerUnavailable as error:
            self.health.record_silent(entry)
            _log.info("{} keeps no origin of a stream: {}", entry.name, error)
            return False
        return True

    def _keepers(self, key: int) -> list[DaemonEntry]:
        """Return the other daemons by rank, the second one of another domain."""
        ranked = self._answering(key)
        for place, entry in enumerate(ranked[1:], start=1):
            if entry.domain != ranked[0].domain:
                ranked.insert(1, ranked.pop(place))
                break
        return ranked

    def _answering(self, key: int) -> list[DaemonEntry]:
        own = self.ranking.registry.own
        return [
            entry
            for entry in self.ranking.ranked(str(key))
            if entry is not own and not self.health.is_silent(entry)
        ]

    # --- streams that are resumed -----------------------------------------------

    async def find(self, request_id: str, only_service: str) -> KnownOrigin | None:
        """Return where a stream began, None if that can't be known.

        Parameters
        ----------
        request_id : str
            The id of the request that brought its first event, empty if unknown.
        only_service : str
            The one service that can have begun it, empty if there may be several.
        """
        key = stream_key(request_id)
        found = self.table.find(key, self.clock.monotonic()) if request_id else None
        if found is not None:
            return KnownOrigin(
                service=found.service, version=found.version, source="own"
            )
        confirming = self.tasks.start(
            self._confirmed_version(only_service, CONFIRM_SECONDS)
        )
        answers = await self._ask(key, only_service)
        for answer in answers:
            if request_id and answer.version:
                return KnownOrigin(
                    service=answer.service, version=answer.version, source="peer"
                )
        version = self._only_version(only_service, answers, await confirming)
        if not version:
            return None
        return KnownOrigin(service=only_service, version=version, source="only")

    async def _confirmed_version(self, service: str, seconds: float) -> str:
        """Return the one version that a stream of a service can have begun at.

        Empty if there may be several. A view that is young enough to send requests
        may lack a version that others have seen, so the log is asked: whatever began
        a stream was registered before.
        """
        if not service or not self.watch.only_version(service):
            return ""
        if not await self.confirm_view(seconds):
            _log.info("Other versions of service {} can't be ruled out now.", service)
            return ""
        return self.watch.only_version(service)

    def _only_version(self, service: str, answers: list[FoundOrigin], own: str) -> str:
        """Return the one version that can have begun a stream nobody was told of.

        A daemon that does not know for itself, as it has just started or its view
        can't be confirmed, takes the word of others unless it has seen another
        version.
        """
        if not service:
            return ""
        only = {answer.only_version for answer in answers if answer.only_version}
        if own:
            only.add(own)
        if len(only) != 1 or not self.watch.versions(service) <= only:
            return ""
        return next(iter(only))

    async def _ask(self, key: int, service: str) -> list[FoundOrigin]:
        """Return the answers of several daemons, up to the first that knows."""
        asked = self._answering(key)[:MAX_DAEMONS_ASKED]
        pending = {self.tasks.start(self._ask_one(one, key, service)) for one in asked}
        answers: list[FoundOrigin] = []
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            answers += [one for task in done if (one := task.result()) is not None]
            if any(answer.version for answer in answers):
                break
        return answers

    async def _ask_one(
        self, entry: DaemonEntry, key: int, service: str
    ) -> FoundOrigin | None:
        try:
            return await ask_origin(self.mesh, entry, key, service)
        except PeerUnavailable as error:
            self.health.record_silent(entry)
            _log.info("{} does not say where a stream began: {}", entry.name, error)
            return None

    # --- calls of other daemons -------------------------------------------------

    async def serve_tell(self, message: dict[str, Any], results: Any) -> None:
        """Take note of where streams of another daemon began."""
        now = self.clock.monotonic()
        for origin in told_origins(message, now):
            self.table.put(origin, now)

    async def serve_find(self, message: dict[str, Any], results: Any) -> None:
        """Answer where a stream began."""
        found = self.table.find(message["key"], self.clock.monotonic())
        if found is not None:
            results.service = found.service
            results.version = found.version
        only_service = message["service"] if found is None else ""
        results.onlyVersion = await self._confirmed_version(
            only_service, CONFIRM_FOR_PEER_SECONDS
        )

    # --- life cycle -------------------------------------------------------------

    async def stop(self) -> None:
        """Stop telling and asking."""
        await self.tasks.stop()


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
