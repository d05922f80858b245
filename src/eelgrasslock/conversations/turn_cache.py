"""The turns that a daemon has in memory, limited by their bytes."""

from collections import OrderedDict

from attrs import define

from eelgrasslock.conversations.turn import Turn, TurnLink

# Roughly what a turn takes beside its input and output.
OVERHEAD_BYTES = 1_000
LINK_BYTES = 200


@define
class CachedTurn:
    """A turn with its place in the log.

    Attributes
    ----------
    turn : Turn
        The turn.
    link : TurnLink
        Its place.
    used_at : float
        When it was last used, on the monotonic clock.
    """

    turn: Turn
    link: TurnLink
    used_at: float

    @property
    def memory_bytes(self) -> int:
        """About how much memory it takes."""
        links = LINK_BYTES * len(self.turn.ancestors)
        return self.turn.size + links + OVERHEAD_BYTES


class TurnCache:
    """Turns by id; the least recently used ones are dropped first.

    Parameters
    ----------
    max_bytes : int
        The limit of all turns together.

    Attributes
    ----------
    memory_bytes : int
        About how much memory the turns take.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.memory_bytes = 0
        self._turns: OrderedDict[str, CachedTurn] = OrderedDict()

    def __len__(self) -> int:
        return len(self._turns)

    def find(self, id: str, now: float) -> CachedTurn | None:
        """Return a turn, None if it is not in memory."""
        cached = self._turns.get(id)
        if cached is not None:
            cached.used_at = now
            self._turns.move_to_end(id)
        return cached

    def put(self, turn: Turn, link: TurnLink, now: float) -> CachedTurn:
        """Add a turn, or replace it; one over the limit is not kept."""
        self._drop(turn.id)
        cached = CachedTurn(turn, link, now)
        self._turns[turn.id] = cached
        self.memory_bytes += cached.memory_bytes
        while self.memory_bytes > self.max_bytes:
            self._drop(next(iter(self._turns)))
        return cached

    def drop_unused(self, since: float) -> None:
        """Drop the turns that were last used before a time."""
        while self._turns:
            id, cached = next(iter(self._turns.items()))
            if cached.used_at >= since:
                return
            self._drop(id)

    def _drop(self, id: str) -> None:
        cached = self._turns.pop(id, None)
        if cached is not None:
            self.memory_bytes -= cached.memory_bytes
