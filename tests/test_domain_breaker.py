import random

from attrs import evolve

from eelgrasslock.scheduling.circuit_breaker import (
    INITIAL_OPEN_SECONDS,
    MAX_OUTCOMES,
    BreakerState,
    CircuitBreaker,
)
from eelgrasslock.scheduling.domain_breaker import (
    INITIAL_EXCLUSION_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    TRIP_ENDPOINTS,
    TRIP_WINDOW_SECONDS,
    DomainBreaker,
)
from scheduler_factory import make_call, make_scheduler, start


def cut(watch, now=0.0, endpoints=TRIP_ENDPOINTS):
    for number in range(endpoints):
        watch.record_failure("b", f"e{number}", now)


class TestDomainWatch:
    def test_a_few_endpoints_tell_for_their_domain(self):
        watch = DomainBreaker("a")
        cut(watch)
        assert not watch.allows("b", INITIAL_EXCLUSION_SECONDS / 2)
        assert watch.allows("c", 0.0)

    def test_one_endpoint_does_not(self):
        watch = DomainBreaker("a")
        for time in range(10):
            watch.record_failure("b", "e0", time / 10)
        assert watch.allows("b", 1.0)

    def test_old_failures_do_not(self):
        watch = DomainBreaker("a")
        watch.record_failure("b", "e0", 0.0)
        watch.record_failure("b", "e1", TRIP_WINDOW_SECONDS * 1.1)
        assert watch.allows("b", TRIP_WINDOW_SECONDS * 1.1)

    def test_the_own_domain_is_never_left_out(self):
        watch = DomainBreaker("b")
        cut(watch)
        assert watch.allows("b", 0.0)

    def test_one_more_failure_leaves_it_out_for_longer(self):
        watch = DomainBreaker("a")
        cut(watch)
        later = INITIAL_EXCLUSION_SECONDS * 1.1
        assert watch.allows("b", later)
        watch.record_failure("b", "e5", later)
        assert not watch.allows("b", later + INITIAL_EXCLUSION_SECONDS * 1.5)

    def test_one_call_at_a_time_tries_it_again(self):
        watch = DomainBreaker("a")
        cut(watch)
        later = INITIAL_EXCLUSION_SECONDS * 1.1
        assert watch.allows("b", later)
        watch.record_sent("b", later)
        assert not watch.allows("b", later)
        assert watch.allows("b", later + PROBE_TIMEOUT_SECONDS)

    def test_an_answer_ends_it(self):
        watch = DomainBreaker("a")
        cut(watch)
        watch.record_success("b")
        assert watch.allows("b", 0.0)


class TestBreakerUnderLostAnswers:
    """A service whose endpoints lose one answer in twenty, under a burst."""

    def test_an_endpoint_that_loses_an_answer_now_and_then_stays(self):
        breaker = CircuitBreaker(random.Random(1))
        for number in range(400):
            if number % 20 == 19:
                breaker.record_failure(f"c{number}", number * 0.01)
            else:
                breaker.record_success(f"c{number}")
            assert breaker.state(number * 0.01) is BreakerState.CLOSED

    def test_one_that_fails_often_is_left_out(self):
        breaker = CircuitBreaker(random.Random(1))
        for number in range(MAX_OUTCOMES):
            if number % 5 < 2:
                breaker.record_failure(f"c{number}", number * 0.01)
            else:
                breaker.record_success(f"c{number}")
        assert breaker.state(0.2) is BreakerState.OPEN

    def test_it_is_tried_again_soon_and_then_later(self):
        breaker = CircuitBreaker(random.Random(1))
        for number in range(3):
            breaker.record_failure(f"c{number}", 0.0)
        later = INITIAL_OPEN_SECONDS * 1.3
        assert breaker.allows(later)
        breaker.record_sent("probe", later)
        breaker.record_failure("probe", later)
        assert not breaker.allows(later + INITIAL_OPEN_SECONDS * 1.3)


class TestCutDomain:
    def test_calls_keep_to_the_domains_in_reach(self):
        scheduler, clock = make_scheduler(engines=4, batch_limit=8)
        for name in ("e0", "e1"):
            state = scheduler.endpoint_table.states[name]
            state.settings = evolve(state.settings, domain="far")
            scheduler.domain_breaker.record_failure("far", name, clock.monotonic())
        used = {start(scheduler, make_call(f"p{n}")).endpoint for n in range(8)}
        assert used == {"e2", "e3"}
        clock.advance(INITIAL_EXCLUSION_SECONDS * 1.1)
        used = [start(scheduler, make_call(f"q{n}")).endpoint for n in range(8)]
        assert len([one for one in used if one in ("e0", "e1")]) == 1
