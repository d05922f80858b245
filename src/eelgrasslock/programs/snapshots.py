"""Writing programs whole again before the log's retention drops them."""

import random

from loguru import logger

from eelgrasslock.exceptions import LogError
from eelgrasslock.programs.journal_records import ProgramSnapshot
from eelgrasslock.programs.live_programs import LivePrograms
from eelgrasslock.programs.program import Program, encode_program
from eelgrasslock.programs.takeover import Takeover

SNAPSHOT_SECONDS = 1_800.0
_JITTER = 0.2
_APPEND_SECONDS = 5.0
_BATCH = 50

log = logger.bind(part="snapshots")


class Snapshots:
    """Keeps each live program readable from within the log's retention.

    Parameters
    ----------
    programs : LivePrograms
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
        programs: LivePrograms,
        takeover: Takeover,
        rng: random.Random,
        seconds: float = SNAPSHOT_SECONDS,
    ) -> None:
        self.programs = programs
        self.takeover = takeover
        self.rng = rng
        self.seconds = seconds

    def due(self) -> list[Program]:
        """Return the programs whose last whole record is too old."""
        now = self.programs.clock.now()
        found = []
        for program in self.programs.journal.programs.values():
            age = now - program.based
            wanted = self.seconds * (1 - _JITTER * self.rng.random())
            if age >= wanted and self.takeover.responsible(program):
                found.append(program)
        return found[:_BATCH]

    async def write_due(self) -> None:
        """Write the programs that are due, those at rest only."""
        if not self.programs.writer.available:
            return
        for program in self.due():
            live = self.programs.live(program.id)
            if not live.idle:
                continue
            async with live.lock:
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
                self.programs.stream, record, _APPEND_SECONDS
            )
        except LogError as error:
            log.warning("No snapshot of {} yet: {}", program.id, error)
