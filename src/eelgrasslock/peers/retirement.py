"""Retirement of silent members, confirmed by a second peer."""

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
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.peers.peer_monitor import PeerMonitor, peer_key

_MAX_PROBERS = 3
_APPEND_TIMEOUT_SECONDS = 5.0
_PAIR_GRACE_FACTOR = 3.0
_UNCONFIRMED_GRACE_FACTOR = 10.0
_OTHER_DOMAIN_GRACE_FACTOR = 10.0
_CHALLENGE_SECONDS = 5.0

log = logger.bind(part="members")


class _ProbeResult(enum.Enum):
    ALIVE = enum.auto()
    UNREACHABLE = enum.auto()
    NO_PROBER = enum.auto()


class Retirement:
    """Decides whether to retire peers that do not answer.

    A wrong retirement is safe: it only causes a takeover. So retirement may
    come soon. A daemon that reaches no other peer is probably cut off itself,
    and waits longer. A member of another domain is retired only if its whole
    domain is silent, because otherwise its own domain retires it, and only if
    no member of that domain answers a challenge in the log: a domain that is
    merely cut off from the others continues to serve its callers.

    Parameters
    ----------
    own_record : MemberJoined
        The join record of this daemon.
    table : MemberTable
        The members.
    monitor : PeerMonitor
        Holds the failure detector and the connections.
    writer : LogWriter
        Appends the records.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the peers to ask.
    """

    def __init__(
        self,
        own_record: MemberJoined,
        table: MemberTable,
        monitor: PeerMonitor,
        writer: LogWriter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.own_record = own_record
        self.table = table
        self.monitor = monitor
        self.writer = writer
        self.clock = clock
        self.rng = rng

    async def retire_if_silent(self, member: MemberJoined) -> None:
        """Retire a peer that has been silent long enough, if that is confirmed."""
        if self._is_replaced(member):
            await self.retire([member], "replaced")
            return
        in_other_domain = member.domain != self.own_record.domain
        grace_factor = _OTHER_DOMAIN_GRACE_FACTOR if in_other_domain else 1.0
        if not self._may_be_retired(member, grace_factor):
            return
        result = await self._probe_through_others(member)
        if result is _ProbeResult.ALIVE:
            self.monitor.detector.record_contact(
                peer_key(member), self.clock.monotonic()
            )
            return
        if result is _ProbeResult.NO_PROBER:
            grace_factor = max(grace_factor, self._unconfirmed_grace_factor())
            if not self._may_be_retired(member, grace_factor):
                return
        if not in_other_domain:
            await self.retire([member], "silent")
        elif await self._is_domain_silent(member):
            await self._challenge_domain(member.domain)

    async def retire(self, members: list[MemberJoined], reason: str) -> None:
        """Append retirements; those that the log does not store are only logged."""
        log.warning(
            "Retiring members {}, reason: {}.", [one.name for one in members], reason
        )
        appends = [self._append(member, reason) for member in members]
        await asyncio.gather(*appends)

    def _is_replaced(self, member: MemberJoined) -> bool:
        health = self.monitor.detector.peers.get(peer_key(member))
        return health is not None and health.replaced

    def _may_be_retired(self, member: MemberJoined, grace_factor: float) -> bool:
        now = self.clock.monotonic()
        return self.monitor.detector.may_be_retired(peer_key(member), now, grace_factor)

    def _unconfirmed_grace_factor(self) -> float:
        pair = len(self.table.live(self.own_record.domain)) <= 2
        return _PAIR_GRACE_FACTOR if pair else _UNCONFIRMED_GRACE_FACTOR

    async def _probe_through_others(self, member: MemberJoined) -> _ProbeResult:
        for other in self._probers(member):
            try:
                reached = await self.monitor.peers.probe_through(
                    other, member.incarnation
                )
            except PeerUnavailable:
                continue
            return _ProbeResult.ALIVE if reached else _ProbeResult.UNREACHABLE
        return _ProbeResult.NO_PROBER

    def _probers(self, member: MemberJoined) -> list[MemberJoined]:
        """Return the peers to ask, those of the member's own domain first."""
        others = [
            one
            for one in self.table.live()
            if one.incarnation not in (self.own_record.incarnation, member.incarnation)
            and not self.monitor.detector.is_suspect(peer_key(one))
        ]
        self.rng.shuffle(others)
        others.sort(key=lambda one: one.domain != member.domain)
        return others[:_MAX_PROBERS]

    async def _is_domain_silent(self, member: MemberJoined) -> bool:
        domain = self.table.live(member.domain)
        answers = await asyncio.gather(
            *(self.monitor.send_heartbeat(one) for one in domain)
        )
        return not any(answers)

    async def _challenge_domain(self, domain: str) -> None:
        challenge = DomainChallenged(
            author=self.own_record.incarnation, time=self.clock.now(), domain=domain
        )
        try:
            offset = await self.writer.append(
                MEMBERS_STREAM, challenge, _APPEND_TIMEOUT_SECONDS
            )
        except LogError as error:
            log.warning(
                "The challenge to domain {} was not appended: {}", domain, error
            )
            return
        await self.clock.sleep(_CHALLENGE_SECONDS)
        members = self.table.live(domain)
        if any(self._refreshed_after(one, offset) for one in members):
            self._record_contact(members)
        else:
            await self.retire(members, "silent")

    def _refreshed_after(self, member: MemberJoined, offset: int) -> bool:
        return self.table.join_offsets.get(member.incarnation, -1) > offset

    def _record_contact(self, members: list[MemberJoined]) -> None:
        now = self.clock.monotonic()
        for member in members:
            self.monitor.detector.record_contact(peer_key(member), now)

    async def _append(self, member: MemberJoined, reason: str) -> None:
        record = MemberRetired(
            author=self.own_record.incarnation,
            time=self.clock.now(),
            incarnation=member.incarnation,
            reason=reason,
        )
        try:
            await self.writer.append(MEMBERS_STREAM, record, _APPEND_TIMEOUT_SECONDS)
        except LogError as error:
            log.warning("The retirement of {} was not appended: {}", member.name, error)
