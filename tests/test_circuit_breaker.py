import random

import pytest

from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.circuit_breaker import (
    FAILURE_THRESHOLD,
    FAILURE_WINDOW_SECONDS,
    MAX_OPEN_SECONDS,
    BreakerState,
    CircuitBreaker,
)
from eelgrasslock.scheduling.retry_budget import RetryBudgets
from scheduler_factory import make_call, make_scheduler, start


def opened(now=0.0):
    breaker = CircuitBreaker(random.Random(1))
    breaker.record_failure("x", now, crashed=True)
    return breaker


class TestBreaker:
    @pytest.mark.parametrize(
        ("gap", "state"),
        [(1.0, BreakerState.OPEN), (FAILURE_WINDOW_SECONDS, BreakerState.CLOSED)],
    )
    def test_opens_only_on_failures_inside_its_window(self, gap, state):
        breaker = CircuitBreaker(random.Random(1))
        for number in range(FAILURE_THRESHOLD):
            breaker.record_failure(f"c{number}", number * gap)
        assert breaker.state(FAILURE_THRESHOLD * gap) is state

    def test_lets_exactly_one_probe_through(self):
        breaker = opened()
        later = MAX_OPEN_SECONDS * 2
        assert not breaker.allows(MAX_OPEN_SECONDS / 2)
        assert breaker.allows(later)
        breaker.record_sent("probe", later)
        assert not breaker.allows(later)

    @pytest.mark.parametrize(
        ("end", "state"),
        [
            ("record_success", BreakerState.CLOSED),
            ("record_failure", BreakerState.OPEN),
            ("record_inconclusive", BreakerState.HALF_OPEN),
        ],
    )
    def test_the_probe_alone_decides(self, end, state):
        breaker = opened()
        later = MAX_OPEN_SECONDS * 2
        breaker.record_sent("probe", later)
        breaker.record_success("an older call")
        assert breaker.state(later) is BreakerState.HALF_OPEN
        if end == "record_failure":
            breaker.record_failure("probe", later)
        else:
            getattr(breaker, end)("probe")
        assert breaker.state(later) is state

    @pytest.mark.parametrize(
        "end", [CallOutcome.SILENT, CallOutcome.BROKEN, CallOutcome.NOT_SENT]
    )
    def test_calls_avoid_a_failing_endpoint(self, end):
        scheduler, clock = make_scheduler(engines=2, batch_limit=8)
        for number in range(40):
            one = start(scheduler, make_call(f"p{number}"))
            clock.advance(0.1)
            failed = one.endpoint == "e0"
            scheduler.finish(one.call.id, end if failed else CallOutcome.DONE)
        assert scheduler.peer_load().open_breakers == ("e0",)
        assert start(scheduler, make_call()).endpoint == "e1"
        clock.advance(MAX_OPEN_SECONDS * 1.3)
        views = {view.endpoint: view.breaker for view in scheduler.endpoints()}
        assert views["e0"] == "half_open"

    def test_refused_requests_leave_a_healthy_endpoint_open(self):
        scheduler, _ = make_scheduler(engines=1)
        for number in range(2 * FAILURE_THRESHOLD):
            one = start(scheduler, make_call(f"p{number}"))
            scheduler.finish(one.call.id, CallOutcome.REFUSED)
        assert scheduler.peer_load().open_breakers == ()


class TestRetryBudgets:
    def make(self, ratio=0.1, retries_per_call=2):
        return RetryBudgets(ratio, retries_per_call, random.Random(3))

    def test_stops_at_the_retries_of_a_call(self):
        assert self.make().delay("p", "e0", 3) is None

    def test_a_program_that_only_fails_runs_out(self):
        budgets = self.make()
        delays = [budgets.delay("p", "e0", 1) for _ in range(5)]
        assert [delay is not None for delay in delays] == [True, True] + 3 * [False]

    def test_an_endpoint_that_only_fails_runs_out(self):
        budgets = self.make()
        delays = [budgets.delay(f"p{n}", "e0", 1) for n in range(60)]
        assert sum(delay is not None for delay in delays) == 32

    def test_first_tries_earn_retries(self):
        budgets = self.make(ratio=0.5)
        for _ in range(4):
            budgets.record_first_attempt("p", "e0")
        delays = [budgets.delay("p", "e0", 1) for _ in range(5)]
        assert sum(delay is not None for delay in delays) == 4

    def test_delays_use_the_whole_range(self):
        budgets = self.make()
        delays = [budgets.delay(f"p{n}", f"e{n}", 2) for n in range(200)]
        assert min(delays) < 0.05
        assert 0.3 < max(delays) <= 0.4
