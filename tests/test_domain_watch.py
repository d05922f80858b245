import random

from attrs import evolve

from decision_fakes import make_call, make_scheduler, start
from eelgrasslock.scheduling.breaker import (
    FIRST_OPEN_SECONDS,
    OUTCOMES_KEPT,
    Breaker,
    BreakerState,
)
from eelgrasslock.scheduling.domain_watch import (
    AVOID_SECONDS,
    CUT_ENDPOINTS,
    CUT_SECONDS,
    PROBE_SECONDS,
    DomainWatch,
)


def cut(watch, now=0.0, endpoints=CUT_ENDPOINTS):
    for number in range(endpoints):
        watch.failed("b", f"e{number}", now)


class TestDomainWatch:
    def test_a_few_endpoints_tell_for_their_domain(self):
        watch = DomainWatch("a")
        cut(watch)
        assert not watch.allows("b", AVOID_SECONDS / 2)
        assert watch.allows("c", 0.0)

    def test_one_endpoint_does_not(self):
        watch = DomainWatch("a")
        for time in range(10):
            watch.failed("b", "e0", time / 10)
        assert watch.allows("b", 1.0)

    def test_old_failures_do_not(self):
        watch = DomainWatch("a")
        watch.failed("b", "e0", 0.0)
        watch.failed("b", "e1", CUT_SECONDS * 1.1)
        assert watch.allows("b", CUT_SECONDS * 1.1)

    def test_the_own_domain_is_never_left_out(self):
        watch = DomainWatch("b")
        cut(watch)
        assert watch.allows("b", 0.0)

    def test_one_more_failure_leaves_it_out_for_longer(self):
        watch = DomainWatch("a")
        cut(watch)
        later = AVOID_SECONDS * 1.1
        assert watch.allows("b", later)
        watch.failed("b", "e5", later)
        assert not watch.allows("b", later + AVOID_SECONDS * 1.5)

    def test_one_call_at_a_time_tries_it_again(self):
        watch = DomainWatch("a")
        cut(watch)
        later = AVOID_SECONDS * 1.1
        assert watch.allows("b", later)
        watch.sent("b", later)
        assert not watch.allows("b", later)
        assert watch.allows("b", later + PROBE_SECONDS)

    def test_an_answer_ends_it(self):
        watch = DomainWatch("a")
        cut(watch)
        watch.reached("b")
        assert watch.allows("b", 0.0)


class TestBreakerUnderLostAnswers:
    """A service whose endpoints lose one answer in twenty, under a burst."""

    def test_an_endpoint_that_loses_an_answer_now_and_then_stays(self):
        breaker = Breaker(random.Random(1))
        for number in range(400):
            if number % 20 == 19:
                breaker.failed(f"c{number}", number * 0.01)
            else:
                breaker.succeeded(f"c{number}")
            assert breaker.state(number * 0.01) is BreakerState.CLOSED

    def test_one_that_fails_often_is_left_out(self):
        breaker = Breaker(random.Random(1))
        for number in range(OUTCOMES_KEPT):
            if number % 5 < 2:
                breaker.failed(f"c{number}", number * 0.01)
            else:
                breaker.succeeded(f"c{number}")
        assert breaker.state(0.2) is BreakerState.OPEN

    def test_it_is_tried_again_soon_and_then_later(self):
        breaker = Breaker(random.Random(1))
        for number in range(3):
            breaker.failed(f"c{number}", 0.0)
        later = FIRST_OPEN_SECONDS * 1.3
        assert breaker.allows(later)
        breaker.sent("probe", later)
        breaker.failed("probe", later)
        assert not breaker.allows(later + FIRST_OPEN_SECONDS * 1.3)


class TestCutDomain:
    def test_calls_keep_to_the_domains_in_reach(self):
        scheduler, clock = make_scheduler(engines=4, batch_limit=8)
        for name in ("e0", "e1"):
            state = scheduler.fleet.states[name]
            state.settings = evolve(state.settings, domain="far")
            scheduler.domains.failed("far", name, clock.monotonic())
        used = {start(scheduler, make_call(f"p{n}")).endpoint for n in range(8)}
        assert used == {"e2", "e3"}
        clock.advance(AVOID_SECONDS * 1.1)
        used = [start(scheduler, make_call(f"q{n}")).endpoint for n in range(8)]
        assert len([one for one in used if one in ("e0", "e1")]) == 1
