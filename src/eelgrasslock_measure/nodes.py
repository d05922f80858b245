"""The endpoints of a run: engines after the cost model, and plain services."""

import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from eelgrasslock.configuration.settings import EndpointSettings
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CacheEvent, Call, CallOutcome, LoadReport
from eelgrasslock.scheduling.prefix_index import CHUNK_TOKENS, chunk_keys
from eelgrasslock_measure.deployments import PLAIN_SECONDS
from eelgrasslock_measure.engine_model import (
    EngineCall,
    EngineEvent,
    EngineEventKind,
    EngineModel,
    EngineSpeed,
)
from eelgrasslock_measure.prefix_cache import PrefixCache
from eelgrasslock_measure.virtual_clock import VirtualClock

OnFirstToken = Callable[[str, int], None]
OnEnd = Callable[[str, CallOutcome, Usage], None]


class Node(Protocol):
    """One endpoint of a run."""

    name: str
    is_up: bool

    def receive(self, call: Call, output_tokens: int, import_tokens: int) -> bool:
        """Take a call; return whether it queues behind background work."""

    def report(self) -> LoadReport:
        """Return the load now."""

    def crash(self) -> list[str]:
        """Lose everything; return the ids of the calls that were lost."""


class EngineNode:
    """An engine of a run.

    Parameters
    ----------
    name : str
        The endpoint's id.
    settings : EndpointSettings
        Its speed and sizes.
    clock : VirtualClock
        Wakes it when something happens.
    on_first_token, on_end : callable
        Told of calls.
    """

    def __init__(
        self,
        name: str,
        settings: EndpointSettings,
        clock: VirtualClock,
        on_first_token: OnFirstToken,
        on_end: OnEnd,
    ) -> None:
        self.name = name
        self.settings = settings
        self.clock = clock
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.is_up = True
        speed = EngineSpeed(
            batch_limit=settings.batch_limit,
            prefill_tokens_per_second=settings.prefill_tokens_per_second,
            decode_tokens_per_second=settings.decode_tokens_per_second,
            kv_tokens_per_second=settings.kv_tokens_per_second,
        )
        self.cache = PrefixCache(settings.cache_tokens, CHUNK_TOKENS)
        self.model = EngineModel(speed, self.cache, clock.time)
        self.classes: dict[str, CallClass] = {}
        self.events = 0
        self._wake = 0

    def receive(self, call: Call, output_tokens: int, import_tokens: int) -> bool:
        """Take a call; return whether it queues behind background work."""
        now = self.clock.time
        self._tell(self.model.advance(now))
        behind = any(
            self.classes[queued.id] is CallClass.BACKGROUND
            for queued in self.model.queue
        )
        self.classes[call.id] = call.call_class
        engine_call = EngineCall(
            call.id,
            call.program,
            chunk_keys(call.blocks),
            call.prompt_tokens,
            output_tokens,
            import_tokens,
        )
        self._tell(self.model.submit(now, engine_call))
        self._schedule()
        return behind

    def report(self) -> LoadReport:
        """Return the load now."""
        self._tell(self.model.advance(self.clock.time))
        return LoadReport(
            running=len(self.model.running),
            queued=len(self.model.queue),
            cache_used_tokens=self.cache.used_tokens,
            time=self.clock.time,
        )

    def cache_event(self) -> CacheEvent:
        """Return what changed in the cache since the last one."""
        stored, evicted = self.cache.take_changes()
        self.events += 1
        return CacheEvent(number=self.events, stored=stored, evicted=evicted)

    def release(self, program: str) -> None:
        """Free an ended program's cache."""
        self.cache.release(program)

    def crash(self) -> list[str]:
        """Lose everything; return the ids of the calls that were lost."""
        self.is_up = False
        self._tell(self.model.advance(self.clock.time))
        lost = [call.id for call in self.model.crash(self.clock.time)]
        self.classes.clear()
        return lost

    def come_back(self) -> None:
        """Serve again, with an empty cache."""
        self.is_up = True

    def slow_down(self, factor: float) -> None:
        """Run slower from now on."""
        self._tell(self.model.advance(self.clock.time))
        self.model.slowness = factor
        self._schedule()

    def _schedule(self) -> None:
        self._wake += 1
        time = self.model.next_event()
        if time is not None:
            wake = self._wake
            self.clock.at(time, lambda: self._wake_up(wake))

    def _wake_up(self, wake: int) -> None:
        if wake != self._wake:
            return
        self._tell(self.model.advance(self.clock.time))
        if wake == self._wake:
            self._schedule()

    def _tell(self, events: list[EngineEvent]) -> None:
        for event in events:
            call = event.call
            if event.kind is EngineEventKind.FIRST_TOKEN:
                self.on_first_token(call.id, call.cached_tokens)
                continue
            del self.classes[call.id]
            usage = Usage(
                prompt_tokens=call.prompt_tokens,
                cached_tokens=call.cached_tokens,
                completion_tokens=call.output_tokens,
            )
            self.on_end(call.id, CallOutcome.DONE, usage)


class PlainNode:
    """A plain service of a run, with a few workers.

    Parameters
    ----------
    name : str
        The endpoint's id.
    settings : EndpointSettings
        Its number of workers.
    clock : VirtualClock
        Wakes it when a call ends.
    on_end : callable
        Told of calls.
    seed : int
        Gives each call its length, the same under every policy.
    """

    def __init__(
        self,
        name: str,
        settings: EndpointSettings,
        clock: VirtualClock,
        on_end: OnEnd,
        seed: int,
    ) -> None:
        self.name = name
        self.settings = settings
        self.clock = clock
        self.on_end = on_end
        self.seed = seed
        self.is_up = True
        self.queue: deque[Call] = deque()
        self.running: set[str] = set()

    def receive(self, call: Call, output_tokens: int, import_tokens: int) -> bool:
        """Take a call; return whether it queues behind background work."""
        behind = any(one.call_class is CallClass.BACKGROUND for one in self.queue)
        self.queue.append(call)
        self._admit()
        return behind

    def report(self) -> LoadReport:
        """Return the load now."""
        return LoadReport(
            running=len(self.running), queued=len(self.queue), time=self.clock.time
        )

    def crash(self) -> list[str]:
        """Lose everything; return the ids of the calls that were lost."""
        self.is_up = False
        lost = [*self.running, *(call.id for call in self.queue)]
        self.running.clear()
        self.queue.clear()
        return lost

    def _admit(self) -> None:
        while self.queue and len(self.running) < self.settings.batch_limit:
            call_id = self.queue.popleft().id
            self.running.add(call_id)
            rng = random.Random(f"{self.seed} {call_id}")
            seconds = rng.expovariate(1.0 / PLAIN_SECONDS)
            self.clock.after(seconds, partial(self._end, call_id))

    def _end(self, call_id: str) -> None:
        if call_id not in self.running:
            return
        self.running.discard(call_id)
        self.on_end(call_id, CallOutcome.DONE, Usage())
        self._admit()
