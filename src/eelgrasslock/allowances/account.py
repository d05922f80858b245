"""One program's allowance at this daemon."""

import asyncio

from attrs import define, field, frozen

from eelgrasslock.scheduling.load_shedding import ProgramStage


@define(eq=False)
class Account:
    """What this daemon may spend on a program, and what it has spent.

    Attributes
    ----------
    program : str
        The program.
    budget : int
        What all its turns may generate, by the program's own word.
    drawn : int
        What this daemon has drawn.
    spent : int
        What its finished turns have used.
    reserved : int
        The worst case of its turns in flight.
    offline : int
        What was added to `drawn` without the log, and is not recorded yet.
    asked : int
        What is about to be added so, while other daemons are asked.
    home : str
        The engine that holds the program's context, empty if none is known.
    session : str
        The line of turns that the home is kept for.
    used_at : float
        When a turn was last asked for, began or ended, on the monotonic clock.
    reclaimed_at : float
        When other daemons were last asked to give up what they hold.
    """

    program: str
    budget: int
    drawn: int = 0
    spent: int = 0
    reserved: int = 0
    offline: int = 0
    asked: int = 0
    home: str = ""
    session: str = ""
    used_at: float = 0.0
    reclaimed_at: float = float("-inf")
    _settled: asyncio.Event = field(factory=asyncio.Event)

    @property
    def free(self) -> int:
        """What may be reserved without another draw."""
        return self.drawn - self.spent - self.reserved

    @property
    def is_settled(self) -> bool:
        """Whether no turn is in flight or asked for, and all is in the log."""
        return not (self.reserved or self.asked or self.offline)

    def reserve(self, tokens: int, now: float) -> None:
        """Set a turn's worst case aside."""
        self.reserved += tokens
        self.used_at = now

    def ran_at(self, endpoint: str, session: str) -> None:
        """Note where a turn ran; side lines of turns don't move the home."""
        self.session = self.session or session
        if session == self.session:
            self.home = endpoint

    def settle(self, reserved: int, used: int, now: float) -> None:
        """Note what a turn has used of what was set aside."""
        self.reserved -= reserved
        self.spent += used
        self.used_at = now
        self._settled.set()

    async def settled(self) -> None:
        """Wait until a turn in flight ends."""
        self._settled.clear()
        await self._settled.wait()


@frozen(kw_only=True)
class Reservation:
    """A turn's worst case, set aside until the turn has ended.

    Attributes
    ----------
    account : Account
        The program's account.
    tokens : int
        The worst case.
    stage : ProgramStage
        What was known of the program before.
    """

    account: Account
    tokens: int
    stage: ProgramStage = ProgramStage.UNKNOWN
