"""Chooses the endpoint on which a call is expected to end first.

The cost of an endpoint is the predicted time until the call ends there, plus
what the choice costs others: prompt tokens that are computed though another
engine holds them, the answers that stall meanwhile, and live prefixes pushed
out of a full cache. Deployments weigh latency against wasted cache.
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
_RANDOM_CANDIDATES = 8
_MAX_PREFIX_HOLDERS = 4
_FULL_BATCH_SLOWDOWN = 0.6
_STALL_COST_SHARE = 0.5
_IMPORT_SETUP_SECONDS = 0.05
_USABLE_CACHE_SHARE = 0.9
_MAX_IMPORT_OCCUPANCY = 0.6


@define(eq=False)
class Candidate:
    """An endpoint as a place for one call.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    cached_tokens : int
        The part of the prompt that its cache is expected to hold.
    queued_ahead : int
        Calls that wait at this daemon for the endpoint.
    """

    state: EndpointState
    cached_tokens: int
    queued_ahead: int = 0


@frozen
class Choice:
    """The chosen endpoint and what is expected there.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    cached_tokens, uncached_tokens : int
        The parts of the prompt that need not, and need, be computed.
    wait_seconds, run_seconds : float
        Until a slot is free, and from then to the answer's end.
    cost : float
        The weighted sum that was compared.
    import_from : str
        The endpoint whose copy of the prefix is moved there, or empty.
    """

    state: EndpointState
    cached_tokens: int
    uncached_tokens: int
    wait_seconds: float
    run_seconds: float
    cost: float
    import_from: str = ""


def import_seconds(tokens: int, source: EndpointState, target: EndpointState) -> float:
    """Return how long it takes to move a prefix between engines.

    Infinite if one of them can't.
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
) -> float:
    """Return how long an engine of the stated speed runs a call.

    Parameters
    ----------
    settings : EndpointSettings
        The engine's speed and batch limit.
    queued_prefill_tokens, uncached_tokens : int
        Prompt tokens to compute before the call's own, and its own.
    output_tokens : float
        The answer's length.
    batch_size : int
        Other calls in the batch.
    """
    prefill = queued_prefill_tokens + uncached_tokens
    others = min(batch_size, settings.batch_limit - 1)
    fill = others / max(1, settings.batch_limit - 1)
    decode = output_tokens / settings.decode_tokens_per_second
    decode *= 1.0 + _FULL_BATCH_SLOWDOWN * fill
    return prefill / settings.prefill_tokens_per_second + decode


def expected_seconds(
    settings: EndpointSettings, running: RunningCall, usage: Usage
) -> float:
    """Return how long a finished call should have run at the stated speed."""
    if not usage.prompt_tokens:
        return 0.0
    return run_seconds(
        settings,
        running.queued_prefill_tokens,
        usage.prompt_tokens - usage.cached_tokens,
        usage.completion_tokens,
        running.batch_size,
    )


class Placement:
    """Scores the candidates for a call.

    Parameters
    ----------
    prefix_index : PrefixIndex
        What the engines hold.
    rng : random.Random
        Samples candidates from large pools and breaks ties.
    decisions : Decisions
        Which decisions are on.
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
        """Return the endpoints worth scoring: all of a small pool.

        Of a large one: those that hold the longest known prefix, the one that
        ran the program last, and a few at random, so that the work does not
        grow with the fleet.
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
    ) -> Choice | None:
        """Return the cheapest candidate, or None if there is none."""
        if not candidates:
            return None
        source = max(candidates, key=lambda candidate: candidate.cached_tokens)
        best: Choice | None = None
        for candidate in candidates:
            if candidate.state.kind is ServiceKind.PLAIN:
                choice = self._plain_choice(candidate)
            else:
                choice = self._engine_choice(call, output_tokens, candidate, source)
            if best is None or choice.cost < best.cost:
                best = choice
        return best

    def _plain_choice(self, candidate: Candidate) -> Choice:
        state = candidate.state
        wait = self._wait_seconds(candidate)
        run = state.service_seconds
        crowding = state.load(self.features.correction) / state.settings.batch_limit
        tie = 1e-6 * self.rng.random()
        cost = wait + run * (1.0 + crowding) + tie
        if state.settings.domain != self.domain:
            cost += self.weights.far_plain_seconds
        return Choice(state, 0, 0, wait, run, cost)

    def _engine_choice(
        self, call: Call, output_tokens: float, candidate: Candidate, source: Candidate
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
        run = run_seconds(settings, queued, uncached, output_tokens, load)
        run = run * self._slowness(state) + imported
        wait = self._wait_seconds(candidate)

        wasted = float(max(0, source.cached_tokens - cached))
        wasted += self._evicted_tokens(state, call, candidate.cached_tokens)
        if imported:
            moved = cached - candidate.cached_tokens
            wasted += moved * min(1.0, state.live_tokens / settings.cache_tokens)
        prefill_speed = settings.prefill_tokens_per_second
        stalled = min(load, settings.batch_limit) * _STALL_COST_SHARE
        stall = uncached / prefill_speed * stalled
        cost = self.weights.latency * (wait + run + stall)
        cost += self.weights.wasted_cache * wasted / prefill_speed
        cost += 1e-6 * self.rng.random()
        if settings.domain != self.domain:
            cost += self.weights.far_engine_seconds
        import_from = source.state.name if imported else ""
        return Choice(state, cached, uncached, wait, run, cost, import_from)

    def _worthwhile_import_seconds(
        self, candidate: Candidate, source: Candidate
    ) -> float:
        """Return the seconds of a worthwhile import, 0.0 if there is none."""
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

    def _wait_seconds(self, candidate: Candidate) -> float:
        """Return the expected seconds until a slot is free."""
        state = candidate.state
        limit = state.settings.batch_limit
        beyond = (
            state.load(self.features.correction) + candidate.queued_ahead + 1 - limit
        )
        if beyond <= 0:
            return 0.0
        return beyond * state.service_seconds / limit

    def _evicted_tokens(self, state: EndpointState, call: Call, cached: int) -> float:
        """Return how many tokens of live programs a placement would evict."""
        if not self.features.memory:
            return 0.0
        room = _USABLE_CACHE_SHARE * state.settings.cache_tokens - state.live_tokens
        needed = call.prompt_tokens - cached
        return max(0.0, min(float(needed), needed - room))

    def _slowness(self, state: EndpointState) -> float:
        return state.slowness if self.features.learning else 1.0
