"""Writing programs whole again before the log's retention drops them."""

import random

from loguru import logger

from eelgrasslock.exceptions import LogError
from eelgrasslock.programs.journal_records import ProgramSnapshot
from eelgrasslock.programs.local_programs import LocalPrograms
from eelgrasslock.programs.program import Program, encode_program
from eelgrasslock.programs.takeover import Takeover

SNAPSHOT_INTERVAL_SECONDS = 1_800.0
_INTERVAL_JITTER_RATIO = 0.2
_APPEND_TIMEOUT_SECONDS = 5.0
_MAX_SNAPSHOTS_PER_SWEEP = 50

log = logger.bind(part="snapshots")


class SnapshotWriter:
    """Keeps each live program readable from within the log's retention.

    Parameters
    ----------
    programs : LocalPrograms
        The programs.
    takeover : Takeover
        Tells which of them this daemon answers for.
    rng : random.Random
        Spreads the snapshots.
    seconds : float
        How old a program's last whole record may grow; well under half of
        the log's retention.
    """

    def __init__(
        self,
        programs: LocalPrograms,
        takeover: Takeover,
        rng: random.Random,
        interval_seconds: float = SNAPSHOT_INTERVAL_SECONDS,
    ) -> None:
        self.programs = programs
        self.takeover = takeover
        self.rng = rng
        self.interval_seconds = interval_seconds

    def due(self) -> list[Program]:
        """Return the programs whose last whole record is too old."""
        now = self.programs.clock.now()
        found = []
        for program in self.programs.journal.programs.values():
            age = now - program.based
            wanted = self.interval_seconds * (
                1 - _INTERVAL_JITTER_RATIO * self.rng.random()
            )
            if age >= wanted and self.takeover.is_responsible(program):
                found.append(program)
        return found[:_MAX_SNAPSHOTS_PER_SWEEP]

    async def write_due(self) -> None:
        """Write the programs that are due, those at rest only."""
        if not self.programs.writer.available:
            return
        for program in self.due():
            local_program = self.programs.local_program(program.id)
            if not local_program.idle:
                continue
            async with local_program.call_lock:
                await self._write(program)

    async def _write(self, program: Program) -> None:
        record = ProgramSnapshot(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=program.id,
            state=encode_program(program),
            as_of=self.programs.tail.position(self.programs.stream),
        )
        try:
            await self.programs.writer.append(
                self.programs.stream, record, _APPEND_TIMEOUT_SECONDS
            )
        except LogError as error:
            log.warning("No snapshot of {} yet: {}", program.id, error)
