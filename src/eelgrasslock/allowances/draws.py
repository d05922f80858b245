"""Draws on programs' budgets, and their fold over a partition of the log.

Each record carries the total that is drawn after it, so that a reader needs
no record older than the log's retention. All appends are conditional, so the
author of a record knew every record before it.
"""

import json
from collections import OrderedDict

from attrs import define, field, frozen

from eelgrasslock.exceptions import RecordError

_FORM = 1
_IDS_KEPT = 64


@frozen(kw_only=True)
class Draw:
    """Tokens that move between a program's budget and a daemon.

    Attributes
    ----------
    program : str
        The program.
    id : str
        Unique to the draw, so that a repeated append counts once.
    holder : str
        The incarnation that may spend them.
    tokens : int
        How many; below zero for what is given back.
    total : int
        What all daemons hold or have spent after it.
    home : str
        The engine that holds the program's context, empty if none is known.
    """

    program: str
    id: str
    holder: str
    tokens: int
    total: int
    home: str = ""


def encode(draw: Draw) -> bytes:
    """Return a draw as the bytes of a log record."""
    values = [
        _FORM,
        draw.program,
        draw.id,
        draw.holder,
        draw.tokens,
        draw.total,
        draw.home,
    ]
    return json.dumps(values, separators=(",", ":")).encode()


def decode(data: bytes) -> Draw:
    """Return a log record as a draw.

    Raises
    ------
    RecordError
        If it is none.
    """
    try:
        form, program, id, holder, tokens, total, *rest = json.loads(data)
        # Records of earlier versions name no home.
        (home,) = rest or [""]
    except (TypeError, ValueError) as error:
        raise RecordError(f"No draw: {error}.") from error
    texts = (program, id, holder, home)
    counts = (tokens, total)
    is_draw = form == _FORM and all(isinstance(one, str) for one in texts)
    if not is_draw or not all(type(one) is int for one in counts):
        raise RecordError("The record has other fields than a draw.")
    return Draw(
        program=program,
        id=id,
        holder=holder,
        tokens=tokens,
        total=total,
        home=home,
    )


@define(eq=False)
class DrawnBudget:
    """What is drawn on one program's budget, as the log tells it.

    Attributes
    ----------
    total : int
        What all daemons hold or have spent.
    held : dict of str to int
        The same by incarnation, as far as the log still tells.
    ids : dict of str to None
        The newest draws.
    seen_at : float
        When the newest one was taken in, on the monotonic clock.
    home : str
        The engine that the newest draw named, empty if none did.
    """

    total: int = 0
    held: dict[str, int] = field(factory=dict)
    ids: dict[str, None] = field(factory=dict)
    seen_at: float = 0.0
    home: str = ""

    def apply(self, draw: Draw, now: float) -> None:
        """Take in the next draw."""
        self.seen_at = now
        self.total = draw.total
        self.home = draw.home or self.home
        self.held[draw.holder] = self.held.get(draw.holder, 0) + draw.tokens
        self.ids[draw.id] = None
        while len(self.ids) > _IDS_KEPT:
            del self.ids[next(iter(self.ids))]


@define(eq=False)
class PartitionFold:
    """The draws of one partition up to an offset.

    Attributes
    ----------
    end : int
        The offset after the last record that was taken in; a daemon that knows
        nothing of a partition begins with 0, which only an empty one confirms.
    budgets : OrderedDict of str to DrawnBudget
        By program, in the order of their newest draws.
    """

    end: int = 0
    budgets: OrderedDict[str, DrawnBudget] = field(factory=OrderedDict)

    def budget(self, program: str) -> DrawnBudget:
        """Return what is drawn on a program's budget."""
        return self.budgets.get(program) or DrawnBudget()

    def apply(self, draw: Draw, now: float) -> None:
        """Take in a draw, whose record is the next one."""
        self.budgets.setdefault(draw.program, DrawnBudget()).apply(draw, now)
        self.budgets.move_to_end(draw.program)

    def forget(self, oldest: float) -> None:
        """Drop the programs whose draws the log no longer holds either."""
        while self.budgets and next(iter(self.budgets.values())).seen_at < oldest:
            self.budgets.popitem(last=False)
