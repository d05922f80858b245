"""Starts waiting calls on endpoints that have a free slot."""

import random

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import Assignment, Call
from eelgrasslock.scheduling.copy_limit import CopyLimit
from eelgrasslock.scheduling.domain_breaker import DomainBreaker
from eelgrasslock.scheduling.endpoint_pool import REVIEW_INTERVAL_SECONDS, EndpointPool
from eelgrasslock.scheduling.endpoint_state import EndpointState, RunningCall
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.live_contexts import LiveContexts
from eelgrasslock.scheduling.lost_calls import LostCalls
from eelgrasslock.scheduling.placement import Candidate, Choice, Placement
from eelgrasslock.scheduling.prefix_index import CHUNK_TOKENS, PrefixIndex
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import ProgramTable, WaitingCall
from eelgrasslock.scheduling.slot_allocator import SlotAllocator

_MAX_PLACED_PER_PASS = 32
_MAX_ENDPOINTS_PER_PASS = 1_000
_MAX_REVIEWED_PER_PASS = 16
_CACHED_CONTEXT_SHARE = 0.8
# Share of a prompt that is assumed to be cached on the preferred endpoint if another
# daemon sent the previous turns: a turn adds about a tenth.
PREFERRED_CACHED_SHARE = 0.9
_EARLY_REVIEW_SECONDS = 0.05


class CallStarter:
    """Places the waiting calls of a pool in the order of their ranks.

    Parameters
    ----------
    prefix_index : PrefixIndex
        Estimate of what the engines have in their caches.
    slots : SlotAllocator
        Decides whether an endpoint has a free slot.
    programs : ProgramTable
        Counts the calls of programs.
    quarantine : Quarantine
        Decides which calls must be the only suspect on their endpoint.
    lost_calls : LostCalls
        The calls of which it is not known yet whether they ended their endpoint.
    rng : random.Random
        Source of randomness.
    features : FeatureFlags
        The scheduling features that are on.
    domain_breaker : DomainBreaker
        Decides which domains are excluded.
    """

    def __init__(
        self,
        prefix_index: PrefixIndex,
        slots: SlotAllocator,
        programs: ProgramTable,
        quarantine: Quarantine,
        lost_calls: LostCalls,
        rng: random.Random,
        features: FeatureFlags,
        domain_breaker: DomainBreaker,
    ) -> None:
        self.domain_breaker = domain_breaker
        self.prefix_index = prefix_index
        self.slots = slots
        self.programs = programs
        self.quarantine = quarantine
        self.copies = CopyLimit(quarantine, lost_calls)
        self.rng = rng
        self.features = features
        self.placement = Placement(prefix_index, rng, features)
        self.live_contexts = LiveContexts()

    def is_new_context(self, keys: tuple[int, ...]) -> bool:
        """Return whether most of a prompt is in the cache of no engine.

        This is false for a sub-agent, whose prompt builds on the cached context of
        its parent. The parent waits for it, so that it must not be delayed.
        """
        if not self.features.memory or not keys:
            return False
        return self.prefix_index.known_chunks(keys) < _CACHED_CONTEXT_SHARE * len(keys)

    def suggest(self, pool: EndpointPool, call: Call, now: float) -> str:
        """Return the best endpoint for a call that is not submitted yet."""
        output_tokens = self.programs.get_or_create(call.program, now).output_tokens
        waiting = WaitingCall(call, call.keys, (0, now, 0), now, output_tokens)
        choice = self.choose(pool, waiting, now)
        return choice.state.name if choice is not None else ""

    def start_waiting(
        self, pool: EndpointPool, now: float, wall_time: float
    ) -> list[Assignment]:
        """Start the calls that may start now, and return their assignments."""
        started: list[Assignment] = []
        self._start_lookups(pool, now, wall_time, started)
        if now >= pool.review_at:
            self._review(pool, now, wall_time, started)
        self.live_contexts.drop_idle(now)
        pool.admit_new_programs(now, self.slots)
        self._place_unplaced(pool, now, wall_time, started)
        for _ in range(_MAX_ENDPOINTS_PER_PASS):
            if not pool.changed_endpoints:
                break
            self._start_queued(
                pool, pool.pop_changed_endpoint(), now, wall_time, started
            )
        return started

    def _start_queued(
        self,
        pool: EndpointPool,
        endpoint: str,
        now: float,
        wall_time: float,
        started: list[Assignment],
    ) -> None:
        state = pool.states_by_name.get(endpoint)
        head = pool.endpoint_queue_head(endpoint)
        if state is None:
            pool.requeue_all(endpoint)
            return
        if head is None:
            if pool.total_waiting and self._has_slot(state, CallClass.BACKGROUND, now):
                pool.review_at = min(pool.review_at, now + _EARLY_REVIEW_SECONDS)
            return
        if not state.is_open(now):
            pool.requeue_all(endpoint)
            return
        while head is not None and self._may_start(state, head, now):
            pool.dequeue(endpoint)
            self._place(pool, head, now, wall_time, started)
            head = pool.endpoint_queue_head(endpoint)

    def _review(
        self,
        pool: EndpointPool,
        now: float,
        wall_time: float,
        started: list[Assignment],
    ) -> None:
        """Place the heads of the queues again, as a better endpoint may be open."""
        pool.review_at = now + REVIEW_INTERVAL_SECONDS
        pool.retry_blocked()
        pool.changed_endpoints.update(dict.fromkeys(pool.endpoint_queues))
        endpoints = [name for name, heap in pool.endpoint_queues.items() if heap.head()]
        if len(endpoints) > _MAX_REVIEWED_PER_PASS:
            endpoints = self.rng.sample(endpoints, _MAX_REVIEWED_PER_PASS)
        for endpoint in endpoints:
            waiting = pool.dequeue(endpoint)
            if waiting is not None:
                self._place(pool, waiting, now, wall_time, started)

    def _start_lookups(
        self,
        pool: EndpointPool,
        now: float,
        wall_time: float,
        started: list[Assignment],
    ) -> None:
        unplaced: list[WaitingCall] = []
        for _ in range(_MAX_PLACED_PER_PASS):
            waiting = pool.lookups.pop()
            if waiting is None:
                break
            choice = self.choose(pool, waiting, now)
            if choice is None:
                unplaced.append(waiting)
            else:
                started.append(self._start(pool, waiting, choice, now, wall_time))
        for waiting in unplaced:
            pool.lookups.push(waiting)

    def _place_unplaced(
        self,
        pool: EndpointPool,
        now: float,
        wall_time: float,
        started: list[Assignment],
    ) -> None:
        for _ in range(_MAX_PLACED_PER_PASS):
            waiting = pool.unplaced.pop()
            if waiting is None:
                break
            self._place(pool, waiting, now, wall_time, started)

    def _place(
        self,
        pool: EndpointPool,
        waiting: WaitingCall,
        now: float,
        wall_time: float,
        started: list[Assignment],
    ) -> None:
        """Start a call that is in no heap, or queue it for an endpoint, or block it."""
        choice = self.choose(pool, waiting, now)
        if choice is None:
            pool.blocked.append(waiting)
            return
        state = choice.state
        head = pool.endpoint_queue_head(state.name)
        is_first = head is None or waiting.rank < head.rank
        if is_first and self._may_start(state, waiting, now):
            started.append(self._start(pool, waiting, choice, now, wall_time))
            return
        pool.enqueue(waiting, state.name)
        if not is_first:
            pool.changed_endpoints[state.name] = None

    def choose(
        self, pool: EndpointPool, waiting: WaitingCall, now: float
    ) -> Choice | None:
        """Return the best endpoint for a call now, or None if there is none."""
        call = waiting.call
        if self.copies.has_enough(call):
            return None
        preferred = call.preferred_endpoint or self.live_contexts.last_endpoint(
            call.program
        )
        states = self.placement.sample(
            pool.states, pool.states_by_name, waiting.keys, preferred
        )
        candidates = self._candidates(pool, waiting, states, now)
        if not candidates and len(states) < len(pool.states):
            candidates = self._candidates(pool, waiting, pool.states, now)
        return self.placement.choose(call, waiting.output_tokens, candidates, now)

    def _candidates(
        self,
        pool: EndpointPool,
        waiting: WaitingCall,
        states: list[EndpointState],
        now: float,
    ) -> list[Candidate]:
        call = waiting.call
        is_lookup = call.call_class is CallClass.LOOKUP
        is_suspect = self.quarantine.is_suspect(*call.digests)
        candidates = []
        for state in states:
            if state.name in call.excluded or not state.is_open(now):
                continue
            if not state.has_version(call.version):
                continue
            if not self.domain_breaker.allows(state.settings.domain, now):
                continue
            if is_suspect and state.suspect_call_id:
                continue
            if is_lookup and not self._has_slot(state, call.call_class, now):
                continue
            cached = self._cached_tokens(state, waiting.keys)
            if state.name == call.preferred_endpoint:
                cached = max(cached, int(PREFERRED_CACHED_SHARE * call.prompt_tokens))
            queued_ahead = (
                0 if is_lookup else pool.endpoint_queue_lengths.get(state.name, 0)
            )
            token_wait = state.token_wait(queued_ahead, now)
            candidates.append(Candidate(state, cached, queued_ahead, token_wait))
        return candidates

    def _cached_tokens(self, state: EndpointState, keys: tuple[int, ...]) -> int:
        if not self.features.cache or not keys:
            return 0
        return self.prefix_index.cached_chunks(state.name, keys) * CHUNK_TOKENS

    def _has_slot(
        self, state: EndpointState, call_class: CallClass, now: float
    ) -> bool:
        if not state.has_token(now):
            return False
        return not self.features.slots or self.slots.has_free(state, call_class, now)

    def _may_start(
        self, state: EndpointState, waiting: WaitingCall, now: float
    ) -> bool:
        if not state.is_open(now):
            return False
        if state.suspect_call_id and self.quarantine.is_suspect(*waiting.call.digests):
            return False
        return self._has_slot(state, waiting.call.call_class, now)

    def _start(
        self,
        pool: EndpointPool,
        waiting: WaitingCall,
        choice: Choice,
        now: float,
        wall_time: float,
    ) -> Assignment:
        call = waiting.call
        state = choice.state
        pool.remove(waiting)
        pool.record_start_wait(now - waiting.submitted_at)
        self.slots.acquire(state)
        if state.tokens is not None:
            state.tokens.take(now)
        self.copies.record_started(call)
        if self.quarantine.is_suspect(*call.digests):
            state.suspect_call_id = call.id
        running = RunningCall(
            call=call,
            keys=waiting.keys,
            started_at=now,
            cached_tokens=choice.cached_tokens,
            uncached_tokens=choice.uncached_tokens,
            queued_prefill_tokens=state.prefill_tokens,
            batch_size=state.load(),
        )
        state.start(running, now, wall_time)
        self.domain_breaker.record_sent(state.settings.domain, now)
        self.prefix_index.record_prefix(state.name, waiting.keys)
        self.programs.get_or_create(call.program, now).calls_started += 1
        if call.prompt_tokens:
            self.live_contexts.record_call(call, state, choice.cached_tokens, now)
        return Assignment(
            call=call,
            endpoint=state.name,
            cached_tokens=choice.cached_tokens,
            predicted_seconds=choice.run_seconds,
            reason=_reason(choice, running.batch_size, now - waiting.submitted_at),
            import_from=choice.import_from,
        )


def _reason(choice: Choice, batch_size: int, waited: float) -> str:
    parts = [f"{batch_size} calls ran there", f"it waited {waited:.1f} s"]
    prompt = choice.cached_tokens + choice.uncached_tokens
    if prompt:
        held = f"{choice.cached_tokens} of {prompt} prompt tokens were held"
        parts.insert(0, held)
    if choice.import_from:
        parts.append(f"the prefix comes from {choice.import_from}")
    return f"Chosen for the least cost: {', '.join(parts)}."
