"""A burst that fills the engines' own queues, with programs in time and late."""

import pytest

from decision_fakes import make_call, make_plain_call, make_scheduler, start
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.calls import LoadReport
from eelgrasslock.scheduling.decisions import Decisions
from eelgrasslock.scheduling.overload import (
    LEAST_RETURN_SECONDS,
    MOST_RETURN_SECONDS,
    RETURN_SPREAD,
    Crowding,
)

SLOTS = 8


def busy_scheduler(queued, decisions=None):
    """A daemon that has heard that calls queue at both engines."""
    scheduler, clock = make_scheduler(2, decisions, batch_limit=80, slots=SLOTS)
    clock.advance(10.0)
    for name in ("e0", "e1"):
        report = LoadReport(running=SLOTS, queued=queued, time=clock.now())
        scheduler.observe_load(name, report)
    return scheduler, clock


def call(clock, seconds_left, program="p", **values):
    finish_at = clock.monotonic() + seconds_left
    return make_call(program, finish_at=finish_at, **values)


class TestLatePrograms:
    @pytest.mark.parametrize(
        ("queued", "is_urgent"), [(4, False), (40, False), (40, True)]
    )
    def test_yield_to_those_in_time(self, queued, is_urgent):
        scheduler, clock = busy_scheduler(queued)
        with pytest.raises(Refusal) as raised:
            scheduler.submit(call(clock, -0.5, is_urgent=is_urgent))
        refusal = raised.value
        assert refusal.code == "program_late"
        assert refusal.ran is Ran.NO
        least = LEAST_RETURN_SECONDS * (1.0 - RETURN_SPREAD)
        most = MOST_RETURN_SECONDS * (1.0 + RETURN_SPREAD)
        assert least <= refusal.retry_after <= most
        assert start(scheduler, call(clock, 0.5, "q")) is not None

    def test_of_the_most_urgent_route_yield_last(self):
        scheduler, clock = busy_scheduler(4)
        assert start(scheduler, call(clock, -0.5)) is not None

    def test_are_served_where_nobody_waits(self):
        scheduler, clock = busy_scheduler(0)
        assert start(scheduler, call(clock, -60.0)) is not None

    def test_are_served_once_the_burst_is_over(self):
        scheduler, clock = busy_scheduler(40)
        with pytest.raises(Refusal):
            scheduler.submit(call(clock, -0.5))
        clock.advance(1.0)
        for name in ("e0", "e1"):
            report = LoadReport(running=2, queued=0, time=clock.now())
            scheduler.observe_load(name, report)
        assert start(scheduler, call(clock, -1.5)) is not None

    def test_come_back_at_different_times(self):
        scheduler, clock = busy_scheduler(8)
        times = set()
        for number in range(20):
            with pytest.raises(Refusal) as raised:
                scheduler.submit(call(clock, -0.5, f"p{number}"))
            times.add(raised.value.retry_after)
        assert len(times) > 10

    def test_calls_outside_of_programs_and_tools_are_not_asked(self):
        scheduler, clock = busy_scheduler(40)
        assert start(scheduler, make_call("single")) is not None
        late = clock.monotonic() - 1.0
        assert start(scheduler, make_plain_call(finish_at=late)) is not None

    def test_are_served_like_others_without_the_decision(self):
        scheduler, clock = busy_scheduler(40, Decisions(late_yields=False))
        assert start(scheduler, call(clock, -0.5)) is not None


class TestCrowding:
    def test_tells_when_the_queue_is_worked_off(self):
        busy = Crowding(in_flight=36, slots=16, call_seconds=0.5)
        assert busy.stretch == pytest.approx(2.25)
        assert busy.seconds_until(1.25) == pytest.approx(0.5)

    def test_of_no_endpoints_is_none(self):
        busy = Crowding(in_flight=0, slots=0, call_seconds=0.5)
        assert busy.stretch == 0.0
        assert busy.seconds_until(1.25) == 0.0
