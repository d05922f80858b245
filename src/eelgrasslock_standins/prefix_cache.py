"""An engine's bounded prefix cache, with its late and gapped events."""

import collections
import random

from attrs import define

from eelgrasslock.scheduling.calls import BLOCK_TOKENS
from eelgrasslock_standins.serving import ScaledClock

_EVENTS_KEPT = 2_000


@define
class TimedEvent:
    """A cache event and when it happened."""

    number: int
    stored: list[int]
    evicted: list[int]
    time: float


class PrefixCache:
    """Blocks by least recent use, some of them pinned by sessions.

    Parameters
    ----------
    tokens : int
        How many tokens fit in.
    clock : ScaledClock
        Times the events.
    rng : random.Random
        Chooses the events that get lost.
    """

    def __init__(self, tokens: int, clock: ScaledClock, rng: random.Random) -> None:
        self.capacity = max(1, tokens // BLOCK_TOKENS)
        self.clock = clock
        self.rng = rng
        self.blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.pins: collections.Counter[int] = collections.Counter()
        self.events: collections.deque[TimedEvent] = collections.deque(
            maxlen=_EVENTS_KEPT
        )
        self._number = 0

    @property
    def used_tokens(self) -> int:
        """How many tokens are held."""
        return len(self.blocks) * BLOCK_TOKENS

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many of a prompt's first blocks are held, and use them."""
        count = 0
        for block in blocks:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: tuple[int, ...], lost: float = 0.0) -> None:
        """Hold blocks, evicting the least recently used that are not pinned."""
        fresh = [block for block in blocks if block not in self.blocks]
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = self._evict()
        gone = set(evicted)
        stored = [block for block in fresh if block not in gone]
        if stored or evicted:
            self._publish(stored, evicted, lost)

    def pin(self, blocks: tuple[int, ...]) -> None:
        """Keep blocks from eviction."""
        self.pins.update(blocks)

    def unpin(self, blocks: tuple[int, ...]) -> None:
        """Give blocks back to eviction."""
        self.pins.subtract(blocks)
        for block in blocks:
            if self.pins[block] <= 0:
                del self.pins[block]

    def clear(self) -> None:
        """Drop everything, as when another model is loaded."""
        evicted = list(self.blocks)
        self.blocks.clear()
        if evicted:
            self._publish([], evicted, 0.0)

    def events_after(self, number: int, lag: float) -> list[TimedEvent]:
        """Return the events that are known by now, after a number."""
        moment = self.clock.monotonic() - lag
        known = [event for event in self.events if event.time <= moment]
        return [event for event in known if event.number > number]

    def _evict(self) -> list[int]:
        excess = len(self.blocks) - self.capacity
        if excess <= 0:
            return []
        free = (block for block in self.blocks if block not in self.pins)
        evicted = [block for _, block in zip(range(excess), free, strict=False)]
        still = excess - len(evicted)
        if still > 0:
            evicted += list(self.blocks)[-still:]
        for block in evicted:
            self.blocks.pop(block, None)
        return evicted

    def _publish(self, stored: list[int], evicted: list[int], lost: float) -> None:
        self._number += 1
        if self.rng.random() < lost:
            return
        now = self.clock.monotonic()
        self.events.append(TimedEvent(self._number, stored, evicted, now))
