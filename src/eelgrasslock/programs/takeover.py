"""Taking a program over from a daemon that is gone."""

from typing import Any

from loguru import logger

from eelgrasslock.exceptions import LogError, Ran, Refusal
from eelgrasslock.log.log_availability import journal_unavailable_refusal
from eelgrasslock.log.records import Record
from eelgrasslock.programs.held import PeerHoldings, done_within
from eelgrasslock.programs.journal_records import ProgramClaimed
from eelgrasslock.programs.live_programs import LiveProgram, LivePrograms
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.program_ids import parse_program_id

_CLAIM_SECONDS = 5.0
_MOVED_RETRY_SECONDS = 1.0
_NOT_FOUND = 404
_UNAVAILABLE = 503

log = logger.bind(part="takeover")


class Takeover:
    """Makes this daemon the holder of programs that it owns.

    Parameters
    ----------
    programs : LivePrograms
        The programs.
    membership : object
        Tells the owner; see `membership.Membership`.
    holdings : PeerHoldings
        What this daemon holds for its peers.
    """

    def __init__(
        self, programs: LivePrograms, membership: Any, holdings: PeerHoldings
    ) -> None:
        self.programs = programs
        self.membership = membership
        self.holdings = holdings

    async def hold(self, program: str) -> LiveProgram:
        """Return a program that this daemon holds, claiming it if need be.

        Raises
        ------
        Refusal
            If the program is unknown, owned elsewhere, or the log is needed
            and down.
        """
        if not self._holds(program):
            await self._take(program)
        return self.programs.live(program)

    async def find(self, program: str) -> Program:
        """Return a program's state, after reading the journal if need be."""
        state = self.programs.state(program)
        if state is None:
            _check_id(program)
            await self._catch_up()
            state = self.programs.state(program)
        if state is None and self._may_recover(program):
            await self._recover(program)
            state = self.programs.state(program)
        if state is None:
            raise _unknown()
        return state

    def responsible(self, program: Program) -> bool:
        """Return whether this daemon looks after a program while it rests."""
        owner = self.membership.owner(program.id)
        if owner is None:
            return program.holder == self.programs.incarnation
        return self.membership.is_self(owner)

    def _holds(self, program: str) -> bool:
        state = self.programs.state(program)
        if state is None:
            return False
        return bool(state.ended) or state.holder == self.programs.incarnation

    async def _take(self, program: str) -> None:
        await self.find(program)
        async with self.programs.live(program).claiming:
            if not self._holds(program):
                await self._claim(program)

    async def _claim(self, program: str) -> None:
        owner = self.membership.owner(program)
        if owner is None or not self.membership.is_self(owner):
            raise _moved()
        await self._catch_up()
        await self._recover(program)
        state = self.programs.state(program)
        if state is None or self._holds(program):
            return
        claim = ProgramClaimed(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=program,
            previous=state.holder,
        )
        if not await self._append(claim):
            raise _moved()
        log.info("Took {} over from {}.", program, claim.previous)

    async def _append(self, record: Record) -> bool:
        task = self.programs.watch(self.programs.judge(record))
        if not await done_within(self.programs.clock, task, _CLAIM_SECONDS):
            task.cancel()
            raise journal_unavailable_refusal()
        try:
            return task.result().counted
        except LogError as error:
            raise journal_unavailable_refusal() from error

    async def _catch_up(self) -> None:
        self.programs.gate.check()
        tail = self.programs.tail
        try:
            await tail.wait_until_caught_up(self.programs.stream, _CLAIM_SECONDS)
        except LogError as error:
            raise journal_unavailable_refusal() from error

    def _may_recover(self, program: str) -> bool:
        owner = self.membership.owner(program)
        return owner is not None and self.membership.is_self(owner)

    async def _recover(self, program: str) -> None:
        """Append what peers hold of a program, before it is claimed."""
        gathered = await self.programs.replicas.gather()
        records = gathered + self.holdings.held(self.programs.stream)
        seen: set[str] = set()
        for record in records:
            fresh = self.programs.journal.verdict(record.id) is None
            wanted = getattr(record, "program", "") == program
            if fresh and wanted and record.id not in seen:
                seen.add(record.id)
                await self._append(record)


def _check_id(program: str) -> None:
    try:
        parse_program_id(program)
    except ValueError as error:
        raise _unknown() from error


def _unknown() -> Refusal:
    return Refusal("unknown_program", "No such program.", _NOT_FOUND)


def _moved() -> Refusal:
    return Refusal(
        "program_moving",
        "The program is being taken over by another daemon.",
        _UNAVAILABLE,
        Ran.NO,
        _MOVED_RETRY_SECONDS,
    )
