import pytest

from eelgrasslock.configuration.settings import LimitSettings
from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.live_contexts import IDLE_TIMEOUT_SECONDS
from scheduler_factory import make_call, make_scheduler, peer_load, start

BLOCKS = 3_000


def prompt(number, blocks=BLOCKS):
    return range(number * 100_000, number * 100_000 + blocks)


def make_full(**values):
    values = {"engines": 2, "batch_limit": 8, "cache_tokens": 100_000} | values
    scheduler, clock = make_scheduler(**values)
    for number in range(3):
        call = make_call(f"p{number}", blocks=prompt(number))
        assert start(scheduler, call) is not None
        scheduler.finish(call.id, CallOutcome.DONE)
    return scheduler, clock


class TestMemoryGate:
    def test_new_programs_wait_while_caches_are_full(self):
        scheduler, clock = make_full()
        late = make_call("late", blocks=prompt(9))
        assert start(scheduler, late) is None
        scheduler.end_program("p0")
        clock.advance(1.0)
        assert [one.call for one in scheduler.assign()] == [late]

    def test_programs_that_fell_silent_make_room(self):
        scheduler, clock = make_full()
        clock.advance(IDLE_TIMEOUT_SECONDS + 1.0)
        assert start(scheduler, make_call("late", blocks=prompt(9))) is not None
        states = scheduler.endpoint_table.states.values()
        assert sum(state.live_tokens for state in states) == 16 * BLOCKS

    @pytest.mark.parametrize(
        "call",
        [
            make_call("p0", blocks=prompt(50)),
            make_call("sub-agent", blocks=prompt(0, BLOCKS + 100)),
            make_call("lookup", blocks=prompt(9), call_class=CallClass.LOOKUP),
        ],
        ids=["under way", "sub-agent", "lookup"],
    )
    def test_others_go_on(self, call):
        scheduler, _ = make_full()
        assert start(scheduler, call) is not None

    def test_an_empty_fleet_takes_any_program(self):
        scheduler, _ = make_scheduler(engines=1, cache_tokens=1_000)
        assert start(scheduler, make_call(blocks=prompt(0))) is not None

    def test_daemons_share_the_room(self):
        scheduler, _ = make_scheduler(engines=2, cache_tokens=100_000)
        scheduler.observe_peer(peer_load("b"))
        assert start(scheduler, make_call("p", blocks=prompt(0))) is not None
        assert start(scheduler, make_call("q", blocks=prompt(1))) is None

    def test_those_let_in_count_before_they_start(self):
        scheduler, _ = make_scheduler(engines=1, batch_limit=1, cache_tokens=130_000)
        for number in range(4):
            scheduler.submit(make_call(f"p{number}", blocks=prompt(number)))
        scheduler.assign()
        cache_admission = scheduler.endpoint_table.pools[
            "hydro-llm", "hydro"
        ].cache_admission
        assert cache_admission.waiting == 3
        assert cache_admission.admitted_tokens == 16 * BLOCKS

    def test_a_withdrawn_newcomer_leaves_no_trace(self):
        scheduler, _ = make_full()
        late = make_call("late", blocks=prompt(9))
        start(scheduler, late)
        scheduler.withdraw(late.id)
        cache_admission = scheduler.endpoint_table.pools[
            "hydro-llm", "hydro"
        ].cache_admission
        assert (cache_admission.waiting, cache_admission.admitted_tokens) == (0, 0)

    def test_refuses_newcomers_that_would_wait_long(self):
        limits = LimitSettings(caller_wait_seconds=20.0)
        scheduler, _ = make_full(limits=limits)
        cache_admission = scheduler.endpoint_table.pools[
            "hydro-llm", "hydro"
        ].cache_admission
        cache_admission.interval_seconds = 30.0
        start(scheduler, make_call("late", blocks=prompt(8)))
        with pytest.raises(Refusal) as caught:
            scheduler.submit(make_call("later", blocks=prompt(9)))
        assert caught.value.retry_after == pytest.approx(20.0)

    def test_does_nothing_when_switched_off(self):
        scheduler, _ = make_full(features=FeatureFlags(memory=False))
        assert start(scheduler, make_call("late", blocks=prompt(9))) is not None
