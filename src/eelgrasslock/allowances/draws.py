"""Draws from programs' budgets, and their totals in a partition of the log.

Each record holds the total that is drawn after it, so that a reader needs no
record older than the log's retention. All appends are conditional, so the author
of a record has read every record before it.
"""

import json
import secrets
from collections import OrderedDict

from attrs import define, field, frozen

from eelgrasslock.checked_json import parse_json
from eelgrasslock.exceptions import RecordError

_FORMAT_VERSION = 1
_MAX_RECENT_IDS = 64
_ID_BYTES = 8
MAX_TOKENS = 2**53
_ID_SEPARATOR = "."


@frozen(kw_only=True)
class Draw:
    """Tokens that move between a program's budget and a daemon.

    Attributes
    ----------
    program : str
        The program's id.
    id : str
        Unique to the draw, so that a repeated append counts once; see `make_id`.
    holder : str
        The incarnation that may spend the tokens.
    tokens : int
        How many tokens are drawn; negative if they are returned.
    total : int
        Tokens that all daemons hold or have spent after this draw.
    preferred_endpoint : str
        The engine that holds the program's context, empty if none is known.
    """

    program: str
    id: str
    holder: str
    tokens: int
    total: int
    preferred_endpoint: str = ""

    @property
    def made_at(self) -> float | None:
        """When the draw was made, in seconds since the epoch; None if unknown."""
        seconds, separator, _ = self.id.partition(_ID_SEPARATOR)
        try:
            return float(int(seconds, 16)) if separator else None
        except (OverflowError, ValueError):
            return None


def make_id(now: float) -> str:
    """Return the id of a new draw, which starts with the time in seconds.

    Daemons of earlier versions read the ids, but would not read another field.
    """
    return f"{int(now):x}{_ID_SEPARATOR}{secrets.token_hex(_ID_BYTES)}"


def encode_draw(draw: Draw) -> bytes:
    """Encode a draw as a log record."""
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
    """Decode a log record as a draw.

    Raises
    ------
    RecordError
        If the record is not a draw.
    """
    try:
        version, program, id, holder, tokens, total, *rest = parse_json(data)
        # Records of earlier versions have no preferred endpoint.
        (preferred_endpoint,) = rest or [""]
    except (TypeError, ValueError) as error:
        raise RecordError(f"The record is not a draw: {error}.") from error
    strings = (program, id, holder, preferred_endpoint)
    integers = (tokens, total)
    is_draw = version == _FORMAT_VERSION and all(
        isinstance(value, str) for value in strings
    )
    if not is_draw or not all(type(value) is int for value in integers):
        raise RecordError("The record does not have the fields of a draw.")
    if max(abs(value) for value in integers) > MAX_TOKENS:
        raise RecordError("The record has more tokens than any program.")
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
    """Tokens drawn from one program's budget, by the records in the log.

    Attributes
    ----------
    total : int
        Tokens that all daemons hold or have spent.
    tokens_by_holder : dict of str to int
        The same by incarnation, without records that the log has dropped.
    recent_ids : dict of str to None
        Ids of the newest draws, oldest first.
    written_at : float
        About when the newest draw was written, on the monotonic clock.
    updated_at : float
        When the newest draw was applied, on the monotonic clock.
    preferred_endpoint : str
        The engine that the newest draw with an engine names, empty if none does.
    """

    total: int = 0
    tokens_by_holder: dict[str, int] = field(factory=dict)
    recent_ids: dict[str, None] = field(factory=dict)
    updated_at: float = 0.0
    written_at: float = 0.0
    preferred_endpoint: str = ""

    def apply(self, draw: Draw, now: float, age_seconds: float) -> None:
        """Apply the next draw."""
        self.updated_at = now
        self.written_at = now - age_seconds
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
        The offset after the last record that was applied. It starts at 0, so an
        append before the first read succeeds only if the partition is empty.
    programs : OrderedDict of str to ProgramDraws
        Draws by program, in the order of the newest draws.
    """

    end: int = 0
    programs: OrderedDict[str, ProgramDraws] = field(factory=OrderedDict)

    def draws(self, program: str) -> ProgramDraws:
        """Return the draws of a program."""
        return self.programs.get(program) or ProgramDraws()

    def apply(self, draw: Draw, now: float, age_seconds: float = 0.0) -> None:
        """Apply the draw of the next record."""
        draws = self.programs.setdefault(draw.program, ProgramDraws())
        draws.apply(draw, now, age_seconds)
        self.programs.move_to_end(draw.program)

    def drop_expired(self, oldest: float) -> None:
        """Drop programs whose newest draw is older than the log's retention."""
        while self.programs and next(iter(self.programs.values())).updated_at < oldest:
            self.programs.popitem(last=False)
