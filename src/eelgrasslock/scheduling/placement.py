"""Chooses the endpoint with the least cost for a call.

The cost of an endpoint is the predicted time until the call ends there, plus
what the choice costs other calls: prompt tokens that are computed although
another engine has them in its cache, answers that stall meanwhile, and live
prefixes that are evicted from a full cache. Each deployment sets the weights of
latency and wasted cache.
"""

import random

from attrs import define, frozen

from eelgrasslock.configuration.settings import (
    EndpointSettings,
    ServiceKind,
    WeightSettings,
)
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.endpoint_state import EndpointState, RunningCall
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.prefix_index import CHUNK_TOKENS, PrefixIndex

MAX_UNSAMPLED_ENDPOINTS = 16
# The run time of a call at the plain endpoint that served its object before, as a
# share of that at another one.
PREFERRED_RUN_SHARE = 0.5
_RANDOM_CANDIDATES = 8
_MAX_PREFIX_HOLDERS = 4
_FULL_BATCH_SLOWDOWN = 0.6
_STALL_COST_SHARE = 0.5
_IMPORT_SETUP_SECONDS = 0.05
_USABLE_CACHE_SHARE = 0.9
_MAX_IMPORT_OCCUPANCY = 0.6


@define(eq=False)
class Candidate:
    """An endpoint that may run a call.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    cached_tokens : int
        Number of prompt tokens that are expected in its cache.
    queued_ahead : int
        Number of calls that wait at this daemon for the endpoint.
    token_wait : float
        Expected seconds until the endpoint's limit of requests allows the call.
    """

    state: EndpointState
    cached_tokens: int
    queued_ahead: int = 0
    token_wait: float = 0.0


@frozen
class Choice:
    """The chosen endpoint and the predictions for the call.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    cached_tokens, uncached_tokens : int
        Numbers of prompt tokens in the cache, and to be computed.
    wait_seconds, run_seconds : float
        Predicted time until a slot is free, and run time after that.
    cost : float
        Weighted sum by which candidates are compared.
    import_from : str
        The endpoint from which the prefix is imported, or empty.
    """

    state: EndpointState
    cached_tokens: int
    uncached_tokens: int
    wait_seconds: float
    run_seconds: float
    cost: float
    import_from: str = ""


def import_seconds(tokens: int, source: EndpointState, target: EndpointState) -> float:
    """Return the seconds that an import of a prefix takes.

    Infinite if one of the engines does not support imports.
    """
    speed = min(
        source.settings.kv_tokens_per_second, target.settings.kv_tokens_per_second
    )
    if speed <= 0:
        return float("inf")
    return _IMPORT_SETUP_SECONDS + tokens / speed


def run_seconds(
    settings: EndpointSettings,
    queued_prefill_tokens: int,
    uncached_tokens: int,
    output_tokens: float,
    batch_size: int,
    batch_slots: int,
) -> float:
    """Return the predicted run time of a call on an engine, in seconds.

    Parameters
    ----------
    settings : EndpointSettings
        Configured speed of the engine.
    queued_prefill_tokens, uncached_tokens : int
        Prompt tokens to compute before those of the call, and for the call.
    output_tokens : float
        Length of the answer.
    batch_size : int
        Number of other calls in the batch.
    batch_slots : int
        Number of calls in a full batch.
    """
    prefill = queued_prefill_tokens + uncached_tokens
    others = min(batch_size, batch_slots - 1)
    fill = others / max(1, batch_slots - 1)
    decode = output_tokens / settings.decode_tokens_per_second
    decode *= 1.0 + _FULL_BATCH_SLOWDOWN * fill
    return prefill / settings.prefill_tokens_per_second + decode


def expected_seconds(state: EndpointState, running: RunningCall, usage: Usage) -> float:
    """Return the seconds that a finished call takes at the configured speed."""
    if not usage.prompt_tokens:
        return 0.0
    return run_seconds(
        state.settings,
        running.queued_prefill_tokens,
        usage.prompt_tokens - usage.cached_tokens,
        usage.completion_tokens,
        running.batch_size,
        state.batch_slots,
    )


class Placement:
    """Compares the candidates for a call by cost.

    Parameters
    ----------
    prefix_index : PrefixIndex
        Estimate of what the engines have in their caches.
    rng : random.Random
        Samples candidates from large pools, and breaks ties.
    features : FeatureFlags
        The scheduling features that are on.
    """

    def __init__(
        self, prefix_index: PrefixIndex, rng: random.Random, features: FeatureFlags
    ) -> None:
        self.prefix_index = prefix_index
        self.rng = rng
        self.features = features
        self.weights = WeightSettings()
        self.domain = ""

    def sample(
        self,
        states: list[EndpointState],
        states_by_name: dict[str, EndpointState],
        keys: tuple[int, ...],
        preferred: str,
    ) -> list[EndpointState]:
        """Return the endpoints to compare: all endpoints of a small pool.

        Of a large pool, these are the endpoints with the longest cached prefix,
        the one with the program's context, and a few random ones, so that the
        work does not grow with the size of the pool.
        """
        if len(states) <= MAX_UNSAMPLED_ENDPOINTS:
            return states
        names = set(self.prefix_index.best_holders(keys)[:_MAX_PREFIX_HOLDERS]) | {
            preferred
        }
        sampled = [self.rng.choice(states) for _ in range(_RANDOM_CANDIDATES)]
        by_name = {state.name: state for state in sampled}
        by_name |= {
            name: states_by_name[name] for name in names if name in states_by_name
        }
        return list(by_name.values())

    def choose(
        self,
        call: Call,
        output_tokens: float,
        candidates: list[Candidate],
        now: float,
    ) -> Choice | None:
        """Return the cheapest candidate, or None if there is none."""
        if not candidates:
            return None
        source = max(candidates, key=lambda candidate: candidate.cached_tokens)
        best: Choice | None = None
        for candidate in candidates:
            if candidate.state.kind is ServiceKind.PLAIN:
                choice = self._plain_choice(call, candidate, now)
            else:
                choice = self._engine_choice(
                    call, output_tokens, candidate, source, now
                )
            if best is None or choice.cost < best.cost:
                best = choice
        return best

    def _plain_choice(self, call: Call, candidate: Candidate, now: float) -> Choice:
        state = candidate.state
        wait = self._wait_seconds(candidate, now)
        run = _plain_run_seconds(state, call, now)
        if state.name == call.preferred_endpoint:
            run *= PREFERRED_RUN_SHARE
        occupancy = state.load(self.features.correction) / state.batch_slots
        tie = 1e-6 * self.rng.random()
        cost = wait + run * (1.0 + occupancy) + tie
        if state.settings.domain != self.domain:
            cost += self.weights.far_plain_seconds
        cost += _failure_cost(state, now)
        return Choice(state, 0, 0, wait, run, cost)

    def _engine_choice(
        self,
        call: Call,
        output_tokens: float,
        candidate: Candidate,
        source: Candidate,
        now: float,
    ) -> Choice:
        state = candidate.state
        settings = state.settings
        cached = min(candidate.cached_tokens, call.prompt_tokens)
        imported = self._worthwhile_import_seconds(candidate, source)
        if imported:
            cached = min(source.cached_tokens, call.prompt_tokens)
        uncached = call.prompt_tokens - cached
        load = state.load(self.features.correction)
        queued = state.prefill_tokens
        slots = state.batch_slots
        run = run_seconds(settings, queued, uncached, output_tokens, load, slots)
        run = run * self._slowness(state, now) * _run_factor(state, now) + imported
        wait = self._wait_seconds(candidate, now)

        wasted = float(max(0, source.cached_tokens - cached))
        wasted += self._evicted_tokens(state, call, candidate.cached_tokens)
        if imported:
            moved = cached - candidate.cached_tokens
            wasted += moved * min(1.0, state.live_tokens / settings.cache_tokens)
        prefill_speed = settings.prefill_tokens_per_second
        stalled = min(load, slots) * _STALL_COST_SHARE
        stall = uncached / prefill_speed * stalled
        cost = self.weights.latency * (wait + run + stall)
        cost += self.weights.wasted_cache * wasted / prefill_speed
        cost += 1e-6 * self.rng.random()
        if settings.domain != self.domain:
            cost += self.weights.far_engine_seconds
        cost += self.weights.latency * _failure_cost(state, now)
        import_from = source.state.name if imported else ""
        return Choice(state, cached, uncached, wait, run, cost, import_from)

    def _worthwhile_import_seconds(
        self, candidate: Candidate, source: Candidate
    ) -> float:
        """Return the seconds of an import if it saves time, otherwise 0.0."""
        if not self.features.migration or candidate is source:
            return 0.0
        tokens = source.cached_tokens - candidate.cached_tokens
        if tokens < CHUNK_TOKENS:
            return 0.0
        state = candidate.state
        if state.live_tokens > _MAX_IMPORT_OCCUPANCY * state.settings.cache_tokens:
            return 0.0
        seconds = import_seconds(tokens, source.state, state)
        computed = tokens / state.settings.prefill_tokens_per_second
        stalled = computed * len(state.running) * _STALL_COST_SHARE
        return seconds if seconds < computed + stalled else 0.0

    def _wait_seconds(self, candidate: Candidate, now: float) -> float:
        """Return the expected seconds until a slot is free and the limit allows it."""
        state = candidate.state
        limit = state.comfortable_calls(now)
        beyond = (
            state.load(self.features.correction) + candidate.queued_ahead + 1 - limit
        )
        if beyond <= 0:
            return candidate.token_wait
        return max(candidate.token_wait, beyond * state.service_seconds / limit)

    def _evicted_tokens(self, state: EndpointState, call: Call, cached: int) -> float:
        """Return how many tokens of live programs the call would evict."""
        if not self.features.memory:
            return 0.0
        free = _USABLE_CACHE_SHARE * state.settings.cache_tokens - state.live_tokens
        needed = call.prompt_tokens - cached
        return max(0.0, min(float(needed), needed - free))

    def _slowness(self, state: EndpointState, now: float) -> float:
        return state.current_slowness(now) if self.features.learning else 1.0


def _run_factor(state: EndpointState, now: float) -> float:
    return 1.0 if state.capacity is None else state.capacity.run_factor(now)


def _failure_cost(state: EndpointState, now: float) -> float:
    return 0.0 if state.capacity is None else state.capacity.failure_cost(now)


def _plain_run_seconds(state: EndpointState, call: Call, now: float) -> float:
    """Return the predicted run time on a plain endpoint, in seconds."""
    if state.capacity is None:
        return state.service_seconds
    usual = state.capacity.service.run_seconds.get(call.kind, state.service_seconds)
    return usual * state.current_slowness(now) * state.capacity.run_factor(now)
