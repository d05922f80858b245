"""Retires silent members, after a second peer has confirmed it."""

import asyncio
import enum
import random

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogError, PeerUnavailable
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.records import (
    MEMBERS_STREAM,
    DomainChallenged,
    MemberJoined,
    MemberRetired,
)
from eelgrasslock.peers.members import MemberTable
from eelgrasslock.peers.peer_watch import PeerWatch, peer_key

_ASKED_PEERS = 3
_APPEND_SECONDS = 5.0
_PAIR_PATIENCE = 3.0
_ALONE_PATIENCE = 10.0
_FOREIGN_PATIENCE = 10.0
_ANSWER_SECONDS = 5.0

log = logger.bind(part="members")


class _Verdict(enum.Enum):
    ANSWERS = enum.auto()
    SILENT = enum.auto()
    NOBODY_TO_ASK = enum.auto()


class Retirement:
    """Decides on the retirement of peers that do not answer.

    Nothing unsafe follows from a wrong retirement, only a takeover; so it may
    come soon. Who reaches nobody is likelier cut off itself, and waits longer.
    A member of another domain is retired only if its whole domain is silent,
    since else its own domain sees to it, and only if none of that domain
    answers a challenge in the log: a domain that is merely cut off from others
    goes on serving its callers.

    Parameters
    ----------
    own : MemberJoined
        This daemon.
    table : MemberTable
        The members.
    watch : PeerWatch
        Gives the detector and the connections.
    writer : LogWriter
        Takes the records.
    clock : Clock
        The source of time.
    rng : random.Random
        Chooses whom to ask.
    """

    def __init__(
        self,
        own: MemberJoined,
        table: MemberTable,
        watch: PeerWatch,
        writer: LogWriter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.table = table
        self.watch = watch
        self.writer = writer
        self.clock = clock
        self.rng = rng

    async def consider(self, member: MemberJoined) -> None:
        """Retire a peer if it has been silent long enough and is confirmed so."""
        if self._is_replaced(member):
            await self.retire([member], "replaced")
            return
        foreign = member.domain != self.own.domain
        patience = _FOREIGN_PATIENCE if foreign else 1.0
        if not self._is_silent(member, patience):
            return
        verdict = await self._ask_others(member)
        if verdict is _Verdict.ANSWERS:
            self.watch.detector.heard(peer_key(member), self.clock.monotonic())
            return
        if verdict is _Verdict.NOBODY_TO_ASK:
            patience = max(patience, self._lone_patience())
            if not self._is_silent(member, patience):
                return
        if not foreign:
            await self.retire([member], "silent")
        elif await self._whole_domain_is_silent(member):
            await self._retire_unless_it_answers(member.domain)

    async def retire(self, members: list[MemberJoined], reason: str) -> None:
        """Append retirements, as far as the log takes them now."""
        log.warning("Retiring {}: {}.", [one.name for one in members], reason)
        appends = [self._append(member, reason) for member in members]
        await asyncio.gather(*appends)

    def _is_replaced(self, member: MemberJoined) -> bool:
        health = self.watch.detector.peers.get(peer_key(member))
        return health is not None and health.replaced

    def _is_silent(self, member: MemberJoined, patience: float) -> bool:
        now = self.clock.monotonic()
        return self.watch.detector.is_silent(peer_key(member), now, patience)

    def _lone_patience(self) -> float:
        pair = len(self.table.live(self.own.domain)) <= 2
        return _PAIR_PATIENCE if pair else _ALONE_PATIENCE

    async def _ask_others(self, member: MemberJoined) -> _Verdict:
        for other in self._others(member):
            try:
                reached = await self.watch.peers.reach(other, member.incarnation)
            except PeerUnavailable:
                continue
            return _Verdict.ANSWERS if reached else _Verdict.SILENT
        return _Verdict.NOBODY_TO_ASK

    def _others(self, member: MemberJoined) -> list[MemberJoined]:
        """Return whom to ask, those of the member's own domain first."""
        others = [
            one
            for one in self.table.live()
            if one.incarnation not in (self.own.incarnation, member.incarnation)
            and not self.watch.detector.is_suspect(peer_key(one))
        ]
        self.rng.shuffle(others)
        others.sort(key=lambda one: one.domain != member.domain)
        return others[:_ASKED_PEERS]

    async def _whole_domain_is_silent(self, member: MemberJoined) -> bool:
        domain = self.table.live(member.domain)
        answers = await asyncio.gather(*(self.watch.beat(one) for one in domain))
        return not any(answers)

    async def _retire_unless_it_answers(self, domain: str) -> None:
        challenge = DomainChallenged(
            author=self.own.incarnation, time=self.clock.now(), domain=domain
        )
        try:
            offset = await self.writer.append(
                MEMBERS_STREAM, challenge, _APPEND_SECONDS
            )
        except LogError as error:
            log.warning("{} can't be challenged: {}", domain, error)
            return
        await self.clock.sleep(_ANSWER_SECONDS)
        members = self.table.live(domain)
        if any(self._refreshed_after(one, offset) for one in members):
            self._note_life(members)
        else:
            await self.retire(members, "silent")

    def _refreshed_after(self, member: MemberJoined, offset: int) -> bool:
        return self.table.refreshed.get(member.incarnation, -1) > offset

    def _note_life(self, members: list[MemberJoined]) -> None:
        now = self.clock.monotonic()
        for member in members:
            self.watch.detector.heard(peer_key(member), now)

    async def _append(self, member: MemberJoined, reason: str) -> None:
        record = MemberRetired(
            author=self.own.incarnation,
            time=self.clock.now(),
            incarnation=member.incarnation,
            reason=reason,
        )
        try:
            await self.writer.append(MEMBERS_STREAM, record, _APPEND_SECONDS)
        except LogError as error:
            log.warning("{} is not retired yet: {}", member.name, error)
