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


def exclude(breaker, now=0.0, endpoints=TRIP_ENDPOINTS):
    for number in range(endpoints):
        breaker.record_failure("b", f"e{number}", now)


class TestDomainBreaker:
    def test_failures_of_a_few_endpoints_exclude_their_domain(self):
        breaker = DomainBreaker("a")
        exclude(breaker)
        assert not breaker.allows("b", INITIAL_EXCLUSION_SECONDS / 2)
        assert breaker.allows("c", 0.0)

    def test_failures_of_one_endpoint_do_not_exclude_it(self):
        breaker = DomainBreaker("a")
        for time in range(10):
            breaker.record_failure("b", "e0", time / 10)
        assert breaker.allows("b", 1.0)

    def test_old_failures_do_not_exclude_it(self):
        breaker = DomainBreaker("a")
        breaker.record_failure("b", "e0", 0.0)
        breaker.record_failure("b", "e1", TRIP_WINDOW_SECONDS * 1.1)
        assert breaker.allows("b", TRIP_WINDOW_SECONDS * 1.1)

    def test_the_own_domain_is_never_excluded(self):
        breaker = DomainBreaker("b")
        exclude(breaker)
        assert breaker.allows("b", 0.0)

    def test_one_more_failure_excludes_it_for_longer(self):
        breaker = DomainBreaker("a")
        exclude(breaker)
        later = INITIAL_EXCLUSION_SECONDS * 1.1
        assert breaker.allows("b", later)
        breaker.record_failure("b", "e5", later)
        assert not breaker.allows("b", later + INITIAL_EXCLUSION_SECONDS * 1.5)

    def test_one_probe_at_a_time_is_allowed(self):
        breaker = DomainBreaker("a")
        exclude(breaker)
        later = INITIAL_EXCLUSION_SECONDS * 1.1
        assert breaker.allows("b", later)
        breaker.record_sent("b", later)
        assert not breaker.allows("b", later)
        assert breaker.allows("b", later + PROBE_TIMEOUT_SECONDS)

    def test_an_answer_ends_the_exclusion(self):
        breaker = DomainBreaker("a")
        exclude(breaker)
        breaker.record_success("b")
        assert breaker.allows("b", 0.0)


class TestBreakerUnderLostAnswers:
    """Endpoints that lose one answer in twenty stay in use under a burst."""

    def test_rare_failures_keep_the_breaker_closed(self):
        breaker = CircuitBreaker(random.Random(1))
        for number in range(400):
            if number % 20 == 19:
                breaker.record_failure(f"c{number}", number * 0.01)
            else:
                breaker.record_success(f"c{number}")
            assert breaker.state(number * 0.01) is BreakerState.CLOSED

    def test_frequent_failures_open_the_breaker(self):
        breaker = CircuitBreaker(random.Random(1))
        for number in range(MAX_OUTCOMES):
            if number % 5 < 2:
                breaker.record_failure(f"c{number}", number * 0.01)
            else:
                breaker.record_success(f"c{number}")
        assert breaker.state(0.2) is BreakerState.OPEN

    def test_the_open_time_grows_after_a_failed_probe(self):
        breaker = CircuitBreaker(random.Random(1))
        for number in range(3):
            breaker.record_failure(f"c{number}", 0.0)
        later = INITIAL_OPEN_SECONDS * 1.3
        assert breaker.allows(later)
        breaker.record_sent("probe", later)
        breaker.record_failure("probe", later)
        assert not breaker.allows(later + INITIAL_OPEN_SECONDS * 1.3)


class TestUnreachableDomain:
    def test_calls_stay_in_reachable_domains(self):
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
