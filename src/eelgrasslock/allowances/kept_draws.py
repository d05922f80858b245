"""Draws without the log, as daemons keep them for each other."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from attrs import define, field, frozen

MAX_PROGRAMS = 20_000


@frozen(kw_only=True)
class OfflineDraw:
    """What one daemon has drawn on a program without the log.

    Attributes
    ----------
    holder : str
        The incarnation that drew.
    sequence : int
        Of several words of a holder, the one with the largest number counts.
    tokens : int
        All that it drew, recorded or not.
    recorded : int
        Those of them that the log holds.
    """

    holder: str
    sequence: int
    tokens: int
    recorded: int = 0


@define(eq=False)
class KeptProgram:
    """What is known of the draws on one program without the log.

    Attributes
    ----------
    draws : dict of str to OfflineDraw
        The draws by holder.
    is_closed : bool
        Whether the program gets no more tokens without the log.
    updated_at : float
        When a daemon last told of the program, on the monotonic clock.
    """

    draws: dict[str, OfflineDraw] = field(factory=dict)
    is_closed: bool = False
    updated_at: float = 0.0

    @property
    def tokens(self) -> int:
        """The tokens of all draws."""
        return sum(draw.tokens for draw in self.draws.values())

    @property
    def unrecorded(self) -> int:
        """The tokens of all draws that the log does not hold yet."""
        return sum(draw.tokens - draw.recorded for draw in self.draws.values())

    def put(self, draw: OfflineDraw) -> None:
        """Take a word of a holder, unless a later one is known."""
        known = self.draws.get(draw.holder)
        if known is None or known.sequence < draw.sequence:
            self.draws[draw.holder] = draw

    def merge(self, draws: Iterable[OfflineDraw], is_closed: bool) -> None:
        """Take what another daemon knows."""
        self.is_closed = self.is_closed or is_closed
        for draw in draws:
            self.put(draw)


class KeptDraws:
    """The draws without the log that a daemon keeps for the fleet.

    Attributes
    ----------
    programs : OrderedDict of str to KeptProgram
        What is known of each program, the one that was told of last at the end.
    """

    def __init__(self) -> None:
        self.programs: OrderedDict[str, KeptProgram] = OrderedDict()

    @property
    def is_full(self) -> bool:
        """Whether no other program can be kept."""
        return len(self.programs) >= MAX_PROGRAMS

    def get(self, program: str, now: float) -> KeptProgram:
        """Return what is known of a program, which is now kept."""
        kept = self.programs.setdefault(program, KeptProgram())
        kept.updated_at = now
        self.programs.move_to_end(program)
        return kept

    def drop_expired(self, oldest: float) -> None:
        """Drop the programs that nobody has told of since a time."""
        while self.programs:
            program, kept = next(iter(self.programs.items()))
            if kept.updated_at >= oldest:
                return
            del self.programs[program]


class DrawKeeping(Protocol):
    """What accounts ask of the daemons that keep draws without the log."""

    async def draw(self, program: str, own: OfflineDraw) -> KeptProgram | None:
        """Tell the keepers of a draw; return all that they know.

        None if so few answer that they may not know of another draw.
        """

    async def close(self, program: str, own: OfflineDraw) -> KeptProgram | None:
        """Let a program get no more without the log; return as `draw` does."""

    async def ask_holders(self, program: str, known: KeptProgram) -> None:
        """Let the holders tell what they still need, and add it to what is known."""

    async def tell(self, draws: dict[str, OfflineDraw]) -> set[str]:
        """Tell the keepers of programs of draws that have not grown.

        Return the programs whose keepers have taken it.
        """


class NoKeepers:
    """A daemon without a fleet: it gives nothing without the log."""

    async def draw(self, program: str, own: OfflineDraw) -> KeptProgram | None:
        """Return None."""
        return None

    async def close(self, program: str, own: OfflineDraw) -> KeptProgram | None:
        """Return that nothing is drawn."""
        return KeptProgram(is_closed=True)

    async def ask_holders(self, program: str, known: KeptProgram) -> None:
        """Do nothing."""

    async def tell(self, draws: dict[str, OfflineDraw]) -> set[str]:
        """Return that all are told."""
        return set(draws)
