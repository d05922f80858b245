"""A bounded prefix cache, as engines have."""

from collections import OrderedDict


class PrefixCache:
    """Blocks of prompts, the least recently used evicted first.

    A block is known by the chained hash of the prompt up to its end. Deep
    blocks count as used before shallow ones, so that a prefix is evicted from
    its end.

    Parameters
    ----------
    capacity_tokens, block_tokens : int
        The size of the cache and of one block.
    """

    def __init__(self, capacity_tokens: int, block_tokens: int) -> None:
        self.capacity = max(1, capacity_tokens // block_tokens)
        self.block_tokens = block_tokens
        self.owner: OrderedDict[int, str] = OrderedDict()
        self.sessions: dict[str, tuple[int, ...]] = {}
        self.stored: list[int] = []
        self.evicted: list[int] = []

    @property
    def used_tokens(self) -> int:
        """How full the cache is."""
        return len(self.owner) * self.block_tokens

    def cached_tokens(self, keys: tuple[int, ...]) -> int:
        """Return the length of the prefix that is held."""
        count = 0
        for key in keys:
            if key not in self.owner:
                break
            count += 1
        return count * self.block_tokens

    def store(self, keys: tuple[int, ...], program: str) -> None:
        """Hold a prompt's blocks, evicting others."""
        self.sessions[program] = keys
        for key in reversed(keys):
            owner = self.owner.get(key)
            if owner is None:
                self.owner[key] = program
                self.stored.append(key)
                continue
            self.owner.move_to_end(key)
            if owner != program:
                self.owner[key] = ""
        while len(self.owner) > self.capacity:
            key, _ = self.owner.popitem(last=False)
            self.evicted.append(key)

    def release(self, program: str) -> None:
        """Free the blocks that only an ended program used."""
        for key in self.sessions.pop(program, ()):
            if self.owner.get(key) == program:
                del self.owner[key]
                self.evicted.append(key)

    def clear(self) -> None:
        """Lose everything, as in a crash."""
        self.evicted.extend(self.owner)
        self.owner.clear()
        self.sessions.clear()

    def take_changes(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return what was stored and evicted since the last call."""
        changes = (tuple(self.stored), tuple(self.evicted))
        self.stored.clear()
        self.evicted.clear()
        return changes
