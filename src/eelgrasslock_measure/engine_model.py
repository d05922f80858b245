"""The one cost model of a model engine, for measurements and stand-ins.

An engine runs up to `batch_limit` calls at once and queues the others as they
come. Prompts are computed one after the other; answers grow side by side, the
slower the fuller the batch, and slower still while a prompt is computed.
Between events all rates are constant, so that the model jumps from event to
event on whatever clock its user has.
"""

import enum
import heapq
import math
from collections import deque

from attrs import define, frozen

from eelgrasslock_measure.prefix_cache import PrefixCache

FULL_BATCH_SLOWDOWN = 0.6
DECODE_SHARE_BESIDE_PREFILL = 0.5
PREFILL_SHARE_BESIDE_DECODE = 0.75
IMPORT_SECONDS = 0.05
_ALMOST_ZERO = 1e-9


@frozen(kw_only=True)
class EngineSpeed:
    """What an engine can do.

    Attributes
    ----------
    batch_limit : int
        Calls that it runs at once.
    prefill_tokens_per_second, decode_tokens_per_second : float
        For one call in an empty batch.
    kv_tokens_per_second : float
        For KV cache that is imported; 0 if it can't.
    """

    batch_limit: int = 16
    prefill_tokens_per_second: float = 8_000.0
    decode_tokens_per_second: float = 40.0
    kv_tokens_per_second: float = 0.0


@define(eq=False)
class EngineCall:
    """A call in the engine.

    Attributes
    ----------
    id, program : str
        The call and its program.
    keys : tuple of int
        The hashes of its prompt's blocks.
    prompt_tokens, output_tokens : int
        Its lengths.
    import_tokens : int
        The length of the prefix that is imported from another engine first.
    cached_tokens : int
        The part of the prompt that was held, or imported, when it was its turn.
    started : bool
        Whether its prompt has been looked up in the cache.
    first_token_at : float or None
        When its answer began.
    target : float
        The decode progress of the engine at which the answer ends.
    cancelled : bool
        Whether its caller went away.
    """

    id: str
    program: str
    keys: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    import_tokens: int = 0
    cached_tokens: int = 0
    started: bool = False
    first_token_at: float | None = None
    target: float = 0.0
    cancelled: bool = False


class EngineEventKind(enum.Enum):
    """What happens to a call."""

    FIRST_TOKEN = "first_token"
    FINISHED = "finished"


@frozen
class EngineEvent:
    """Something that happened in the engine.

    Attributes
    ----------
    time : float
        When.
    kind : EngineEventKind
        What.
    call : EngineCall
        To which call.
    """

    time: float
    kind: EngineEventKind
    call: EngineCall


class EngineModel:
    """A model engine with continuous batching and a prefix cache.

    Parameters
    ----------
    speed : EngineSpeed
        What it can do.
    cache : PrefixCache
        Its prefix cache.
    now : float
        The time on its user's clock, in seconds.
    """

    def __init__(self, speed: EngineSpeed, cache: PrefixCache, now: float = 0.0):
        self.speed = speed
        self.cache = cache
        self.time = now
        self.slowness = 1.0
        self.queue: deque[EngineCall] = deque()
        self.importing: list[tuple[float, int, EngineCall]] = []
        self.prefilling: deque[EngineCall] = deque()
        self.decoding: list[tuple[float, int, EngineCall]] = []
        self.running: dict[str, EngineCall] = {}
        self.head_left = 0.0
        self.decoded = 0.0
        self.computed_tokens = 0
        self.busy_slot_seconds = 0.0
        self._order = 0
        self._decoders = 0

    def submit(self, now: float, call: EngineCall) -> list[EngineEvent]:
        """Take a call in; return what happened until now."""
        events = self.advance(now)
        self.queue.append(call)
        self._admit()
        return events

    def cancel(self, now: float, call_id: str) -> list[EngineEvent]:
        """Drop a call; return what happened until now."""
        events = self.advance(now)
        self.queue = deque(call for call in self.queue if call.id != call_id)
        call = self.running.pop(call_id, None)
        if call is None:
            return events
        call.cancelled = True
        if call.first_token_at is not None:
            self._decoders -= 1
        elif call in self.prefilling:
            is_head = self.prefilling[0] is call
            self.prefilling.remove(call)
            if is_head:
                self._start_prefill()
        self._admit()
        return events

    def crash(self, now: float) -> list[EngineCall]:
        """Lose all calls and the cache; return the calls."""
        self.advance(now)
        lost = [*self.running.values(), *self.queue]
        self.queue.clear()
        self.importing.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.running.clear()
        self._decoders = 0
        self.cache.clear()
        return lost

    def tokens_decoded(self, call: EngineCall) -> int:
        """Return the length of a running call's answer so far."""
        if call.first_token_at is None:
            return 0
        left = max(0.0, call.target - self.decoded)
        return call.output_tokens - math.ceil(left - _ALMOST_ZERO)

    def next_event(self) -> float | None:
        """Return when something happens next, if nothing else comes in."""
        times = []
        if self.importing:
            times.append(self.importing[0][0])
        if self.prefilling:
            times.append(self.time + self.head_left / self._prefill_rate())
        self._drop_cancelled()
        if self.decoding:
            left = max(0.0, self.decoding[0][0] - self.decoded)
            times.append(self.time + left / self._decode_rate())
        return min(times, default=None)

    def advance(self, now: float) -> list[EngineEvent]:
        """Move on to a time; return what happened until then."""
        events: list[EngineEvent] = []
        while True:
            next_time = self.next_event()
            if next_time is None or next_time > now:
                break
            self._progress(next_time)
            self._handle_due(events)
        self._progress(max(now, self.time))
        return events

    def _progress(self, time: float) -> None:
        seconds = time - self.time
        if seconds <= 0:
            return
        if self.prefilling:
            done = seconds * self._prefill_rate()
            self.head_left = max(0.0, self.head_left - done)
        if self._decoders:
            self.decoded += seconds * self._decode_rate()
        self.busy_slot_seconds += seconds * len(self.running)
        self.time = time

    def _handle_due(self, events: list[EngineEvent]) -> None:
        if self.importing and self.importing[0][0] <= self.time + _ALMOST_ZERO:
            self._end_import(heapq.heappop(self.importing)[2])
        elif self.prefilling and self.head_left <= _ALMOST_ZERO * 1e4:
            self._end_prefill(events)
        elif self.decoding:
            self._end_decode(events)

    def _end_import(self, call: EngineCall) -> None:
        if call.cancelled:
            return
        blocks = call.import_tokens // self.cache.block_tokens
        self.cache.store(call.keys[:blocks], call.program)
        self._queue_prefill(call)

    def _end_prefill(self, events: list[EngineEvent]) -> None:
        call = self.prefilling.popleft()
        self.cache.store(call.keys, call.program)
        call.first_token_at = self.time
        call.target = self.decoded + call.output_tokens
        self._order += 1
        heapq.heappush(self.decoding, (call.target, self._order, call))
        self._decoders += 1
        events.append(EngineEvent(self.time, EngineEventKind.FIRST_TOKEN, call))
        self._start_prefill()

    def _end_decode(self, events: list[EngineEvent]) -> None:
        call = heapq.heappop(self.decoding)[2]
        self._decoders -= 1
        del self.running[call.id]
        events.append(EngineEvent(self.time, EngineEventKind.FINISHED, call))
        self._admit()

    def _admit(self) -> None:
        while self.queue and len(self.running) < self.speed.batch_limit:
            call = self.queue.popleft()
            self.running[call.id] = call
            if call.import_tokens and self.speed.kv_tokens_per_second:
                self._start_import(call)
            else:
                self._queue_prefill(call)

    def _start_import(self, call: EngineCall) -> None:
        held = self.cache.cached_tokens(call.keys)
        tokens = max(0, call.import_tokens - held)
        seconds = IMPORT_SECONDS + tokens / self.speed.kv_tokens_per_second
        free_at = max((entry[0] for entry in self.importing), default=self.time)
        self._order += 1
        entry = (max(free_at, self.time) + seconds, self._order, call)
        heapq.heappush(self.importing, entry)

    def _queue_prefill(self, call: EngineCall) -> None:
        self.prefilling.append(call)
        if len(self.prefilling) == 1:
            self._start_prefill()

    def _start_prefill(self) -> None:
        if not self.prefilling:
            return
        call = self.prefilling[0]
        call.started = True
        held = self.cache.cached_tokens(call.keys)
        call.cached_tokens = min(held, max(0, call.prompt_tokens - 1))
        self.head_left = float(call.prompt_tokens - call.cached_tokens)
        self.computed_tokens += call.prompt_tokens - call.cached_tokens

    def _prefill_rate(self) -> float:
        share = PREFILL_SHARE_BESIDE_DECODE if self._decoders else 1.0
        return self.speed.prefill_tokens_per_second * share / self.slowness

    def _decode_rate(self) -> float:
        others = max(0, self._decoders - 1)
        fill = others / max(1, self.speed.batch_limit - 1)
        share = DECODE_SHARE_BESIDE_PREFILL if self.prefilling else 1.0
        rate = self.speed.decode_tokens_per_second * share
        return rate / (1.0 + FULL_BATCH_SLOWDOWN * fill) / self.slowness

    def _drop_cancelled(self) -> None:
        while self.decoding and self.decoding[0][2].cancelled:
            heapq.heappop(self.decoding)
