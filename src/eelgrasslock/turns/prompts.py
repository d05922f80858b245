"""Keys for the estimate of prefix caches, from prompts that consist of named parts."""

import xxhash

from eelgrasslock.exchanges.messages import PromptPart
from eelgrasslock.scheduling.prefix_index import CHUNK_TOKENS


def prompt_keys(parts: tuple[PromptPart, ...]) -> tuple[int, ...]:
    """Return a chained hash for each complete chunk of a prompt.

    Two prompts share the keys of those chunks that lie in a common prefix of
    parts, as in an engine's prefix cache.
    """
    keys: list[int] = []
    chained_hash = 0
    position = 0
    for part in parts:
        chained_hash = xxhash.xxh64_intdigest(part.id.encode(), seed=chained_hash)
        position += part.tokens
        while (len(keys) + 1) * CHUNK_TOKENS <= position:
            index = len(keys).to_bytes(4, "big")
            keys.append(xxhash.xxh64_intdigest(index, seed=chained_hash))
    return tuple(keys)
