"""An approximate index of the engines' prefix caches, in bounded memory."""

import sys
from collections import OrderedDict

from eelgrasslock.scheduling.calls import BLOCK_TOKENS, CacheEvent

CHUNK_BLOCKS = 16
CHUNK_TOKENS = CHUNK_BLOCKS * BLOCK_TOKENS
MAX_CHUNKS = 60_000


def chunk_keys(blocks: tuple[int, ...]) -> tuple[int, ...]:
    """Return every `CHUNK_BLOCKS`-th hash, which identifies the prefix up to it."""
    return blocks[CHUNK_BLOCKS - 1 :: CHUNK_BLOCKS]


class PrefixIndex:
    """An estimate of which prompt prefixes each endpoint has in its cache.

    It is derived from the calls that this daemon sent, and corrected by the
    engines' cache events. Prefixes are stored as chunks of `CHUNK_TOKENS`, in
    least-recently-used order for each endpoint. Deep chunks count as used before
    shallow ones, so that a prefix is evicted from its end, as in the engines.

    Parameters
    ----------
    max_chunks : int
        Maximum number of chunks for all endpoints together.
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
        """Set the size of an endpoint's cache, in tokens."""
        self.capacity[sys.intern(endpoint)] = max(1, cache_tokens // CHUNK_TOKENS)
        self.chunks_by_endpoint.setdefault(endpoint, OrderedDict())

    def clear_endpoint(self, endpoint: str) -> None:
        """Remove all chunks of an endpoint, for example after a crash.

        An endpoint without a cache, such as a plain service, is ignored.
        """
        if endpoint not in self.chunks_by_endpoint:
            return
        for key in self.chunks_by_endpoint[endpoint]:
            self._drop_holder(endpoint, key)
        self.chunk_count -= len(self.chunks_by_endpoint[endpoint])
        self.chunks_by_endpoint[endpoint] = OrderedDict()
        self.last_event_number.pop(endpoint, None)

    def record_prefix(self, endpoint: str, keys: tuple[int, ...]) -> None:
        """Record that an endpoint computed or used a prefix."""
        chunks = self.chunks_by_endpoint.get(endpoint)
        if chunks is None:
            return
        for key in reversed(keys):
            if key in chunks:
                chunks.move_to_end(key)
            else:
                self._add(endpoint, chunks, key)
        while len(chunks) > self.capacity[endpoint]:
            self._evict_oldest(endpoint, chunks)
        self._evict_over_limit()

    def cached_chunks(self, endpoint: str, keys: tuple[int, ...]) -> int:
        """Return how many leading chunks an endpoint has cached."""
        chunks = self.chunks_by_endpoint.get(endpoint)
        return _longest_prefix(chunks, keys) if chunks else 0

    def best_holders(self, keys: tuple[int, ...]) -> tuple[str, ...]:
        """Return the endpoints with the longest cached prefix."""
        depth = _longest_prefix(self.endpoints_by_chunk, keys)
        return self.endpoints_by_chunk[keys[depth - 1]] if depth else ()

    def known_chunks(self, keys: tuple[int, ...]) -> int:
        """Return how many leading chunks any endpoint has cached."""
        return _longest_prefix(self.endpoints_by_chunk, keys)

    def apply_event(self, endpoint: str, event: CacheEvent) -> None:
        """Apply a delayed cache event of an endpoint.

        Stored blocks are added only if another endpoint has them, too: the
        others cannot be matched with chunks and would cost memory.
        """
        chunks = self.chunks_by_endpoint.get(endpoint)
        if chunks is None:
            return
        expected = self.last_event_number.get(endpoint, event.number - 1) + 1
        self.event_gaps += event.number > expected
        self.last_event_number[endpoint] = event.number
        for key in event.evicted:
            self._remove(endpoint, chunks, key)
        for key in event.stored:
            if key in self.endpoints_by_chunk and key not in chunks:
                self._add(endpoint, chunks, key)

    def _add(self, endpoint: str, chunks: OrderedDict[int, None], key: int) -> None:
        chunks[key] = None
        self.chunk_count += 1
        holders = self.endpoints_by_chunk.get(key)
        self.endpoints_by_chunk[key] = (
            (endpoint,) if holders is None else (*holders, endpoint)
        )

    def _remove(self, endpoint: str, chunks: OrderedDict[int, None], key: int) -> None:
        if key in chunks:
            del chunks[key]
            self.chunk_count -= 1
            self._drop_holder(endpoint, key)

    def _drop_holder(self, endpoint: str, key: int) -> None:
        rest = tuple(name for name in self.endpoints_by_chunk[key] if name != endpoint)
        if rest:
            self.endpoints_by_chunk[key] = rest
        else:
            del self.endpoints_by_chunk[key]

    def _evict_oldest(self, endpoint: str, chunks: OrderedDict[int, None]) -> None:
        key, _ = chunks.popitem(last=False)
        self.chunk_count -= 1
        self._drop_holder(endpoint, key)

    def _evict_over_limit(self) -> None:
        while self.chunk_count > self.max_chunks:
            endpoint = max(
                self.chunks_by_endpoint,
                key=lambda name: len(self.chunks_by_endpoint[name]),
            )
            chunks = self.chunks_by_endpoint[endpoint]
            for _ in range(max(1, len(chunks) // 8)):
                self._evict_oldest(endpoint, chunks)


def _longest_prefix(
    known: OrderedDict[int, None] | dict[int, tuple[str, ...]], keys: tuple[int, ...]
) -> int:
    """Return the number of leading keys that are known, by bisection."""
    low, high = 0, len(keys)
    while low < high:
        middle = (low + high + 1) // 2
        if keys[middle - 1] in known:
            low = middle
        else:
            high = middle - 1
    return low
