"""The work of a stand-in engine: batching, cache, sessions, orders."""

import asyncio
import collections
import random
import uuid
from typing import Any

from attrs import define

from eelgrasslock.requests.tokens import block_hashes, estimate_tokens, prompt_text
from eelgrasslock.scheduling.calls import BLOCK_TOKENS
from eelgrasslock_standins.answers import make_answer
from eelgrasslock_standins.engine_settings import EngineFaults, EngineShape
from eelgrasslock_standins.engine_stream import EngineStream
from eelgrasslock_standins.generation import Generation
from eelgrasslock_standins.prefix_cache import PrefixCache
from eelgrasslock_standins.serving import ScaledClock

_PREFILL_CHUNK_TOKENS = 2_048
_BATCH_SLOWDOWN = 0.02
_STREAMS_KEPT = 512
_LOAD_HISTORY = 4_096
_KV_TOKENS_PER_SECOND = 100_000.0


@define
class Session:
    """What a program holds in the engine's memory."""

    blocks: tuple[int, ...] = ()
    fence: int = 0


@define
class LoadSample:
    """The engine's load at one moment."""

    moment: float
    time: float
    running: int
    queued: int
    cache_used_tokens: int


class EngineCore:
    """An engine that batches continuously.

    Parameters
    ----------
    shape : EngineShape
        Its size and speed.
    faults : EngineFaults
        The switches.
    clock : ScaledClock
        Times all work.
    rng : random.Random
        Chooses the cache events that get lost.
    """

    def __init__(
        self,
        shape: EngineShape,
        faults: EngineFaults,
        clock: ScaledClock,
        rng: random.Random,
    ) -> None:
        self.shape = shape
        self.faults = faults
        self.clock = clock
        self.cache = PrefixCache(shape.cache_tokens, clock, rng)
        self.waiting: collections.deque[Generation] = collections.deque()
        self.running: list[Generation] = []
        self.streams: collections.OrderedDict[str, EngineStream] = (
            collections.OrderedDict()
        )
        self.sessions: dict[str, Session] = {}
        self.fences: dict[str, int] = {}
        self.applied: dict[str, str] = {}
        self.epoch = uuid.uuid4().hex
        self.calls = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self._work = asyncio.Event()
        self._samples: collections.deque[LoadSample] = collections.deque(
            maxlen=_LOAD_HISTORY
        )
        self._sample()

    def start(
        self,
        model: str,
        messages: list[dict[str, Any]],
        tools: list[Any],
        limit: int | None,
        program: str,
        include_usage: bool,
    ) -> Generation:
        """Take a call on; its events come on its stream."""
        stream = EngineStream(uuid.uuid4().hex)
        self.streams[stream.id] = stream
        while len(self.streams) > _STREAMS_KEPT:
            self.streams.popitem(last=False)
        generation = Generation(
            model=model,
            messages=messages,
            answer=make_answer(model, messages, tools, limit),
            stream=stream,
            blocks=block_hashes(messages),
            prompt_tokens=estimate_tokens(prompt_text(messages)),
            program=program,
            include_usage=include_usage,
        )
        if program:
            self.sessions.setdefault(program, Session())
        self.waiting.append(generation)
        self.calls += 1
        self._sample()
        self._work.set()
        return generation

    async def run(self) -> None:
        """Work through the calls, one step of the batch after another."""
        while True:
            self._admit()
            if not self.running:
                self._work.clear()
                await self._work.wait()
                continue
            chunk = self._prefill_chunk()
            await self.clock.sleep(self._step_seconds(chunk))
            self._step(chunk)

    def load(self) -> LoadSample:
        """Return the load as it was one lag ago."""
        moment = self.clock.monotonic() - self.faults.load_lag_seconds
        while len(self._samples) > 1 and self._samples[1].moment <= moment:
            self._samples.popleft()
        return self._samples[0]

    def release(self, program: str, fence: int) -> bool:
        """Free a program's memory, unless the order's fencing number is old."""
        if not self._accept(f"program {program}", fence):
            return False
        session = self.sessions.pop(program, None)
        if session is not None:
            self.cache.unpin(session.blocks)
        return True

    def order(self, kind: str, value: str, fence: int) -> bool:
        """Apply an order, unless its fencing number is old."""
        if not self._accept(kind, fence):
            return False
        if kind == "model" and self.applied.get(kind) != value:
            self.shape.models = [value]
            self.cache.clear()
        self.applied[kind] = value
        return True

    def export(self, program: str) -> tuple[int, ...]:
        """Return the blocks that a program holds here."""
        session = self.sessions.get(program, Session())
        count = self.cache.match(session.blocks)
        return session.blocks[:count]

    async def load_blocks(self, program: str, blocks: tuple[int, ...]) -> None:
        """Take blocks over from another engine."""
        await self.clock.sleep(len(blocks) * BLOCK_TOKENS / _KV_TOKENS_PER_SECOND)
        self.cache.store(blocks, self.faults.event_loss)
        self._hold(program, blocks)
        self._sample()

    def _accept(self, key: str, fence: int) -> bool:
        highest = self.fences.get(key, 0)
        if self.faults.checks_fencing and fence < highest:
            return False
        self.fences[key] = max(highest, fence)
        return True

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.shape.batch_limit:
            generation = self.waiting.popleft()
            if generation.stream.cancelled:
                continue
            cached = self.cache.match(generation.blocks) * BLOCK_TOKENS
            generation.cached_tokens = min(cached, generation.prompt_tokens)
            left = generation.prompt_tokens - generation.cached_tokens
            generation.prefill_left = max(1, left)
            self.prompt_tokens += generation.prompt_tokens
            self.cached_tokens += generation.cached_tokens
            self.running.append(generation)
            self._sample()

    def _prefill_chunk(self) -> int:
        for generation in self.running:
            if generation.prefill_left:
                return min(generation.prefill_left, _PREFILL_CHUNK_TOKENS)
        return 0

    def _step_seconds(self, chunk: int) -> float:
        decoding = sum(1 for one in self.running if not one.prefill_left)
        seconds = chunk / self.shape.prefill_tokens_per_second
        if decoding:
            slowdown = 1 + _BATCH_SLOWDOWN * (decoding - 1)
            seconds += slowdown / self.shape.decode_tokens_per_second
        return seconds * self.faults.slow_factor

    def _step(self, chunk: int) -> None:
        decoding = [one for one in self.running if not one.prefill_left]
        if chunk:
            self._prefill(chunk)
        for generation in decoding:
            self._decode(generation)
        ended = [one for one in self.running if one.stream.done]
        if ended:
            self.running = [one for one in self.running if not one.stream.done]
            self._sample()

    def _prefill(self, chunk: int) -> None:
        generation = next(one for one in self.running if one.prefill_left)
        generation.prefill_left = max(0, generation.prefill_left - chunk)
        if generation.prefill_left or generation.stream.done:
            return
        self.cache.store(generation.blocks, self.faults.event_loss)
        generation.stream.send(generation.chunk({"role": "assistant", "content": ""}))

    def _decode(self, generation: Generation) -> None:
        if generation.stream.done:
            return
        if generation.sent < len(generation.answer.tokens):
            delta = generation.next_delta()
            generation.sent += 1
            generation.stream.send(generation.chunk(delta))
            return
        self._finish(generation)

    def _finish(self, generation: Generation) -> None:
        message = generation.answer.message(generation.sent)
        blocks = block_hashes([*generation.messages, message])
        self.cache.store(blocks, self.faults.event_loss)
        self._hold(generation.program, blocks)
        stream = generation.stream
        stream.send(generation.chunk({}, generation.answer.finish_reason))
        if generation.include_usage:
            stream.send(generation.usage_chunk())
        stream.finish()

    def _hold(self, program: str, blocks: tuple[int, ...]) -> None:
        session = self.sessions.get(program)
        if session is None:
            return
        self.cache.unpin(session.blocks)
        session.blocks = blocks
        self.cache.pin(blocks)

    def _sample(self) -> None:
        sample = LoadSample(
            moment=self.clock.monotonic(),
            time=self.clock.now(),
            running=len(self.running),
            queued=len(self.waiting),
            cache_used_tokens=self.cache.used_tokens,
        )
        self._samples.append(sample)
