"""An estimate of what the engines' prefix caches hold, in bounded memory."""

import sys
from collections import OrderedDict

from eelgrasslock.scheduling.calls import BLOCK_TOKENS, CacheEvent

CHUNK_BLOCKS = 16
CHUNK_TOKENS = CHUNK_BLOCKS * BLOCK_TOKENS
MAX_CHUNKS = 60_000


def chunk_keys(blocks: tuple[int, ...]) -> tuple[int, ...]:
    """Return every `CHUNK_BLOCKS`-th hash; each stands for the prefix up to it."""
    return blocks[CHUNK_BLOCKS - 1 :: CHUNK_BLOCKS]


class CacheEstimate:
    """What endpoints hold, from what we sent, corrected by their own word.

    Prefixes are kept as chunks of `CHUNK_TOKENS`, each endpoint's in the order
    of their use. Deep chunks count as used before shallow ones, so that a
    prefix is evicted from its end, as engines do.

    Parameters
    ----------
    max_chunks : int
        The most chunks that are kept for all endpoints together.
    """

    def __init__(self, max_chunks: int = MAX_CHUNKS) -> None:
        self.max_chunks = max_chunks
        self.capacity: dict[str, int] = {}
        self.held: dict[str, OrderedDict[int, None]] = {}
        self.holders: dict[int, tuple[str, ...]] = {}
        self.last_event: dict[str, int] = {}
        self.chunks = 0
        self.gaps = 0

    def configure(self, endpoint: str, cache_tokens: int) -> None:
        """Set the size of an endpoint's cache."""
        self.capacity[sys.intern(endpoint)] = max(1, cache_tokens // CHUNK_TOKENS)
        self.held.setdefault(endpoint, OrderedDict())

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint, such as after a crash.

        One that has no cache, such as a plain service, is not known.
        """
        if endpoint not in self.held:
            return
        for key in self.held[endpoint]:
            self._drop_holder(endpoint, key)
        self.chunks -= len(self.held[endpoint])
        self.held[endpoint] = OrderedDict()
        self.last_event.pop(endpoint, None)

    def store(self, endpoint: str, keys: tuple[int, ...]) -> None:
        """Note that an endpoint computed, or used, a prefix."""
        held = self.held.get(endpoint)
        if held is None:
            return
        for key in reversed(keys):
            if key in held:
                held.move_to_end(key)
            else:
                self._add(endpoint, held, key)
        while len(held) > self.capacity[endpoint]:
            self._evict_oldest(endpoint, held)
        self._keep_bound()

    def cached_chunks(self, endpoint: str, keys: tuple[int, ...]) -> int:
        """Return how many leading chunks an endpoint holds."""
        held = self.held.get(endpoint)
        return _longest_prefix(held, keys) if held else 0

    def best_holders(self, keys: tuple[int, ...]) -> tuple[str, ...]:
        """Return the endpoints that hold the longest known prefix."""
        depth = _longest_prefix(self.holders, keys)
        return self.holders[keys[depth - 1]] if depth else ()

    def known_chunks(self, keys: tuple[int, ...]) -> int:
        """Return how many leading chunks any endpoint holds."""
        return _longest_prefix(self.holders, keys)

    def observe(self, endpoint: str, event: CacheEvent) -> None:
        """Take in an endpoint's late word.

        Of stored blocks only those are kept whose hash is known from another
        endpoint; the others are of no use to us and would cost memory.
        """
        held = self.held.get(endpoint)
        if held is None:
            return
        expected = self.last_event.get(endpoint, event.number - 1) + 1
        self.gaps += event.number > expected
        self.last_event[endpoint] = event.number
        for key in event.evicted:
            self._remove(endpoint, held, key)
        for key in event.stored:
            if key in self.holders and key not in held:
                self._add(endpoint, held, key)

    def _add(self, endpoint: str, held: OrderedDict[int, None], key: int) -> None:
        held[key] = None
        self.chunks += 1
        others = self.holders.get(key)
        self.holders[key] = (endpoint,) if others is None else (*others, endpoint)

    def _remove(self, endpoint: str, held: OrderedDict[int, None], key: int) -> None:
        if key in held:
            del held[key]
            self.chunks -= 1
            self._drop_holder(endpoint, key)

    def _drop_holder(self, endpoint: str, key: int) -> None:
        rest = tuple(name for name in self.holders[key] if name != endpoint)
        if rest:
            self.holders[key] = rest
        else:
            del self.holders[key]

    def _evict_oldest(self, endpoint: str, held: OrderedDict[int, None]) -> None:
        key, _ = held.popitem(last=False)
        self.chunks -= 1
        self._drop_holder(endpoint, key)

    def _keep_bound(self) -> None:
        while self.chunks > self.max_chunks:
            endpoint = max(self.held, key=lambda name: len(self.held[name]))
            held = self.held[endpoint]
            for _ in range(max(1, len(held) // 8)):
                self._evict_oldest(endpoint, held)


def _longest_prefix(
    known: OrderedDict[int, None] | dict[int, tuple[str, ...]], keys: tuple[int, ...]
) -> int:
    """Return the length of the known prefix, by bisection."""
    low, high = 0, len(keys)
    while low < high:
        middle = (low + high + 1) // 2
        if keys[middle - 1] in known:
            low = middle
        else:
            high = middle - 1
    return low
