"""What endpoints take well is learned, and callers gain by it."""

import random
from types import SimpleNamespace

import pytest

from capacity_replay import SLOTS, CapacityReplay, ReplayedEngine
from eelgrasslock.exchanges.attempt_result import AttemptOutcome, AttemptResult
from eelgrasslock.forwarding.forwarder import call_outcome
from eelgrasslock.scheduling.calls import CallOutcome, LoadReport
from eelgrasslock.scheduling.concurrency_limit import ConcurrencyLimit
from eelgrasslock.scheduling.outlier_detection import (
    INITIAL_EJECTION_SECONDS,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_SECONDS,
    MIN_CALLS,
    ServiceOutliers,
)
from eelgrasslock.scheduling.reported_slowdown import ReportedSlowdown
from eelgrasslock.scheduling.slow_start import MIN_SHARE, RAMP_SECONDS, SlowStart
from scheduler_factory import make_call, make_plain_call, make_scheduler, start

SEEDS = [1, 2, 3]
SECONDS = 8


def changing_speed(seed):
    """Return the slowdown of a machine that changes five times a second."""
    rng = random.Random(seed)
    figures = [rng.choice([0.55, 0.8, 1.2, 3.0]) for _ in range(1_000)]
    return lambda now: figures[int(now * 5) % len(figures)]


def make_learning_scheduler():
    scheduler, clock = make_scheduler()
    scheduler.endpoint_table.learns_capacity = True
    scheduler.configure(scheduler.configuration)
    return scheduler, clock


def replay(make_engines, rate, seed):
    """Return the same calls without and with learned capacity."""
    return [
        CapacityReplay(make_engines(), learns, seed).run(rate, SECONDS)
        for learns in (False, True)
    ]


@pytest.mark.parametrize("seed", SEEDS)
class TestReplays:
    def test_engines_that_slow_down_long_before_they_are_full(self, seed):
        def engines():
            return [ReplayedEngine(knee=4) for _ in range(4)]

        before, after = replay(engines, 133, seed)
        assert after.mean_seconds < before.mean_seconds
        states = after.scheduler.endpoint_table.states
        assert all(states[name].slot_limit < SLOTS for name in after.engines)

    def test_machines_whose_speed_changes_many_times_a_second(self, seed):
        def engines():
            return [ReplayedEngine(machine=changing_speed(n)) for n in range(6)]

        before, after = replay(engines, 120, seed)
        assert after.mean_seconds < before.mean_seconds

    def test_an_engine_that_fails_calls_although_its_health_is_good(self, seed):
        def engines():
            others = [ReplayedEngine() for _ in range(5)]
            return [ReplayedEngine(failed_share=0.4), *others]

        before, after = replay(engines, 150, seed)
        assert after.failed_share < before.failed_share / 2

    def test_an_engine_that_goes_down_and_up_by_turns(self, seed):
        def engines():
            flapping = ReplayedEngine(is_down=lambda now: int(now) % 2 == 0)
            return [flapping, *(ReplayedEngine() for _ in range(5))]

        before, after = replay(engines, 150, seed)
        assert after.failed_share < before.failed_share

    def test_a_service_that_fails_as_a_whole_stays_in_use(self, seed):
        engines = [ReplayedEngine(failed_share=0.4) for _ in range(4)]
        after = CapacityReplay(engines, True, seed).run(60, SECONDS)
        assert after.refused == 0


class TestSwitch:
    @pytest.mark.parametrize("slowdown", [None, 3.0])
    def test_without_the_setting_reports_change_nothing(self, slowdown):
        scheduler, clock = make_scheduler()
        report = LoadReport(running=0, queued=0, slots=1, slowdown=slowdown)
        scheduler.observe_load("e0", report)
        clock.advance(1.0)
        for _ in range(20):
            one = start(scheduler, make_call())
            scheduler.finish(one.call.id, CallOutcome.FAILED)
        assert {one.learned_limit for one in scheduler.endpoints()} == {None}
        assert scheduler.endpoint_table.states["e0"].slot_limit == 2

    @pytest.mark.parametrize("slowdown", [None, 1.2])
    def test_with_it_the_first_report_tells_the_slots_of_a_service(self, slowdown):
        scheduler, _ = make_learning_scheduler()
        report = LoadReport(running=0, queued=0, slots=8, slowdown=slowdown)
        scheduler.observe_load("e0", report)
        learned = {one.endpoint: one.learned_limit for one in scheduler.endpoints()}
        assert learned == {"e0": 8.0, "e1": 8.0, "app0": 2.0, "app1": 2.0}


class TestConcurrencyLimit:
    def record(self, limit, ratio, load, count):
        for _ in range(count):
            limit.record(ratio, load)

    def test_falls_to_a_floor_while_runs_take_long_and_grows_back(self):
        limit = ConcurrencyLimit(SLOTS)
        self.record(limit, 1.0, 0, 10)
        self.record(limit, 3.0, SLOTS, 300)
        assert limit.limit == limit.floor
        self.record(limit, 1.0, SLOTS, 300)
        assert limit.limit == SLOTS

    def test_slow_runs_at_low_load_are_the_endpoints_speed(self):
        limit = ConcurrencyLimit(SLOTS)
        self.record(limit, 1.0, 0, 10)
        self.record(limit, 3.0, 0, 300)
        assert limit.limit == SLOTS


class TestReportedSlowdown:
    def test_a_report_counts_less_with_its_age(self):
        slowdown = ReportedSlowdown()
        for number in range(30):
            slowdown.record(1.0, number)
        slowdown.record(3.0, 30.0)
        factors = [slowdown.factor(30.0 + age) for age in (0.0, 0.2, 1.0, 60.0)]
        assert factors == sorted(factors, reverse=True)
        assert factors[0] == pytest.approx(3.0)
        assert factors[-1] == pytest.approx(1.0, abs=0.01)


class TestOutliers:
    def fail(self, outliers, endpoint, now, count=2 * int(MIN_CALLS)):
        for _ in range(count):
            outliers.record(endpoint, True, now)

    def serve(self, outliers, endpoints, now):
        for endpoint in endpoints:
            for _ in range(20):
                outliers.record(endpoint, False, now)

    def test_ejections_grow_to_a_bound(self):
        outliers, now, seconds = ServiceOutliers(), 0.0, []
        for _ in range(6):
            self.serve(outliers, "bcd", now)
            self.fail(outliers, "a", now)
            assert outliers.eject_if_outlier("a", 4, now)
            seconds.append(outliers.ejected_until("a") - now)
            now = outliers.ejected_until("a") + 1.0
        assert seconds[0] == INITIAL_EJECTION_SECONDS
        assert seconds == sorted(seconds)
        assert seconds[-1] == MAX_EJECTION_SECONDS

    def test_a_bounded_part_of_a_service_is_ejected(self):
        outliers = ServiceOutliers()
        names = [f"e{number}" for number in range(10)]
        self.serve(outliers, names[5:], 0.0)
        ejected = 0
        for name in names[:5]:
            self.fail(outliers, name, 0.0)
            ejected += outliers.eject_if_outlier(name, 10 - ejected, 0.0)
        assert ejected == MAX_EJECTED_SHARE * 10

    def test_few_failures_eject_nothing(self):
        outliers = ServiceOutliers()
        self.serve(outliers, "bcd", 0.0)
        self.fail(outliers, "a", 0.0, count=int(MIN_CALLS) - 1)
        assert not outliers.eject_if_outlier("a", 4, 0.0)
        assert 0.0 < outliers.excess_share("a", 0.0) < 1.0

    def test_the_last_open_endpoint_takes_calls_again(self):
        scheduler, clock = make_scheduler(engines=2)
        scheduler.endpoint_table.learn_capacity("hydro-llm")
        states = scheduler.endpoint_table.states
        outliers = states["e0"].capacity.service.outliers
        self.serve(outliers, ["e1"], clock.monotonic())
        self.fail(outliers, "e0", clock.monotonic())
        assert outliers.eject_if_outlier("e0", 2, clock.monotonic())
        assert start(scheduler, make_call()).endpoint == "e1"
        scheduler.mark_leaving("e1", True, "test")
        assert start(scheduler, make_call()).endpoint == "e0"


class TestSlowStart:
    def test_the_share_grows_to_the_whole(self):
        slow_start = SlowStart()
        assert slow_start.share(0.0) == 1.0
        slow_start.begin(10.0)
        shares = [slow_start.share(10.0 + n * RAMP_SECONDS / 4) for n in range(5)]
        assert shares[0] == MIN_SHARE
        assert shares == sorted(shares)
        assert shares[-1] == 1.0


class TestPlainEndpoints:
    def test_calls_go_where_the_machine_is_less_busy(self):
        scheduler, _ = make_learning_scheduler()
        for name, slowdown in (("app0", 3.0), ("app1", 1.0)):
            report = LoadReport(running=0, queued=0, slots=2, slowdown=slowdown)
            scheduler.observe_load(name, report)
        assert start(scheduler, make_plain_call(kind="orders")).endpoint == "app1"

    def test_run_times_are_compared_by_kind_of_call(self):
        scheduler, clock = make_scheduler()
        scheduler.endpoint_table.learn_capacity("licence-app")
        for number in range(60):
            kind, seconds = (("short", 0.01), ("long", 0.2))[number % 2]
            one = start(scheduler, make_plain_call(kind=kind))
            clock.advance(seconds)
            scheduler.finish(one.call.id, CallOutcome.DONE)
        used = [scheduler.endpoint_table.states[name] for name in ("app0", "app1")]
        assert all(0.9 < state.slowness < 1.1 for state in used)


class TestErrorsOfEndpoints:
    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (200, CallOutcome.DONE),
            (404, CallOutcome.DONE),
            (500, CallOutcome.FAILED),
            (504, CallOutcome.DONE),
        ],
    )
    def test_only_an_error_of_its_own_is_a_failure(self, status, outcome):
        context = SimpleNamespace(response_status=status)
        result = AttemptResult(outcome=AttemptOutcome.SERVED)
        assert call_outcome(context, result) is outcome

    def test_it_says_nothing_of_the_endpoints_speed(self):
        scheduler, _ = make_scheduler(engines=1)
        scheduler.endpoint_table.learn_capacity("hydro-llm")
        one = start(scheduler, make_call())
        before = scheduler.endpoint_table.states["e0"].service_seconds
        scheduler.finish(one.call.id, CallOutcome.FAILED)
        assert scheduler.endpoint_table.states["e0"].service_seconds == before
