"""Joins the fleet, follows who belongs to it, and leaves it."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from attrs import evolve
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import DaemonSettings
from eelgrasslock.exceptions import LogError
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.records import (
    MEMBERS_STREAM,
    DomainChallenged,
    MemberJoined,
    MemberRetired,
    PositionedRecord,
    new_id,
)
from eelgrasslock.peers.acquaintance import Acquaintance
from eelgrasslock.peers.beat import Beat
from eelgrasslock.peers.gossip import Gossip
from eelgrasslock.peers.links import PeerLinks
from eelgrasslock.peers.members import MemberTable
from eelgrasslock.peers.peer_loads import PeerLoads
from eelgrasslock.peers.peer_watch import PeerWatch, peer_key
from eelgrasslock.peers.relays import heartbeat_interval, watched_peers
from eelgrasslock.peers.retirement import Retirement
from eelgrasslock.programs.ownership import owner_of
from eelgrasslock.scheduling.calls import PeerLoad

_TICK_SECONDS = 0.5
_REJOIN_SECONDS = 5.0
_REFRESH_SECONDS = 600.0
_REFRESH_JITTER = 0.25
_LEAVE_SECONDS = 5.0

log = logger.bind(part="members")


class Membership:
    """A daemon's part in the fleet.

    Parameters
    ----------
    settings : DaemonSettings
        Gives name, domain and addresses.
    incarnation : str
        Ours.
    writer : LogWriter
        Takes our records.
    tail : LogTail
        Reads the `members` stream.
    peers : PeerLinks
        The connections; started before this controller.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws jitter, and whom to ask.

    Attributes
    ----------
    table : MemberTable
        Who belongs to the fleet.
    own : MemberJoined
        Our own record.
    retired : bool
        Whether our incarnation was retired, or leaves.
    load_source : callable
        Gives the load that our heartbeats carry.
    seed_source : callable
        Gives more addresses than the settings' seeds, to learn the members
        from while the log is down.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: str,
        writer: LogWriter,
        tail: LogTail,
        peers: PeerLinks,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.writer = writer
        self.tail = tail
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.table = MemberTable()
        self.own = self._describe(incarnation)
        self.load_source: Callable[[], PeerLoad] = _no_load
        self.seed_source: Callable[[], Awaitable[list[str]]] = _no_seeds
        self.loads = PeerLoads(clock)
        self.watch = PeerWatch(
            peers, clock, rng, self.make_beat, self._take_answer, self._consider
        )
        self.retirement = Retirement(
            self.own, self.table, self.watch, writer, clock, rng
        )
        self.gossip = Gossip(
            peers, self.table, tail, clock, self._notice_own_retirement
        )
        self.acquaintance = Acquaintance(
            self.table, self._watched, self.watch.beat, clock
        )
        self._joined = asyncio.Event()
        self._retired_callbacks: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.retired = False
        peers.beat_received = self.receive_beat
        peers.members_offer = self.table.snapshot
        peers.reach_member = self._reach
        tail.follow(MEMBERS_STREAM, self._apply)

    @property
    def incarnation(self) -> str:
        """Our incarnation."""
        return self.own.incarnation

    async def start(self) -> None:
        """Join, and begin to watch the peers."""
        self.own = self.retirement.own = self._describe(self.incarnation)
        self._spawn(self._join())
        self._spawn(self.acquaintance.make(self._joined))
        self._spawn(self._tick())
        self._spawn(self._refresh())
        self._spawn(self.gossip.learn(self._addresses))

    async def stop(self) -> None:
        """Stop watching; the record of our leaving is `leave`'s."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.gossip.stop()
        await self.watch.stop()

    async def leave(self) -> None:
        """Retire our own incarnation, as far as the log can be reached."""
        self.retired = True
        record = MemberRetired(
            author=self.incarnation,
            time=self.clock.now(),
            incarnation=self.incarnation,
            reason="left",
        )
        try:
            await self.writer.append(MEMBERS_STREAM, record, _LEAVE_SECONDS)
        except LogError as error:
            log.warning("Leaving without a record: {}", error)

    def owner(self, program: str) -> MemberJoined | None:
        """Return the member that owns a program."""
        return owner_of(program, self.table)

    def is_self(self, member: MemberJoined) -> bool:
        """Return whether a member is this daemon, now."""
        return member.incarnation == self.incarnation

    def suspects(self) -> set[str]:
        """Return the incarnations that are silent now, retired or not."""
        silent = self.watch.detector.suspects()
        return {one.incarnation for one in self.table.live() if peer_key(one) in silent}

    def on_peer_load(self, callback: Callable[[PeerLoad], None]) -> None:
        """Call back with the load of each heartbeat that comes in."""
        self.loads.load_callbacks.append(callback)

    def on_peer_gone(self, callback: Callable[[str], None]) -> None:
        """Call back with the incarnation of a peer that is heard no more."""
        self.loads.gone_callbacks.append(callback)

    def on_retired(self, callback: Callable[[], None]) -> None:
        """Call back when others have retired us; only a new start joins again."""
        self._retired_callbacks.append(callback)

    def make_beat(self, receiver: str) -> Beat:
        """Return our heartbeat for a peer."""
        return Beat(
            load=evolve(self.load_source(), incarnation=self.incarnation),
            config_version=self.peers.config_version(),
            members_offset=self.table.offset,
            retired=self.table.is_retired(receiver),
        )

    def receive_beat(self, beat: Beat) -> Beat:
        """Take a peer's heartbeat and return ours."""
        sender = self.table.find(beat.load.incarnation)
        if sender is not None:
            self.watch.detector.heard(peer_key(sender), self.clock.monotonic())
            self.gossip.compare(sender, beat)
        self.loads.take(beat.load)
        return self.make_beat(beat.load.incarnation)

    def _take_answer(self, member: MemberJoined, beat: Beat) -> None:
        self.acquaintance.heard(member.incarnation, beat.members_offset)
        self.loads.take(beat.load)
        self.gossip.compare(member, beat)

    async def _reach(self, incarnation: str) -> bool:
        member = self.table.find(incarnation)
        if member is None:
            raise LookupError(f"{incarnation} is no member here.")
        return await self.watch.beat(member)

    async def _consider(self, member: MemberJoined) -> None:
        if not self.retired:
            await self.retirement.consider(member)

    def _apply(self, positioned: PositionedRecord) -> None:
        record = positioned.record
        if isinstance(record, MemberRetired):
            self._note_retirement(record)
        elif isinstance(record, MemberJoined):
            self.watch.detector.joined(peer_key(record), record.incarnation)
            if record.incarnation == self.incarnation:
                self._joined.set()
        elif isinstance(record, DomainChallenged):
            self._answer(record)
        self.table.apply(positioned)
        self._notice_own_retirement()

    def _note_retirement(self, record: MemberRetired) -> None:
        member = self.table.find(record.incarnation)
        if member is not None and record.reason == "silent":
            now = self.clock.monotonic()
            self.watch.detector.retired(peer_key(member), now)

    def _answer(self, challenge: DomainChallenged) -> None:
        if challenge.domain == self.own.domain and not self.retired:
            self._spawn(self._append_again())

    def _notice_own_retirement(self) -> None:
        if self.retired or not self.table.is_retired(self.incarnation):
            return
        self.retired = True
        log.warning("{} was retired.", self.incarnation)
        for callback in self._retired_callbacks:
            callback()

    async def _join(self) -> None:
        await self.tail.wait_until_caught_up(MEMBERS_STREAM)
        while not self.retired and self.table.find(self.incarnation) is None:
            await self._append(self.own)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REJOIN_SECONDS):
                    await self._joined.wait()

    async def _refresh(self) -> None:
        while True:
            jitter = self.rng.uniform(1 - _REFRESH_JITTER, 1 + _REFRESH_JITTER)
            await self.clock.sleep(_REFRESH_SECONDS * jitter)
            await self._append_again()

    async def _append_again(self) -> None:
        if self.table.find(self.incarnation) is not None:
            record = evolve(self.own, id=new_id(), time=self.clock.now())
            await self._append(record)

    async def _append(self, record: MemberJoined) -> None:
        try:
            await self.writer.append(MEMBERS_STREAM, record)
        except LogError as error:
            log.warning("Our join is not appended: {}", error)

    async def _tick(self) -> None:
        while True:
            watched = self._watched()
            self.watch.watch(watched)
            self.loads.sweep(self.table, heartbeat_interval(len(watched)))
            self.peers.keep({member.incarnation for member in self.table.live()})
            await self.clock.sleep(_TICK_SECONDS)

    def _watched(self) -> list[MemberJoined]:
        return watched_peers(self.own, self.table)

    async def _addresses(self) -> list[str]:
        try:
            return [*self.settings.seeds, *await self.seed_source()]
        except Exception as error:
            log.info("No further seeds: {!r}", error)
            return self.settings.seeds

    def _describe(self, incarnation: str) -> MemberJoined:
        return MemberJoined(
            author=incarnation,
            time=self.clock.now(),
            incarnation=incarnation,
            name=self.settings.name,
            domain=self.settings.domain,
            peer_address=self.peers.address,
            http_address=self.settings.http_address,
        )

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _no_load() -> PeerLoad:
    return PeerLoad(incarnation="", in_flight={})


async def _no_seeds() -> list[str]:
    return []
