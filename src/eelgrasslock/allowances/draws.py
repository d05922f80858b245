"""Draws on programs' budgets, and their fold over a partition of the log.

Each record carries the total that is drawn after it, so that a reader needs
no record older than the log's retention. All appends are conditional, so the
author of a record knew every record before it.
"""

import json
from collections import OrderedDict

from attrs import define, field, frozen

from eelgrasslock.exceptions import RecordError

_FORMAT_VERSION = 1
_MAX_RECENT_IDS = 64


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
    preferred_endpoint: str = ""


def encode_draw(draw: Draw) -> bytes:
    """Return a draw as the bytes of a log record."""
    values = [
        _FORMAT_VERSION,
        draw.program,
        draw.id,
        draw.holder,
        draw.tokens,
        draw.total,
        draw.preferred_endpoint,
    ]
    return json.dumps(values, separators=(",", ":")).encode()


def decode_draw(data: bytes) -> Draw:
    """Return a log record as a draw.

    Raises
    ------
    RecordError
        If it is none.
    """
    try:
        form, program, id, holder, tokens, total, *rest = json.loads(data)
        # Records of earlier versions name no home.
        (preferred_endpoint,) = rest or [""]
    except (TypeError, ValueError) as error:
        raise RecordError(f"No draw: {error}.") from error
    texts = (program, id, holder, preferred_endpoint)
    counts = (tokens, total)
    is_draw = form == _FORMAT_VERSION and all(isinstance(one, str) for one in texts)
    if not is_draw or not all(type(one) is int for one in counts):
        raise RecordError("The record has other fields than a draw.")
    return Draw(
        program=program,
        id=id,
        holder=holder,
        tokens=tokens,
        total=total,
        preferred_endpoint=preferred_endpoint,
    )


@define(eq=False)
class ProgramDraws:
    """What is drawn on one program's budget, as the log tells it.

    Attributes
    ----------
    total : int
        What all daemons hold or have spent.
    held : dict of str to int
        The same by incarnation, as far as the log still tells.
    ids : dict of str to None
        The newest draws.
    updated_at : float
        When the newest one was taken in, on the monotonic clock.
    home : str
        The engine that the newest draw named, empty if none did.
    """

    total: int = 0
    tokens_by_holder: dict[str, int] = field(factory=dict)
    recent_ids: dict[str, None] = field(factory=dict)
    updated_at: float = 0.0
    preferred_endpoint: str = ""

    def apply(self, draw: Draw, now: float) -> None:
        """Take in the next draw."""
        self.updated_at = now
        self.total = draw.total
        self.preferred_endpoint = draw.preferred_endpoint or self.preferred_endpoint
        self.tokens_by_holder[draw.holder] = (
            self.tokens_by_holder.get(draw.holder, 0) + draw.tokens
        )
        self.recent_ids[draw.id] = None
        while len(self.recent_ids) > _MAX_RECENT_IDS:
            del self.recent_ids[next(iter(self.recent_ids))]


@define(eq=False)
class PartitionState:
    """The draws of one partition up to an offset.

    Attributes
    ----------
    end : int
        The offset after the last record that was taken in; a daemon that knows
        nothing of a partition begins with 0, which only an empty one confirms.
    budgets : OrderedDict of str to ProgramDraws
        By program, in the order of their newest draws.
    """

    end: int = 0
    programs: OrderedDict[str, ProgramDraws] = field(factory=OrderedDict)

    def draws(self, program: str) -> ProgramDraws:
        """Return what is drawn on a program's budget."""
        return self.programs.get(program) or ProgramDraws()

    def apply(self, draw: Draw, now: float) -> None:
        """Take in a draw, whose record is the next one."""
        self.programs.setdefault(draw.program, ProgramDraws()).apply(draw, now)
        self.programs.move_to_end(draw.program)

    def drop_expired(self, oldest: float) -> None:
        """Drop the programs whose draws the log no longer holds either."""
        while self.programs and next(iter(self.programs.values())).updated_at < oldest:
            self.programs.popitem(last=False)
