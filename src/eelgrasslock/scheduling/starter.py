"""Starts waiting calls on endpoints that have a free slot."""

import random
from collections import Counter

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.cache_estimate import CHUNK_TOKENS, CacheEstimate
from eelgrasslock.scheduling.calls import Assignment, Call
from eelgrasslock.scheduling.decisions import Decisions
from eelgrasslock.scheduling.domain_watch import DomainWatch
from eelgrasslock.scheduling.endpoint_state import EndpointState, RunningCall
from eelgrasslock.scheduling.live_contexts import LiveContexts
from eelgrasslock.scheduling.placement import Candidate, Choice, Placement
from eelgrasslock.scheduling.pool import REVIEW_SECONDS, Pool
from eelgrasslock.scheduling.quarantine import CRASHES_TO_QUARANTINE, Quarantine
from eelgrasslock.scheduling.queueing import ProgramTable, WaitingCall
from eelgrasslock.scheduling.slots import Slots

_PLACED_AT_ONCE = 32
_ENDPOINTS_AT_ONCE = 1_000
_REVIEWED_AT_ONCE = 16
_KNOWN_SHARE = 0.8
# What a program's engine is taken to hold of its next prompt, where another
# daemon sent the turns before: a turn adds about a tenth.
HOME_SHARE = 0.9
_REVIEW_AGAIN_SECONDS = 0.05


class Starter:
    """Places the waiting calls of a pool in the order of their ranks.

    Parameters
    ----------
    cache : CacheEstimate
        What the engines hold.
    slots : Slots
        Whether an endpoint has a free slot.
    programs : ProgramTable
        Counts the calls of programs.
    quarantine : Quarantine
        Which calls must run alone.
    rng : random.Random
        The source of chance.
    decisions : Decisions
        Which decisions are on.
    domains : DomainWatch
        Which domains seem to be cut off.
    """

    def __init__(
        self,
        cache: CacheEstimate,
        slots: Slots,
        programs: ProgramTable,
        quarantine: Quarantine,
        rng: random.Random,
        decisions: Decisions,
        domains: DomainWatch,
    ) -> None:
        self.domains = domains
        self.cache = cache
        self.slots = slots
        self.programs = programs
        self.quarantine = quarantine
        self.rng = rng
        self.decisions = decisions
        self.placement = Placement(cache, rng, decisions)
        self.live = LiveContexts()
        self.digests: Counter[str] = Counter()

    def is_new_context(self, keys: tuple[int, ...]) -> bool:
        """Return whether a prompt is mostly one that no engine holds yet.

        That of a sub-agent is none: it builds on what its parent holds, and
        its parent waits for it.
        """
        if not self.decisions.memory or not keys:
            return False
        return self.cache.known_chunks(keys) < _KNOWN_SHARE * len(keys)

    def ended(self, digest: str) -> None:
        """Note that a call with a digest is no longer in flight."""
        if self.digests[digest] > 1:
            self.digests[digest] -= 1
        else:
            self.digests.pop(digest, None)

    def suggest(self, pool: Pool, call: Call, now: float) -> str:
        """Return the endpoint that suits a call best, before it is submitted."""
        output_tokens = self.programs.find(call.program, now).output_tokens
        waiting = WaitingCall(call, call.keys, (0, now, 0), now, output_tokens)
        choice = self.choose(pool, waiting, now)
        return choice.state.name if choice is not None else ""

    def start_waiting(self, pool: Pool, now: float, wall: float) -> list[Assignment]:
        """Start what may start now."""
        started: list[Assignment] = []
        self._serve_urgent(pool, now, wall, started)
        if now >= pool.review_at:
            self._review(pool, now, wall, started)
        self.live.drop_idle(now)
        pool.admit_newcomers(now, self.slots)
        self._serve_unplaced(pool, now, wall, started)
        for _ in range(_ENDPOINTS_AT_ONCE):
            if not pool.changed:
                break
            self._serve_parked(pool, pool.next_changed(), now, wall, started)
        return started

    def _serve_parked(
        self,
        pool: Pool,
        endpoint: str,
        now: float,
        wall: float,
        started: list[Assignment],
    ) -> None:
        state = pool.members.get(endpoint)
        head = pool.parked_head(endpoint)
        if state is None:
            pool.unpark_all(endpoint)
            return
        if head is None:
            if pool.total_waiting and self._has_slot(state, CallClass.BACKGROUND, now):
                pool.review_at = min(pool.review_at, now + _REVIEW_AGAIN_SECONDS)
            return
        if not state.is_open(now):
            pool.unpark_all(endpoint)
            return
        while head is not None and self._may_start(state, head, now):
            pool.pop_parked(endpoint)
            self._place(pool, head, now, wall, started)
            head = pool.parked_head(endpoint)

    def _review(
        self, pool: Pool, now: float, wall: float, started: list[Assignment]
    ) -> None:
        """Place the heads again; they may have a better choice by now."""
        pool.review_at = now + REVIEW_SECONDS
        pool.offer_withheld()
        pool.changed.update(dict.fromkeys(pool.parked))
        endpoints = [name for name, heap in pool.parked.items() if heap.head()]
        if len(endpoints) > _REVIEWED_AT_ONCE:
            endpoints = self.rng.sample(endpoints, _REVIEWED_AT_ONCE)
        for endpoint in endpoints:
            waiting = pool.pop_parked(endpoint)
            if waiting is not None:
                self._place(pool, waiting, now, wall, started)

    def _serve_urgent(
        self, pool: Pool, now: float, wall: float, started: list[Assignment]
    ) -> None:
        left: list[WaitingCall] = []
        for _ in range(_PLACED_AT_ONCE):
            waiting = pool.urgent.pop()
            if waiting is None:
                break
            choice = self.choose(pool, waiting, now)
            if choice is None:
                left.append(waiting)
            else:
                started.append(self._start(pool, waiting, choice, now, wall))
        for waiting in left:
            pool.urgent.push(waiting)

    def _serve_unplaced(
        self, pool: Pool, now: float, wall: float, started: list[Assignment]
    ) -> None:
        for _ in range(_PLACED_AT_ONCE):
            waiting = pool.unplaced.pop()
            if waiting is None:
                break
            self._place(pool, waiting, now, wall, started)

    def _place(
        self,
        pool: Pool,
        waiting: WaitingCall,
        now: float,
        wall: float,
        started: list[Assignment],
    ) -> None:
        """Start, park or withhold a call that is in no heap."""
        choice = self.choose(pool, waiting, now)
        if choice is None:
            pool.withheld.append(waiting)
            return
        state = choice.state
        head = pool.parked_head(state.name)
        is_first = head is None or waiting.rank < head.rank
        if is_first and self._may_start(state, waiting, now):
            started.append(self._start(pool, waiting, choice, now, wall))
            return
        pool.park(waiting, state.name)
        if not is_first:
            pool.changed[state.name] = None

    def choose(self, pool: Pool, waiting: WaitingCall, now: float) -> Choice | None:
        """Return the endpoint that suits a call best now, None if there is none."""
        call = waiting.call
        if self.digests[call.digest] >= CRASHES_TO_QUARANTINE:
            return None
        home = call.home or self.live.home(call.program)
        states = self.placement.sample(pool.states, pool.members, waiting.keys, home)
        candidates = self._candidates(pool, waiting, states, now)
        if not candidates and len(states) < len(pool.states):
            candidates = self._candidates(pool, waiting, pool.states, now)
        return self.placement.choose(call, waiting.output_tokens, candidates)

    def _candidates(
        self,
        pool: Pool,
        waiting: WaitingCall,
        states: list[EndpointState],
        now: float,
    ) -> list[Candidate]:
        call = waiting.call
        is_lookup = call.call_class is CallClass.LOOKUP
        is_suspect = self.quarantine.is_suspect(call.digest)
        candidates = []
        for state in states:
            if state.name in call.excluded or not state.is_open(now):
                continue
            if not self.domains.allows(state.settings.domain, now):
                continue
            if is_suspect and state.suspect:
                continue
            if is_lookup and not self._has_slot(state, call.call_class, now):
                continue
            cached = self._cached_tokens(state, waiting.keys)
            if state.name == call.home:
                cached = max(cached, int(HOME_SHARE * call.prompt_tokens))
            ahead = 0 if is_lookup else pool.parked_counts.get(state.name, 0)
            candidates.append(Candidate(state, cached, ahead))
        return candidates

    def _cached_tokens(self, state: EndpointState, keys: tuple[int, ...]) -> int:
        if not self.decisions.cache or not keys:
            return 0
        return self.cache.cached_chunks(state.name, keys) * CHUNK_TOKENS

    def _has_slot(
        self, state: EndpointState, call_class: CallClass, now: float
    ) -> bool:
        return not self.decisions.slots or self.slots.free(state, call_class, now)

    def _may_start(
        self, state: EndpointState, waiting: WaitingCall, now: float
    ) -> bool:
        if not state.is_open(now):
            return False
        if state.suspect and self.quarantine.is_suspect(waiting.call.digest):
            return False
        return self._has_slot(state, waiting.call.call_class, now)

    def _start(
        self,
        pool: Pool,
        waiting: WaitingCall,
        choice: Choice,
        now: float,
        wall: float,
    ) -> Assignment:
        call = waiting.call
        state = choice.state
        pool.remove(waiting)
        self.slots.take(state)
        if call.digest:
            self.digests[call.digest] += 1
        if self.quarantine.is_suspect(call.digest):
            state.suspect = call.id
        running = RunningCall(
            call=call,
            keys=waiting.keys,
            started=now,
            cached_tokens=choice.cached_tokens,
            uncached_tokens=choice.uncached_tokens,
            queued_prefill_tokens=state.prefill_tokens,
            batch=state.load(),
        )
        state.start(running, now, wall)
        self.domains.sent(state.settings.domain, now)
        self.cache.store(state.name, waiting.keys)
        self.programs.find(call.program, now).calls += 1
        if call.prompt_tokens:
            self.live.moved(call, state, choice.cached_tokens, now)
        return Assignment(
            call=call,
            endpoint=state.name,
            cached_tokens=choice.cached_tokens,
            predicted_seconds=choice.run_seconds,
            reason=_reason(choice, running.batch, now - waiting.submitted),
            import_from=choice.import_from,
        )


def _reason(choice: Choice, batch: int, waited: float) -> str:
    parts = [f"{batch} calls ran there", f"it waited {waited:.1f} s"]
    prompt = choice.cached_tokens + choice.uncached_tokens
    if prompt:
        held = f"{choice.cached_tokens} of {prompt} prompt tokens were held"
        parts.insert(0, held)
    if choice.import_from:
        parts.append(f"the prefix comes from {choice.import_from}")
    return f"Chosen for the least cost: {', '.join(parts)}."
