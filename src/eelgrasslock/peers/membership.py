"""Membership of this daemon in the fleet: join, heartbeats, retirement, leave."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from attrs import evolve
from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
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
from eelgrasslock.peers.gossip import Gossip
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.heartbeat_topology import heartbeat_interval, heartbeat_targets
from eelgrasslock.peers.join_barrier import JoinBarrier
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.peers.peer_load_tracker import PeerLoadTracker
from eelgrasslock.peers.peer_monitor import PeerMonitor, peer_key
from eelgrasslock.peers.peer_transport import PeerTransport
from eelgrasslock.peers.retirement import Retirement
from eelgrasslock.programs.ownership import owner_of
from eelgrasslock.scheduling.calls import PeerLoad

_TICK_SECONDS = 0.5
_REJOIN_SECONDS = 5.0
_REFRESH_SECONDS = 600.0
_REFRESH_JITTER = 0.25
_LEAVE_TIMEOUT_SECONDS = 5.0

log = logger.bind(part="members")


class Membership:
    """Keeps this daemon a member of the fleet and tracks the other members.

    Parameters
    ----------
    settings : DaemonSettings
        The daemon's name, domain, addresses and seeds.
    incarnation : str
        This daemon's incarnation.
    writer : LogWriter
        Appends this daemon's records.
    tail : LogTail
        Reads the `members` stream.
    peers : PeerTransport
        The connections to peers; started before this controller.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws jitter and the peers to ask.

    Attributes
    ----------
    table : MemberTable
        The members of the fleet.
    own_record : MemberJoined
        The join record of this daemon.
    retired : bool
        Whether this daemon's incarnation was retired, or is leaving.
    load_source : callable
        Returns the load report that heartbeats carry.
    seed_source : callable
        Returns addresses, besides the settings' seeds, to pull the member table
        from while the log is down.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: str,
        writer: LogWriter,
        tail: LogTail,
        peers: PeerTransport,
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
        self.own_record = self._make_join_record(incarnation)
        self.load_source: Callable[[], PeerLoad] = _no_load
        self.seed_source: Callable[[], Awaitable[list[str]]] = _no_seeds
        self.loads = PeerLoadTracker(clock)
        self.monitor = PeerMonitor(
            peers,
            clock,
            rng,
            self.make_heartbeat,
            self._handle_answer,
            self._handle_miss,
        )
        self.retirement = Retirement(
            self.own_record, self.table, self.monitor, writer, clock, rng
        )
        self.gossip = Gossip(peers, self.table, tail, clock, self._check_own_retirement)
        self.join_barrier = JoinBarrier(
            self.table, self._heartbeat_targets, self.monitor.send_heartbeat, clock
        )
        self._joined = asyncio.Event()
        self._retired_callbacks: list[Callable[[], None]] = []
        self.tasks = BackgroundTasks()
        self.retired = False
        peers.answer_heartbeat = self.answer_heartbeat
        peers.encode_members = self.table.snapshot
        peers.probe_member = self._probe
        tail.follow(MEMBERS_STREAM, self._apply)

    @property
    def incarnation(self) -> str:
        """The incarnation of this daemon."""
        return self.own_record.incarnation

    async def start(self) -> None:
        """Join, and start to send heartbeats."""
        self.own_record = self.retirement.own_record = self._make_join_record(
            self.incarnation
        )
        self.tasks.start(self._join())
        self.tasks.start(self.join_barrier.wait(self._joined))
        self.tasks.start(self._tick())
        self.tasks.start(self._refresh())
        self.tasks.start(self.gossip.pull_from_seeds(self._seed_addresses))

    async def stop(self) -> None:
        """Stop all tasks; `leave` appends the record of leaving."""
        await self.tasks.stop()
        await self.gossip.stop()
        await self.monitor.stop()

    async def leave(self) -> None:
        """Append this daemon's own retirement, if the log can be reached."""
        self.retired = True
        record = MemberRetired(
            author=self.incarnation,
            time=self.clock.now(),
            incarnation=self.incarnation,
            reason="left",
        )
        try:
            await self.writer.append(MEMBERS_STREAM, record, _LEAVE_TIMEOUT_SECONDS)
        except LogError as error:
            log.warning("Leaving the fleet without a retirement record: {}", error)

    def owner(self, program: str) -> MemberJoined | None:
        """Return the member that owns a program."""
        return owner_of(program, self.table)

    def is_self(self, member: MemberJoined) -> bool:
        """Return whether a member is this daemon in its current incarnation."""
        return member.incarnation == self.incarnation

    def suspects(self) -> set[str]:
        """Return the live members that did not answer their last heartbeat."""
        silent = self.monitor.detector.suspects()
        return {one.incarnation for one in self.table.live() if peer_key(one) in silent}

    def on_peer_load(self, callback: Callable[[PeerLoad], None]) -> None:
        """Register a callback for the load report of each heartbeat."""
        self.loads.load_callbacks.append(callback)

    def on_peer_gone(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the incarnation of each peer that is gone."""
        self.loads.gone_callbacks.append(callback)

    def on_retired(self, callback: Callable[[], None]) -> None:
        """Register a callback for the retirement of this daemon by others.

        A retired daemon joins again only after a restart.
        """
        self._retired_callbacks.append(callback)

    def make_heartbeat(self, receiver: str) -> Heartbeat:
        """Return a heartbeat for a peer."""
        return Heartbeat(
            load=evolve(self.load_source(), incarnation=self.incarnation),
            config_version=self.peers.config_version(),
            members_offset=self.table.offset,
            retired=self.table.is_retired(receiver),
        )

    def answer_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Handle a peer's heartbeat and return the answer."""
        sender = self.table.find(heartbeat.load.incarnation)
        if sender is not None:
            self.monitor.detector.record_contact(
                peer_key(sender), self.clock.monotonic()
            )
            self.gossip.pull_if_newer(sender, heartbeat)
        self.loads.record(heartbeat.load)
        return self.make_heartbeat(heartbeat.load.incarnation)

    def _handle_answer(self, member: MemberJoined, heartbeat: Heartbeat) -> None:
        self.join_barrier.note_offset(member.incarnation, heartbeat.members_offset)
        self.loads.record(heartbeat.load)
        self.gossip.pull_if_newer(member, heartbeat)

    async def _probe(self, incarnation: str) -> bool:
        member = self.table.find(incarnation)
        if member is None:
            raise LookupError(f"{incarnation} is not in the member table.")
        return await self.monitor.send_heartbeat(member)

    async def _handle_miss(self, member: MemberJoined) -> None:
        if not self.retired:
            await self.retirement.retire_if_silent(member)

    def _apply(self, positioned: PositionedRecord) -> None:
        record = positioned.record
        if isinstance(record, MemberRetired):
            self._note_retirement(record)
        elif isinstance(record, MemberJoined):
            self.monitor.detector.record_join(peer_key(record), record.incarnation)
            if record.incarnation == self.incarnation:
                self._joined.set()
        elif isinstance(record, DomainChallenged):
            self._answer_challenge(record)
        self.table.apply(positioned)
        self._check_own_retirement()

    def _note_retirement(self, record: MemberRetired) -> None:
        member = self.table.find(record.incarnation)
        if member is not None and record.reason == "silent":
            now = self.clock.monotonic()
            self.monitor.detector.record_retirement(peer_key(member), now)

    def _answer_challenge(self, challenge: DomainChallenged) -> None:
        if challenge.domain == self.own_record.domain and not self.retired:
            self.tasks.start(self._append_refresh())

    def _check_own_retirement(self) -> None:
        if self.retired or not self.table.is_retired(self.incarnation):
            return
        self.retired = True
        log.warning("This daemon's incarnation {} was retired.", self.incarnation)
        for callback in self._retired_callbacks:
            callback()

    async def _join(self) -> None:
        await self.tail.wait_until_caught_up(MEMBERS_STREAM)
        while not self.retired and self.table.find(self.incarnation) is None:
            await self._append(self.own_record)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REJOIN_SECONDS):
                    await self._joined.wait()

    async def _refresh(self) -> None:
        while True:
            jitter = self.rng.uniform(1 - _REFRESH_JITTER, 1 + _REFRESH_JITTER)
            await self.clock.sleep(_REFRESH_SECONDS * jitter)
            await self._append_refresh()

    async def _append_refresh(self) -> None:
        if self.table.find(self.incarnation) is not None:
            record = evolve(self.own_record, id=new_id(), time=self.clock.now())
            await self._append(record)

    async def _append(self, record: MemberJoined) -> None:
        try:
            await self.writer.append(MEMBERS_STREAM, record)
        except LogError as error:
            log.warning("The join record was not appended: {}", error)

    async def _tick(self) -> None:
        while True:
            targets = self._heartbeat_targets()
            self.monitor.set_targets(targets)
            self.loads.drop_stale(self.table, heartbeat_interval(len(targets)))
            self.peers.drain_others(
                {member.incarnation for member in self.table.live()}
            )
            await self.clock.sleep(_TICK_SECONDS)

    def _heartbeat_targets(self) -> list[MemberJoined]:
        return heartbeat_targets(self.own_record, self.table)

    async def _seed_addresses(self) -> list[str]:
        try:
            return [*self.settings.seeds, *await self.seed_source()]
        except Exception as error:
            log.info("Could not list more seed addresses: {!r}", error)
            return self.settings.seeds

    def _make_join_record(self, incarnation: str) -> MemberJoined:
        return MemberJoined(
            author=incarnation,
            time=self.clock.now(),
            incarnation=incarnation,
            name=self.settings.name,
            domain=self.settings.domain,
            peer_address=self.peers.address,
            http_address=self.settings.http_address,
        )


def _no_load() -> PeerLoad:
    return PeerLoad(incarnation="", in_flight={})


async def _no_seeds() -> list[str]:
    return []
