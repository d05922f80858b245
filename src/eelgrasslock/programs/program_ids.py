"""Program ids, which contain the home domain and need no look-up for it."""

import secrets

from attrs import frozen

_SEPARATOR = "~"
_RANDOM_BYTES = 8


@frozen
class ProgramId:
    """The parts of a program's id.

    Attributes
    ----------
    domain : str
        The home failure domain, whose journal holds the program.
    incarnation : str
        The incarnation of the daemon that created it.
    suffix : str
        Random hex digits.
    """

    domain: str
    incarnation: str
    suffix: str

    def __str__(self) -> str:
        return _SEPARATOR.join((self.domain, self.incarnation, self.suffix))


def new_program_id(domain: str, incarnation: str) -> str:
    """Return a new unique id for a program created by an incarnation."""
    suffix = secrets.token_hex(_RANDOM_BYTES)
    return str(ProgramId(domain, incarnation, suffix))


def parse_program_id(text: str) -> ProgramId:
    """Return the parts of an id.

    Raises
    ------
    ValueError
        If the text is not a program id.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != 3 or not all(parts):
        raise ValueError(f"{text!r} is not a program id.")
    return ProgramId(*parts)
