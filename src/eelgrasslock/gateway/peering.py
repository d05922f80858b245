"""What a daemon that serves routes asks of the other daemons."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.allowances.offline import (
    OfflineAnswers,
    OfflineWord,
    may_spend_offline,
    missing_members,
)
from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable, PeerUnavailable
from eelgrasslock.log.keyed import KeyedLog
from eelgrasslock.log.partitioned import PartitionedLog
from eelgrasslock.peers import daemon_registry
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.fallback_log import FallbackLog
from eelgrasslock.peers.load_exchange import LoadExchange, LoadScheduler
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.rate import TokenBucket

SILENT_SECONDS = 3.0
SPLIT_SECONDS = 0.3
OVER_SECONDS = 2.0
# A turn without the log asks all daemons in reach. Ten daemons ask far less than
# this; 82 of them would spend their machines on asking.
OFFLINE_ASKS_PER_SECOND = 150.0

_log = logger.bind(part="peers")


class PeeringLog(KeyedLog, PartitionedLog, Protocol):
    """The log in which daemons register, and which they call for each other."""


class Peering:
    """The other daemons: who they are, how loaded, and what they hold.

    Parameters
    ----------
    entry : DaemonEntry
        This daemon.
    log : PeeringLog
        The own way to the log.
    scheduler : LoadScheduler
        Exchanges loads.
    clock : Clock
        The time.
    rng : random.Random
        Chooses among peers and spreads retries.

    Attributes
    ----------
    roster, mesh, loads : Roster, PeerMesh, LoadExchange
        The registered daemons, the connections to them, and their loads.
    log : FallbackLog
        The log, through a peer if need be.
    asked_at : float
        When a peer first asked about turns without the log, on the monotonic
        clock.
    log_answered_at : callable
        When the log last answered this daemon, on the monotonic clock.
    log_trouble_at : callable
        Since when the log is away, or was until a moment ago; else infinite.
    """

    def __init__(
        self,
        entry: DaemonEntry,
        log: PeeringLog,
        scheduler: LoadScheduler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.log_answered_at: Callable[[], float] = clock.monotonic
        self.log_trouble_at: Callable[[], float] = lambda: float("inf")
        self.allowances: Allowances | None = None
        self.asked_at = float("inf")
        self.entry = entry
        self.own_log = log
        self.clock = clock
        self.rng = rng
        self.offline_asks = TokenBucket(
            clock, OFFLINE_ASKS_PER_SECOND, OFFLINE_ASKS_PER_SECOND
        )
        self.daemon_registry = DaemonRegistry(entry, rng)
        self.mesh = PeerMesh(entry.address, entry.incarnation, clock)
        self.loads = LoadExchange(self.mesh, self.daemon_registry, scheduler, clock)
        self.log = FallbackLog(log, self.mesh, self.daemon_registry, clock)

    def serve(self, allowances: Allowances) -> None:
        """Answer the peers' calls from these allowances and the own log."""
        self.allowances = allowances
        callbacks = self.mesh.callbacks
        callbacks.log = self.log.direct_log()
        callbacks.release_allowance = allowances.release
        callbacks.offline_word = self._offline_word

    async def register(self) -> None:
        """Register in the log until it takes the entry."""
        backoff = Backoff(self.rng)
        while True:
            try:
                await self.own_log.put(
                    daemon_registry.TOPIC, self.entry.name, self.entry.encode()
                )
            except LogUnavailable as error:
                _log.info("Not registered yet: {}", error)
                await self.clock.sleep(backoff.next())
            else:
                return

    async def deregister(self) -> None:
        """Remove the entry, before the daemon ends.

        Raises
        ------
        LogUnavailable
            If the log gave no answer.
        """
        await self.own_log.put(daemon_registry.TOPIC, self.entry.name, b"")

    async def ask_holder(self, holder: str, program: str) -> int:
        """Ask another daemon to give up what it has not spent on a program.

        Raises
        ------
        PeerUnavailable
            If it is gone or gave no answer.
        """
        entry = self.daemon_registry.find(holder)
        if entry is None:
            raise PeerUnavailable(f"{holder} is gone.")

        async def ask(peer: Any) -> int:
            return (await peer.release(program=program)).tokens

        return await self.mesh.call(entry, ask)

    async def ask_offline(self, program: str) -> OfflineAnswers | None:
        """Ask all daemons in reach what they spent on a program without the log.

        Returns
        -------
        OfflineAnswers or None
            None if the daemons in reach may not decide, or if too many were
            asked lately.
        """
        everyone = list(self.daemon_registry.entries.values())
        entries = self._living(everyone)
        log = _log.bind(program=program)
        if not self.offline_asks.take_now(len(entries)):
            log.info(
                "{} daemons are not asked what they spent: {} questions a second"
                " are the most.",
                len(entries),
                OFFLINE_ASKS_PER_SECOND,
            )
            return None
        answers = await asyncio.gather(
            *(self._ask_offline(entry, program) for entry in entries)
        )
        words = [word for word in answers if word is not None]
        answered = [word.domain for word in words]
        # A domain that fell silent as a whole may be cut off, and decide as well.
        domains = [entry.domain for entry in everyone]
        if not may_spend_offline(self.entry.domain, domains, answered):
            log.info(
                "{} of {} daemons answered, of the domains {}; other domains may"
                " spend as well.",
                len(answered),
                len(everyone),
                sorted(set(answered)),
            )
            return None
        if self._was_split(everyone, answered):
            log.info(
                "Other domains went after the log was lost, {:.1f} s ago; they may"
                " have spent before.",
                self.clock.monotonic() - self._trouble_at(),
            )
            return None
        living = [entry.domain for entry in entries]
        return OfflineAnswers(words=words, missing=missing_members(living, answered))

    async def _ask_offline(
        self, entry: DaemonEntry, program: str
    ) -> OfflineWord | None:
        async def call(peer: Any) -> Any:
            return await peer.offline(program=program)

        try:
            answer = await self.mesh.call(entry, call)
        except PeerUnavailable:
            # It counts as missing, which the decision's line tells.
            return None
        return OfflineWord(domain=entry.domain, spent=answer.spent, drawn=answer.drawn)

    def _was_split(self, entries: list[DaemonEntry], answered: list[str]) -> bool:
        """Return whether other domains went only after the log had been lost.

        All domains together may have decided in between, and nobody in reach
        knows what the others spent then.
        """
        own = self.entry.domain
        far = [entry for entry in entries if entry.domain != own]
        if not far or any(domain != own for domain in answered):
            return False
        heard = max(self.loads.last_contact.get(one.incarnation, 0.0) for one in far)
        return heard > self._trouble_at() + SPLIT_SECONDS

    def _trouble_at(self) -> float:
        """Return the first sign that the log is lost, on the monotonic clock.

        A sign is a call of ours that failed, or a peer's question about turns
        without the log; one that the log answered after is over, but for an
        outage that has just ended: a draw may still fail while other calls
        are answered again, and the domains that decided are not yet in reach.
        """
        oldest = self.log_answered_at() - OVER_SECONDS
        signs = [self.log.lost_at, self.asked_at, self.clock.monotonic()]
        first = min(sign for sign in signs if sign >= oldest)
        return min(first, self.log_trouble_at())

    def _offline_word(self, program: str) -> tuple[int, int]:
        """Answer a peer that has lost the log."""
        now = self.clock.monotonic()
        if self.asked_at < self.log_answered_at() - OVER_SECONDS:
            self.asked_at = now
        self.asked_at = min(self.asked_at, now)
        assert self.allowances is not None
        return self.allowances.offline_word(program)

    def _living(self, entries: list[DaemonEntry]) -> list[DaemonEntry]:
        """Return the daemons that may have served since the log was lost.

        It was lost after its last answer, which may be long before this daemon
        needed it again.
        """
        silence = max(SILENT_SECONDS, 2 * self.loads.interval())
        since = min(self.log.lost_at, self.log_answered_at()) - silence
        return [one for one in entries if self.loads.may_have_served(one, since)]
