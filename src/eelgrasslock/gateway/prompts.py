"""Prompts that are given as named parts, as the keys of the cache estimate."""

import xxhash

from eelgrasslock.gateway.messages import PromptPart
from eelgrasslock.scheduling.prefix_index import CHUNK_TOKENS


def prompt_keys(parts: tuple[PromptPart, ...]) -> tuple[int, ...]:
    """Return a chained hash for each whole chunk of a prompt.

    Two prompts share the keys of the chunks that lie in parts that both begin
    with, as an engine's prefix cache does.
    """
    keys: list[int] = []
    chain = 0
    position = 0
    for part in parts:
        chain = xxhash.xxh64_intdigest(part.id.encode(), seed=chain)
        position += part.tokens
        while (len(keys) + 1) * CHUNK_TOKENS <= position:
            place = len(keys).to_bytes(4, "big")
            keys.append(xxhash.xxh64_intdigest(place, seed=chain))
    return tuple(keys)
