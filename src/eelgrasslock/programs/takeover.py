"""Taking a program over from a daemon that is gone."""

from typing import Any

from loguru import logger

from eelgrasslock.exceptions import LogError, Ran, Refusal
from eelgrasslock.log.log_availability import journal_unavailable_refusal
from eelgrasslock.log.records import Record
from eelgrasslock.programs.journal_records import ProgramClaimed
from eelgrasslock.programs.local_programs import LocalProgram, LocalPrograms
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.program_ids import parse_program_id
from eelgrasslock.programs.replication import PeerRecords, done_within

_CLAIM_TIMEOUT_SECONDS = 5.0
_MOVING_RETRY_SECONDS = 1.0
_NOT_FOUND = 404
_UNAVAILABLE = 503

log = logger.bind(part="takeover")


class Takeover:
    """Makes this daemon the holder of programs that it owns.

    Parameters
    ----------
    programs : LocalPrograms
        The programs.
    membership : object
        Tells the owner; see `membership.Membership`.
    holdings : PeerRecords
        What this daemon holds for its peers.
    """

    def __init__(
        self, programs: LocalPrograms, membership: Any, peer_records: PeerRecords
    ) -> None:
        self.programs = programs
        self.membership = membership
        self.peer_records = peer_records

    async def acquire(self, program: str) -> LocalProgram:
        """Return a program that this daemon holds, claiming it if need be.

        Raises
        ------
        Refusal
            If the program is unknown, owned elsewhere, or the log is needed
            and down.
        """
        if not self._holds(program):
            await self._take_over(program)
        return self.programs.local_program(program)

    async def find(self, program: str) -> Program:
        """Return a program's state, after reading the journal if need be."""
        state = self.programs.state(program)
        if state is None:
            _check_id(program)
            await self._catch_up()
            state = self.programs.state(program)
        if state is None and self._is_owner(program):
            await self._recover_from_peers(program)
            state = self.programs.state(program)
        if state is None:
            raise _unknown_program_refusal()
        return state

    def is_responsible(self, program: Program) -> bool:
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

    async def _take_over(self, program: str) -> None:
        await self.find(program)
        async with self.programs.local_program(program).claim_lock:
            if not self._holds(program):
                await self._claim(program)

    async def _claim(self, program: str) -> None:
        owner = self.membership.owner(program)
        if owner is None or not self.membership.is_self(owner):
            raise _program_moving_refusal()
        await self._catch_up()
        await self._recover_from_peers(program)
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
            raise _program_moving_refusal()
        log.info("Took {} over from {}.", program, claim.previous)

    async def _append(self, record: Record) -> bool:
        task = self.programs.run_in_background(self.programs.append_and_apply(record))
        if not await done_within(self.programs.clock, task, _CLAIM_TIMEOUT_SECONDS):
            task.cancel()
            raise journal_unavailable_refusal()
        try:
            return task.result().applied
        except LogError as error:
            raise journal_unavailable_refusal() from error

    async def _catch_up(self) -> None:
        self.programs.gate.check()
        tail = self.programs.tail
        try:
            await tail.wait_until_caught_up(
                self.programs.stream, _CLAIM_TIMEOUT_SECONDS
            )
        except LogError as error:
            raise journal_unavailable_refusal() from error

    def _is_owner(self, program: str) -> bool:
        owner = self.membership.owner(program)
        return owner is not None and self.membership.is_self(owner)

    async def _recover_from_peers(self, program: str) -> None:
        """Append what peers hold of a program, before it is claimed."""
        gathered = await self.programs.replicator.collect()
        records = gathered + self.peer_records.records(self.programs.stream)
        seen: set[str] = set()
        for record in records:
            fresh = self.programs.journal.apply_result(record.id) is None
            wanted = getattr(record, "program", "") == program
            if fresh and wanted and record.id not in seen:
                seen.add(record.id)
                await self._append(record)


def _check_id(program: str) -> None:
    try:
        parse_program_id(program)
    except ValueError as error:
        raise _unknown_program_refusal() from error


def _unknown_program_refusal() -> Refusal:
    return Refusal("unknown_program", "No such program.", _NOT_FOUND)


def _program_moving_refusal() -> Refusal:
    return Refusal(
        "program_moving",
        "The program is being taken over by another daemon.",
        _UNAVAILABLE,
        Ran.NO,
        _MOVING_RETRY_SECONDS,
    )
