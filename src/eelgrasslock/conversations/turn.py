"""Turns of conversations and the places where the log keeps them."""

import xxhash
from attrs import field, frozen


@frozen(kw_only=True)
class TurnLink:
    """The place of a turn in its partition of the log.

    Attributes
    ----------
    id : str
        The id of the turn.
    offset : int
        The offset of its first record.
    size : int
        The bytes of its records.
    stored_at : float
        When it was appended, in seconds since the epoch.
    """

    id: str
    offset: int
    size: int
    stored_at: float


@frozen(kw_only=True)
class Turn:
    """A turn that was answered whole.

    Attributes
    ----------
    id : str
        The id of the request whose response ended it.
    parent : str
        The id of the turn that it continues from, empty at the start of a chain.
    endpoint : str
        The engine that ran it.
    ended_at : float
        When its response ended, in seconds since the epoch.
    input, output : bytes
        Its request's body, and the data of each event of its response followed by
        a line feed.
    ancestors : tuple of TurnLink
        The turns before it in its chain, oldest first.
    """

    id: str
    parent: str
    endpoint: str
    ended_at: float
    input: bytes
    output: bytes
    ancestors: tuple[TurnLink, ...] = field(default=())

    @property
    def size(self) -> int:
        """The bytes that the turn adds to the prompt of the turns after it."""
        return len(self.input) + len(self.output)


def turn_key(id: str) -> int:
    """Return the key of a turn, a hash of its id."""
    return xxhash.xxh64_intdigest(id.encode("utf-8", "surrogateescape"))
