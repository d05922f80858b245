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

from eelgrasslock.actions.guard import Actions
from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import LimitSettings
from eelgrasslock.exceptions import Refusal
from eelgrasslock.log.log_availability import Writer
from eelgrasslock.periodic import run_periodically
from eelgrasslock.programs.budgets import Budgets
from eelgrasslock.programs.creation import CreatedProgram, Creation
from eelgrasslock.programs.held import HoldingPeers, PeerHoldings, Replicas
from eelgrasslock.programs.journal import Journal
from eelgrasslock.programs.journal_records import Limits, ProgramEnded
from eelgrasslock.programs.limits import EndReason, ended_refusal, expired
from eelgrasslock.programs.live_programs import LiveProgram, LivePrograms
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.program_views import (
    ExplainedProgram,
    ResumedProgram,
    explained_program,
    resumed_program,
)
from eelgrasslock.programs.snapshots import Snapshots
from eelgrasslock.programs.takeover import Takeover

HAND_OVER_SECONDS = 2.0
_SWEEP_SECONDS = 5.0
_FORBIDDEN = 403

log = logger.bind(part="programs")


class Programs:
    """The programs of this daemon.

    Parameters
    ----------
    domain, incarnation : str
        The daemon's own.
    writer, tail : LogWriter, LogTail
        The log.
    membership : Membership
        Tells owners and peers.
    peers : HoldingPeers
        Links to peers.
    clock : Clock
        The source of time.
    rng : random.Random
        Spreads periodic work.
    limits : callable
        Returns the limits in force.
    price : callable
        Returns the price of a model's token.
    actions : Actions or None
        Arbitrates creation keys; without it they are refused.
    """

    def __init__(
        self,
        domain: str,
        incarnation: str,
        writer: Writer,
        tail: Any,
        membership: Any,
        peers: HoldingPeers,
        clock: Clock,
        rng: random.Random,
        limits: Callable[[], LimitSettings],
        price: Callable[[str], float],
        actions: Actions | None = None,
    ) -> None:
        self.tail = tail
        self.clock = clock
        self.limits = limits
        self.price = price
        self.holdings = PeerHoldings()
        replicas = Replicas(domain, membership, peers, clock)
        self.live_programs = LivePrograms(
            domain, incarnation, writer, tail, clock, replicas
        )
        self.takeover = Takeover(self.live_programs, membership, self.holdings)
        self.budgets = Budgets(self.live_programs)
        self.creation = Creation(domain, self.live_programs, self.takeover, actions)
        self.snapshots = Snapshots(self.live_programs, self.takeover, rng)
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def journal(self) -> Journal:
        """The fold of the domain's journal."""
        return self.live_programs.journal

    async def start(self) -> None:
        """Follow the journal and start the periodic work."""
        stream = self.live_programs.stream
        self.tail.follow(stream, self.journal.apply)
        self.tail.on_gap(stream, self.journal.restart)
        sweeping = run_periodically(self.clock, lambda: _SWEEP_SECONDS, self._sweep)
        self._sweeper = asyncio.create_task(sweeping)

    async def stop(self) -> None:
        """Hand over what the log has not taken, and stop."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
            self._sweeper = None
        await self.live_programs.hand_over(HAND_OVER_SECONDS)

    async def create(
        self,
        creation_key: str = "",
        secret: str = "",
        limits: Limits | None = None,
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
        limits : Limits or None
            What it may use; None for the most the settings allow.
        parent : str
            The program whose sub-agent it is; this daemon must own it.

        Raises
        ------
        Refusal
            If it can't be created.
        """
        bounds = self.limits().program
        created = await self.creation.create(
            creation_key, secret, limits, parent, bounds
        )
        state = self.live_programs.state(created.program)
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

    async def hold(self, program: str) -> LiveProgram:
        """Return a program that this daemon holds, claiming it if need be."""
        return await self.takeover.hold(program)

    async def end(self, program: str, reason: str) -> None:
        """End a program; once it has ended, nothing happens."""
        live = await self.hold(program)
        state = self.live_programs.state(program)
        if state is None or state.ended:
            return
        unused = self.budgets.available(live)
        record = ProgramEnded(
            author=self.live_programs.incarnation,
            time=self.clock.now(),
            program=program,
            reason=reason,
            returned_tokens=unused.tokens,
            returned_money=unused.money,
        )
        await self.live_programs.record(live, record)

    async def resume(self, program: str) -> ResumedProgram:
        """Return the history and the next turn of a program."""
        await self.hold(program)
        state = await self.takeover.find(program)
        if state.ended:
            raise ended_refusal(state.ended)
        return resumed_program(state)

    def explain(self, program: str) -> ExplainedProgram:
        """Return what happened to a program.

        Raises
        ------
        Refusal
            ``unknown_program`` if it is not known here.
        """
        state = self.live_programs.state(program)
        if state is None:
            raise Refusal("unknown_program", "No such program.", 404)
        return explained_program(state, self.live_programs.live(program))

    def unjournaled(self) -> int:
        """Return how many records of programs wait for the log."""
        return self.live_programs.unjournaled()

    async def end_expired(self) -> None:
        """End the programs held here that are too old or idle for too long."""
        now = self.clock.now()
        for program in list(self.journal.programs.values()):
            reason = expired(program, now)
            if reason is not None and self.takeover.responsible(program):
                await self._end_quietly(program.id, reason)

    async def _end_quietly(self, program: str, reason: EndReason) -> None:
        try:
            await self.end(program, reason.value)
        except Refusal as refusal:
            log.info("Program {} is not ended yet: {}", program, refusal.code)

    async def _sweep(self) -> None:
        await self.end_expired()
        await self.snapshots.write_due()
        self.holdings.drop_judged(self.live_programs.stream, self.journal)
        self._forget_idle()

    def _forget_idle(self) -> None:
        for program in self.live_programs.known():
            state = self.live_programs.state(program)
            if state is None or state.ended or not self.takeover.responsible(state):
                self.live_programs.forget(program)


def secret_digest(secret: str) -> str:
    """Return what the journal keeps of a program's secret."""
    return hashlib.sha256(secret.encode()).hexdigest()
