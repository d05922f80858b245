import pytest
from attrs import evolve

from eelgrasslock.configuration.settings import (
    AliasSettings,
    ModelSettings,
    WeightSettings,
)
from eelgrasslock.requests.aliases import resolve_models
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CacheEvent, CallOutcome, LoadReport
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.placement import MAX_UNSAMPLED_ENDPOINTS
from eelgrasslock.scheduling.prefix_index import (
    CHUNK_TOKENS,
    PrefixIndex,
    chunk_keys,
)
from scheduler_factory import make_call, make_configuration, make_scheduler, start


def finish(scheduler, assignment):
    usage = Usage(prompt_tokens=assignment.call.prompt_tokens, completion_tokens=20)
    scheduler.finish(assignment.call.id, CallOutcome.DONE, usage)


class TestPlacement:
    def test_goes_where_the_prefix_is_cached(self):
        scheduler, _ = make_scheduler(engines=8)
        first = start(scheduler, make_call(blocks=range(640)))
        finish(scheduler, first)
        again = start(scheduler, make_call(blocks=range(700)))
        assert again.endpoint == first.endpoint
        assert again.cached_tokens == 640 * 16

    def test_sub_agents_follow_their_parents_prefix(self):
        scheduler, _ = make_scheduler(engines=8, batch_limit=16)
        parent = start(scheduler, make_call("parent", blocks=range(1600)))
        children = [
            start(scheduler, make_call(f"child{n}", blocks=range(1600)))
            for n in range(3)
        ]
        assert {child.endpoint for child in children} == {parent.endpoint}

    def test_leaves_a_full_engine_when_the_wait_costs_more(self):
        scheduler, _ = make_scheduler(engines=2, batch_limit=1)
        first = start(scheduler, make_call("p", blocks=range(32)))
        other = start(scheduler, make_call("q", blocks=range(33)))
        assert other.endpoint != first.endpoint

    def test_a_slow_endpoint_gets_less(self):
        scheduler, clock = make_scheduler(engines=2, batch_limit=4)
        for number in range(60):
            pair = [start(scheduler, make_call(f"p{number}-{n}")) for n in range(2)]
            clock.advance(0.5)
            for one in pair:
                if one.endpoint == "e1":
                    finish(scheduler, one)
            clock.advance(20.0)
            for one in pair:
                if one.endpoint == "e0":
                    finish(scheduler, one)
        views = {view.endpoint: view.slowness for view in scheduler.endpoints()}
        assert views["e0"] > 3 * views["e1"]
        assert start(scheduler, make_call()).endpoint == "e1"
        for _ in range(500):
            scheduler.observe_load("e0", LoadReport(running=0, queued=0))
        assert scheduler.endpoint_table.states["e0"].slowness < 1.1

    def test_imports_a_prefix_when_that_is_quicker(self):
        scheduler, _ = make_scheduler(
            engines=2, batch_limit=1, kv_tokens_per_second=80_000.0
        )
        first = start(scheduler, make_call("p", blocks=range(1600)))
        other = start(scheduler, make_call("q", blocks=range(1600)))
        assert other.import_from == first.endpoint

    def test_does_not_import_into_a_cache_full_of_live_programs(self):
        scheduler, _ = make_scheduler(
            engines=2, batch_limit=1, kv_tokens_per_second=80_000.0
        )
        first = start(scheduler, make_call("p", blocks=range(1600)))
        for state in scheduler.endpoint_table.states.values():
            state.live_tokens = state.settings.cache_tokens
            state.service_seconds = 100.0
        other = start(scheduler, make_call("q", blocks=range(1600)))
        assert other.endpoint != first.endpoint
        assert other.import_from == ""

    @pytest.mark.parametrize("speed", [0.0, 500.0])
    def test_recomputes_when_an_import_is_slow_or_unknown(self, speed):
        scheduler, _ = make_scheduler(engines=2, kv_tokens_per_second=speed)
        start(scheduler, make_call("p", blocks=range(64)))
        start(scheduler, make_call("q", blocks=range(64)))
        third = start(scheduler, make_call("r", blocks=range(64)))
        assert third.import_from == ""

    def test_looks_at_a_bounded_part_of_a_large_fleet(self):
        scheduler, _ = make_scheduler(engines=500)
        first = start(scheduler, make_call(blocks=range(640)))
        finish(scheduler, first)
        pool = scheduler.endpoint_table.pools["hydro-llm", "hydro"]
        keys = chunk_keys(tuple(range(640)))
        sampled = scheduler.starter.placement.sample(
            pool.states, pool.states_by_name, keys, ""
        )
        assert len(sampled) <= MAX_UNSAMPLED_ENDPOINTS
        assert first.endpoint in {state.name for state in sampled}

    def test_ignores_the_cache_when_switched_off(self):
        scheduler, _ = make_scheduler(engines=8, features=FeatureFlags(cache=False))
        first = start(scheduler, make_call(blocks=range(640)))
        again = start(scheduler, make_call(blocks=range(640)))
        assert first.endpoint != again.endpoint


class TestCacheEstimate:
    def make(self, chunks=4, **values):
        index = PrefixIndex(**values)
        index.set_capacity("e0", chunks * CHUNK_TOKENS)
        index.set_capacity("e1", chunks * CHUNK_TOKENS)
        return index

    def test_evicts_the_least_recently_used_from_its_end(self):
        index = self.make()
        index.record_prefix("e0", (1, 2, 3))
        index.record_prefix("e0", (11, 12))
        assert index.cached_chunks("e0", (1, 2, 3)) == 2
        assert index.cached_chunks("e0", (11, 12)) == 2

    @pytest.mark.parametrize(
        ("event", "left"),
        [
            (CacheEvent(number=1, evicted=(2, 3)), 1),
            (CacheEvent(number=9, evicted=(99,)), 3),
            (CacheEvent(number=1, stored=(77,)), 3),
        ],
    )
    def test_takes_in_late_events(self, event, left):
        index = self.make()
        index.record_prefix("e0", (1, 2, 3))
        index.apply_event("e0", event)
        assert index.cached_chunks("e0", (1, 2, 3)) == left

    def test_learns_of_known_prefixes_elsewhere_and_counts_gaps(self):
        index = self.make()
        index.record_prefix("e0", (1, 2))
        index.apply_event("e1", CacheEvent(number=1, stored=(1, 2, 50)))
        index.apply_event("e1", CacheEvent(number=5))
        assert index.cached_chunks("e1", (1, 2)) == 2
        assert index.event_gaps == 1

    def test_memory_is_bounded(self):
        index = self.make(chunks=1_000, max_chunks=100)
        for number in range(50):
            index.record_prefix("e0", tuple(range(number * 10, number * 10 + 10)))
        assert index.chunk_count <= 100
        assert len(index.endpoints_by_chunk) <= 100

    def test_forgets_a_crashed_engine(self):
        index = self.make()
        index.record_prefix("e0", (1, 2))
        index.record_prefix("e1", (1,))
        index.clear_endpoint("e0")
        assert index.best_holders((1, 2)) == ("e1",)
        assert index.chunk_count == 1


class TestAliases:
    @pytest.mark.parametrize(
        ("name", "models"),
        [
            ("hydro", ["hydro"]),
            ("best", ["large", "hydro"]),
            ("nested", ["large", "hydro"]),
            ("loop", []),
            ("unknown", []),
        ],
    )
    def test_each_position_gives_at_most_one_model(self, name, models):
        configuration = make_configuration()
        configuration.models["large"] = ModelSettings(service="hydro-llm")
        configuration.aliases.update(
            best=AliasSettings(models=["large", "retired", "hydro"]),
            nested=AliasSettings(models=["best", "hydro", "large"]),
            loop=AliasSettings(models=["loop"]),
        )
        assert resolve_models(configuration, name) == models


class TestCacheOfPlainServices:
    def test_an_endpoint_without_cache_is_forgotten_and_used_again(self):
        """It took no calls any more: its chunks were counted without a size."""
        index = PrefixIndex()
        index.clear_endpoint("plain")
        index.record_prefix("plain", ())
        index.record_prefix("plain", (1, 2))
        assert index.cached_chunks("plain", (1, 2)) == 0


class TestOtherDomains:
    """Turns that carry a whole prompt, where bytes between domains cost."""

    def scheduler(self, seconds):
        scheduler, _ = make_scheduler(engines=4, batch_limit=8)
        weights = WeightSettings(far_engine_seconds=seconds)
        scheduler.configure(evolve(scheduler.configuration, weights=weights))
        for name in ("e0", "e1"):
            state = scheduler.endpoint_table.states[name]
            state.settings = evolve(state.settings, domain="far")
        return scheduler

    def test_a_call_keeps_to_its_domain_while_it_can(self):
        scheduler = self.scheduler(seconds=1.0)
        used = {start(scheduler, make_call(f"p{n}")).endpoint for n in range(4)}
        assert used <= {"e2", "e3"}

    def test_a_much_better_place_is_worth_its_price(self):
        scheduler = self.scheduler(seconds=0.001)
        used = {start(scheduler, make_call(f"p{n}")).endpoint for n in range(8)}
        assert used & {"e0", "e1"}
