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

HELD_PER_PROGRAM = 32
HELD_IN_TOTAL = 2_000
_PEER_COPIES = 2
_PEER_SECONDS = 0.5
_HOLDINGS_KEPT = 4_000

log = logger.bind(part="held")


class HoldingPeers(Protocol):
    """Links to peers that hold records for each other; see `peers.PeerTransport`."""

    async def hold(
        self, member: MemberJoined, stream: str, records: list[Record]
    ) -> None:
        """Ask a peer to hold records that the log has not taken."""

    async def held(self, member: MemberJoined, stream: str) -> list[Record]:
        """Return the records that a peer holds."""


@define
class HeldRecords:
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

    def drop_judged(self, journal: Journal) -> None:
        """Forget the records that the journal has judged."""
        self.records = [
            record for record in self.records if journal.verdict(record.id) is None
        ]

    @property
    def full(self) -> bool:
        """Whether no more may be kept."""
        return len(self.records) >= HELD_PER_PROGRAM


class PeerHoldings:
    """Records that this daemon holds for its peers, until they are journaled."""

    def __init__(self) -> None:
        self._streams: dict[str, OrderedDict[str, Record]] = {}

    def hold(self, stream: str, records: list[Record]) -> None:
        """Keep records, the oldest dropped when there are too many."""
        holdings = self._streams.setdefault(stream, OrderedDict())
        for record in records:
            holdings.setdefault(record.id, record)
        while len(holdings) > _HOLDINGS_KEPT:
            holdings.popitem(last=False)

    def held(self, stream: str) -> list[Record]:
        """Return the records held, in their order."""
        return list(self._streams.get(stream, {}).values())

    def drop_judged(self, stream: str, journal: Journal) -> None:
        """Forget the records that the journal has judged."""
        holdings = self._streams.get(stream, OrderedDict())
        for record_id in list(holdings):
            if journal.verdict(record_id) is not None:
                del holdings[record_id]


class Replicas:
    """Copies of unjournaled records at peers of the domain.

    Parameters
    ----------
    domain : str
        The failure domain.
    membership : object
        Tells the live members; see `membership.Membership`.
    peers : HoldingPeers
        The links to them.
    clock : Clock
        The source of time.
    """

    def __init__(
        self, domain: str, membership: Any, peers: HoldingPeers, clock: Clock
    ) -> None:
        self.domain = domain
        self.stream = journal_stream(domain)
        self.membership = membership
        self.peers = peers
        self.clock = clock

    async def spread(self, program: str, records: list[Record]) -> int:
        """Copy a program's records to some peers; return how many took them."""
        targets = self._targets()
        silent = self.membership.suspects()

        def preference(member: MemberJoined) -> tuple[bool, int]:
            rank = xxhash.xxh64_intdigest((program + member.incarnation).encode())
            return member.incarnation in silent, rank

        chosen = sorted(targets, key=preference)[:_PEER_COPIES]
        tries = [self._hold(member, records) for member in chosen]
        return sum(await asyncio.gather(*tries))

    async def gather(self) -> list[Record]:
        """Return what all peers of the domain that answer hold."""
        answers = await asyncio.gather(
            *(self._held(member) for member in self._targets())
        )
        found: dict[str, Record] = {}
        for records in answers:
            for record in records:
                found.setdefault(record.id, record)
        return list(found.values())

    def _targets(self) -> list[MemberJoined]:
        members = self.membership.table.live(self.domain)
        return [one for one in members if not self.membership.is_self(one)]

    async def _hold(self, member: MemberJoined, records: list[Record]) -> bool:
        call = self.peers.hold(member, self.stream, records)
        return await self._try(member, call) is not _FAILED

    async def _held(self, member: MemberJoined) -> list[Record]:
        answer = await self._try(member, self.peers.held(member, self.stream))
        return [] if answer is _FAILED else answer

    async def _try(self, member: MemberJoined, call: Awaitable[Any]) -> Any:
        task = asyncio.ensure_future(call)
        if not await done_within(self.clock, task, _PEER_SECONDS):
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
