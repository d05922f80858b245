"""The chain of turns that a new turn continues."""

from attrs import frozen

from eelgrasslock.conversations.turn import Turn
from eelgrasslock.conversations.turn_cache import CachedTurn


@frozen(kw_only=True)
class History:
    """The chain of turns that a new turn continues.

    Attributes
    ----------
    turns : tuple of CachedTurn
        The turns, oldest first.
    source : str
        ``own`` if this daemon had all of them, ``peer`` if others gave some,
        ``log`` if some were read from the log; empty for a turn that starts a chain.
    """

    turns: tuple[CachedTurn, ...] = ()
    source: str = ""

    @property
    def parent(self) -> Turn | None:
        """The last turn."""
        return self.turns[-1].turn if self.turns else None

    @property
    def size(self) -> int:
        """The bytes of all inputs and outputs."""
        return sum(one.turn.size for one in self.turns)

    def body(self, new_input: bytes) -> bytes:
        """Return what an engine is to receive."""
        parts = []
        for one in self.turns:
            parts += [one.turn.input, one.turn.output]
        return b"".join([*parts, new_input])
