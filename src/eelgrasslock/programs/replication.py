"""Records that the log has not taken yet, kept in order and at peers."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable
from typing import Any, Protocol

import xxhash
from attrs import define, field
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.log.records import MemberJoined, Record, journal_stream
from eelgrasslock.programs.journal import Journal

MAX_UNJOURNALED_PER_PROGRAM = 32
MAX_UNJOURNALED_TOTAL = 2_000
_REPLICA_COUNT = 2
_PEER_CALL_TIMEOUT_SECONDS = 0.5
_MAX_PEER_RECORDS = 4_000

log = logger.bind(part="held")


class ReplicaPeers(Protocol):
    """Links to peers that hold records for each other; see `peers.PeerTransport`."""

    async def hold(
        self, member: MemberJoined, stream: str, records: list[Record]
    ) -> None:
        """Ask a peer to hold records that the log has not taken."""

    async def held(self, member: MemberJoined, stream: str) -> list[Record]:
        """Return the records that a peer holds."""


@define
class UnjournaledRecords:
    """A program's records, by this daemon, that are not judged yet.

    Attributes
    ----------
    records : list of Record
        In the order in which they are appended.
    """

    records: list[Record] = field(factory=list)

    def add(self, record: Record) -> None:
        """Keep a record until the journal has judged it."""
        self.records.append(record)

    def drop_applied(self, journal: Journal) -> None:
        """Forget the records that the journal has judged."""
        self.records = [
            record for record in self.records if journal.apply_result(record.id) is None
        ]

    @property
    def full(self) -> bool:
        """Whether no more may be kept."""
        return len(self.records) >= MAX_UNJOURNALED_PER_PROGRAM


class PeerRecords:
    """Records that this daemon holds for its peers, until they are journaled."""

    def __init__(self) -> None:
        self._streams: dict[str, OrderedDict[str, Record]] = {}

    def add(self, stream: str, records: list[Record]) -> None:
        """Keep records, the oldest dropped when there are too many."""
        peer_records = self._streams.setdefault(stream, OrderedDict())
        for record in records:
            peer_records.setdefault(record.id, record)
        while len(peer_records) > _MAX_PEER_RECORDS:
            peer_records.popitem(last=False)

    def records(self, stream: str) -> list[Record]:
        """Return the records held, in their order."""
        return list(self._streams.get(stream, {}).values())

    def drop_applied(self, stream: str, journal: Journal) -> None:
        """Forget the records that the journal has judged."""
        peer_records = self._streams.get(stream, OrderedDict())
        for record_id in list(peer_records):
            if journal.apply_result(record_id) is not None:
                del peer_records[record_id]


class RecordReplicator:
    """Copies of unjournaled records at peers of the domain.

    Parameters
    ----------
    domain : str
        The failure domain.
    membership : object
        Tells the live members; see `membership.Membership`.
    peers : ReplicaPeers
        The links to them.
    clock : Clock
        The source of time.
    """

    def __init__(
        self, domain: str, membership: Any, peers: ReplicaPeers, clock: Clock
    ) -> None:
        self.domain = domain
        self.stream = journal_stream(domain)
        self.membership = membership
        self.peers = peers
        self.clock = clock

    async def replicate(self, program: str, records: list[Record]) -> int:
        """Copy a program's records to some peers; return how many took them."""
        targets = self._other_members()
        silent = self.membership.suspects()

        def preference(member: MemberJoined) -> tuple[bool, int]:
            rank = xxhash.xxh64_intdigest((program + member.incarnation).encode())
            return member.incarnation in silent, rank

        chosen = sorted(targets, key=preference)[:_REPLICA_COUNT]
        tries = [self._send_copies(member, records) for member in chosen]
        return sum(await asyncio.gather(*tries))

    async def collect(self) -> list[Record]:
        """Return what all peers of the domain that answer hold."""
        answers = await asyncio.gather(
            *(self._fetch_copies(member) for member in self._other_members())
        )
        found: dict[str, Record] = {}
        for records in answers:
            for record in records:
                found.setdefault(record.id, record)
        return list(found.values())

    def _other_members(self) -> list[MemberJoined]:
        members = self.membership.table.live(self.domain)
        return [one for one in members if not self.membership.is_self(one)]

    async def _send_copies(self, member: MemberJoined, records: list[Record]) -> bool:
        call = self.peers.hold(member, self.stream, records)
        return await self._call_peer(member, call) is not _FAILED

    async def _fetch_copies(self, member: MemberJoined) -> list[Record]:
        answer = await self._call_peer(member, self.peers.held(member, self.stream))
        return [] if answer is _FAILED else answer

    async def _call_peer(self, member: MemberJoined, call: Awaitable[Any]) -> Any:
        task = asyncio.ensure_future(call)
        if not await done_within(self.clock, task, _PEER_CALL_TIMEOUT_SECONDS):
            task.cancel()
            return _FAILED
        try:
            return task.result()
        except PeerUnavailable as error:
            log.warning("Peer {} holds nothing: {}", member.name, error)
            return _FAILED


_FAILED = object()


async def done_within(clock: Clock, task: asyncio.Future[Any], seconds: float) -> bool:
    """Wait for a task up to a time and return whether it is done.

    The task goes on when the time has passed or the waiter is cancelled.
    """
    if task.done() or seconds <= 0:
        return task.done()
    timer = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
    return task.done()
