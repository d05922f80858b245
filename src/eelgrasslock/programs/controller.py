"""The controller of agent programs: their creation, resumption and end."""

import asyncio
import contextlib
import hashlib
import hmac
import random
from collections.abc import Callable
from typing import Any

from attrs import evolve
from loguru import logger

from eelgrasslock.actions.action_guard import ActionGuard
from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import LimitSettings
from eelgrasslock.exceptions import Refusal
from eelgrasslock.log.log_availability import Writer
from eelgrasslock.periodic import run_periodically
from eelgrasslock.programs.budgets import ProgramBudgets
from eelgrasslock.programs.creation import CreatedProgram, ProgramCreator
from eelgrasslock.programs.journal import Journal
from eelgrasslock.programs.journal_records import ProgramEnded, ProgramLimits
from eelgrasslock.programs.limits import EndReason, expired_limit, program_ended_refusal
from eelgrasslock.programs.local_programs import LocalProgram, LocalPrograms
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.program_views import (
    ProgramExplanation,
    ResumedProgram,
    explain_program,
    resumed_program,
)
from eelgrasslock.programs.replication import (
    PeerRecords,
    RecordReplicator,
    ReplicaPeers,
)
from eelgrasslock.programs.snapshots import SnapshotWriter
from eelgrasslock.programs.takeover import Takeover

SHUTDOWN_WAIT_SECONDS = 2.0
_SWEEP_SECONDS = 5.0
_FORBIDDEN = 403

log = logger.bind(part="programs")


class ProgramController:
    """The programs of this daemon.

    Parameters
    ----------
    domain, incarnation : str
        The daemon's own.
    writer, tail : LogWriter, LogTail
        The log.
    membership : Membership
        Tells owners and peers.
    peers : ReplicaPeers
        Links to peers.
    clock : Clock
        The source of time.
    rng : random.Random
        Spreads periodic work.
    limits : callable
        Returns the limits in force.
    price : callable
        Returns the price of a model's token.
    actions : ActionGuard or None
        Arbitrates creation keys; without it they are refused.
    """

    def __init__(
        self,
        domain: str,
        incarnation: str,
        writer: Writer,
        tail: Any,
        membership: Any,
        peers: ReplicaPeers,
        clock: Clock,
        rng: random.Random,
        limits: Callable[[], LimitSettings],
        price: Callable[[str], float],
        actions: ActionGuard | None = None,
    ) -> None:
        self.tail = tail
        self.clock = clock
        self.limits = limits
        self.price = price
        self.peer_records = PeerRecords()
        replicator = RecordReplicator(domain, membership, peers, clock)
        self.local_programs = LocalPrograms(
            domain, incarnation, writer, tail, clock, replicator
        )
        self.takeover = Takeover(self.local_programs, membership, self.peer_records)
        self.budgets = ProgramBudgets(self.local_programs)
        self.creator = ProgramCreator(
            domain, self.local_programs, self.takeover, actions
        )
        self.snapshot_writer = SnapshotWriter(self.local_programs, self.takeover, rng)
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def journal(self) -> Journal:
        """The fold of the domain's journal."""
        return self.local_programs.journal

    async def start(self) -> None:
        """Follow the journal and start the periodic work."""
        stream = self.local_programs.stream
        self.tail.follow(stream, self.journal.apply)
        self.tail.on_gap(stream, self.journal.reset)
        sweeping = run_periodically(self.clock, lambda: _SWEEP_SECONDS, self._sweep)
        self._sweeper = asyncio.create_task(sweeping)

    async def stop(self) -> None:
        """Hand over what the log has not taken, and stop."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
            self._sweeper = None
        await self.local_programs.shut_down(SHUTDOWN_WAIT_SECONDS)

    async def create(
        self,
        creation_key: str = "",
        secret: str = "",
        limits: ProgramLimits | None = None,
        parent: str = "",
    ) -> CreatedProgram:
        """Create a program.

        Parameters
        ----------
        creation_key : str
            Makes a repeated creation answer the same; needs a secret of the
            caller's own.
        secret : str
            The program's secret; made here if empty.
        limits : ProgramLimits or None
            What it may use; None for the most the settings allow.
        parent : str
            The program whose sub-agent it is; this daemon must own it.

        Raises
        ------
        Refusal
            If it can't be created.
        """
        max_limits = self.limits().program
        created = await self.creator.create(
            creation_key, secret, limits, parent, max_limits
        )
        state = self.local_programs.state(created.program)
        if state is None:
            return created
        return evolve(created, turn=state.turn, digest=state.digest)

    async def authorize(self, program: str, secret: str) -> Program:
        """Return a program's state if the secret is its own.

        Raises
        ------
        Refusal
            ``unknown_program`` or ``wrong_secret``.
        """
        state = await self.takeover.find(program)
        digest = secret_digest(secret)
        if not hmac.compare_digest(digest, state.secret_digest):
            log.warning("A wrong secret for {} was refused.", program)
            raise Refusal(
                "wrong_secret", "This is not the program's secret.", _FORBIDDEN
            )
        return state

    async def acquire(self, program: str) -> LocalProgram:
        """Return a program that this daemon holds, claiming it if need be."""
        return await self.takeover.acquire(program)

    async def end(self, program: str, reason: str) -> None:
        """End a program; once it has ended, nothing happens."""
        local_program = await self.acquire(program)
        state = self.local_programs.state(program)
        if state is None or state.ended:
            return
        unused = self.budgets.available(local_program)
        record = ProgramEnded(
            author=self.local_programs.incarnation,
            time=self.clock.now(),
            program=program,
            reason=reason,
            returned_tokens=unused.tokens,
            returned_money=unused.money,
        )
        await self.local_programs.append_record(local_program, record)

    async def resume(self, program: str) -> ResumedProgram:
        """Return the history and the next turn of a program."""
        await self.acquire(program)
        state = await self.takeover.find(program)
        if state.ended:
            raise program_ended_refusal(state.ended)
        return resumed_program(state)

    def explain(self, program: str) -> ProgramExplanation:
        """Return what happened to a program.

        Raises
        ------
        Refusal
            ``unknown_program`` if it is not known here.
        """
        state = self.local_programs.state(program)
        if state is None:
            raise Refusal("unknown_program", "No such program.", 404)
        return explain_program(state, self.local_programs.local_program(program))

    def unjournaled_count(self) -> int:
        """Return how many records of programs wait for the log."""
        return self.local_programs.unjournaled_count()

    async def end_expired(self) -> None:
        """End the programs held here that are too old or idle for too long."""
        now = self.clock.now()
        for program in list(self.journal.programs.values()):
            reason = expired_limit(program, now)
            if reason is not None and self.takeover.is_responsible(program):
                await self._try_to_end(program.id, reason)

    async def _try_to_end(self, program: str, reason: EndReason) -> None:
        try:
            await self.end(program, reason.value)
        except Refusal as refusal:
            log.info("Program {} is not ended yet: {}", program, refusal.code)

    async def _sweep(self) -> None:
        await self.end_expired()
        await self.snapshot_writer.write_due()
        self.peer_records.drop_applied(self.local_programs.stream, self.journal)
        self._evict_idle()

    def _evict_idle(self) -> None:
        for program in self.local_programs.ids():
            state = self.local_programs.state(program)
            if state is None or state.ended or not self.takeover.is_responsible(state):
                self.local_programs.evict(program)


def secret_digest(secret: str) -> str:
    """Return what the journal keeps of a program's secret."""
    return hashlib.sha256(secret.encode()).hexdigest()
