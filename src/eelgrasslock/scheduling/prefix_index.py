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


class PrefixIndex:
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
        self.chunks_by_endpoint: dict[str, OrderedDict[int, None]] = {}
        self.endpoints_by_chunk: dict[int, tuple[str, ...]] = {}
        self.last_event_number: dict[str, int] = {}
        self.chunk_count = 0
        self.event_gaps = 0

    def set_capacity(self, endpoint: str, cache_tokens: int) -> None:
        """Set the size of an endpoint's cache."""
        self.capacity[sys.intern(endpoint)] = max(1, cache_tokens // CHUNK_TOKENS)
        self.chunks_by_endpoint.setdefault(endpoint, OrderedDict())

    def clear_endpoint(self, endpoint: str) -> None:
        """Drop what is known of an endpoint, such as after a crash.

        One that has no cache, such as a plain service, is not known.
        """
        if endpoint not in self.chunks_by_endpoint:
            return
        for key in self.chunks_by_endpoint[endpoint]:
            self._drop_holder(endpoint, key)
        self.chunk_count -= len(self.chunks_by_endpoint[endpoint])
        self.chunks_by_endpoint[endpoint] = OrderedDict()
        self.last_event_number.pop(endpoint, None)

    def record_prefix(self, endpoint: str, keys: tuple[int, ...]) -> None:
        """Note that an endpoint computed, or used, a prefix."""
        held = self.chunks_by_endpoint.get(endpoint)
        if held is None:
            return
        for key in reversed(keys):
            if key in held:
                held.move_to_end(key)
            else:
                self._add(endpoint, held, key)
        while len(held) > self.capacity[endpoint]:
            self._evict_oldest(endpoint, held)
        self._evict_over_limit()

    def cached_chunks(self, endpoint: str, keys: tuple[int, ...]) -> int:
        """Return how many leading chunks an endpoint holds."""
        held = self.chunks_by_endpoint.get(endpoint)
        return _longest_prefix(held, keys) if held else 0

    def best_holders(self, keys: tuple[int, ...]) -> tuple[str, ...]:
        """Return the endpoints that hold the longest known prefix."""
        depth = _longest_prefix(self.endpoints_by_chunk, keys)
        return self.endpoints_by_chunk[keys[depth - 1]] if depth else ()

    def known_chunks(self, keys: tuple[int, ...]) -> int:
        """Return how many leading chunks any endpoint holds."""
        return _longest_prefix(self.endpoints_by_chunk, keys)

    def apply_event(self, endpoint: str, event: CacheEvent) -> None:
        """Take in an endpoint's late word.

        Of stored blocks only those are kept whose hash is known from another
        endpoint; the others are of no use to us and would cost memory.
        """
        held = self.chunks_by_endpoint.get(endpoint)
        if held is None:
            return
        expected = self.last_event_number.get(endpoint, event.number - 1) + 1
        self.event_gaps += event.number > expected
        self.last_event_number[endpoint] = event.number
        for key in event.evicted:
            self._remove(endpoint, held, key)
        for key in event.stored:
            if key in self.endpoints_by_chunk and key not in held:
                self._add(endpoint, held, key)

    def _add(self, endpoint: str, held: OrderedDict[int, None], key: int) -> None:
        held[key] = None
        self.chunk_count += 1
        others = self.endpoints_by_chunk.get(key)
        self.endpoints_by_chunk[key] = (
            (endpoint,) if others is None else (*others, endpoint)
        )

    def _remove(self, endpoint: str, held: OrderedDict[int, None], key: int) -> None:
        if key in held:
            del held[key]
            self.chunk_count -= 1
            self._drop_holder(endpoint, key)

    def _drop_holder(self, endpoint: str, key: int) -> None:
        rest = tuple(name for name in self.endpoints_by_chunk[key] if name != endpoint)
        if rest:
            self.endpoints_by_chunk[key] = rest
        else:
            del self.endpoints_by_chunk[key]

    def _evict_oldest(self, endpoint: str, held: OrderedDict[int, None]) -> None:
        key, _ = held.popitem(last=False)
        self.chunk_count -= 1
        self._drop_holder(endpoint, key)

    def _evict_over_limit(self) -> None:
        while self.chunk_count > self.max_chunks:
            endpoint = max(
                self.chunks_by_endpoint,
                key=lambda name: len(self.chunks_by_endpoint[name]),
            )
            held = self.chunks_by_endpoint[endpoint]
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
