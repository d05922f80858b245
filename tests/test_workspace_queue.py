"""Waiting calls start in a fair order of their workspaces."""

import heapq
import itertools
import random

import pytest

from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.admission import (
    MAX_WAITING_CALLS,
    MAX_WAITING_CALLS_SHARE,
)
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.workspace_clock import (
    LOWER_PRIORITY_SECONDS,
    MAX_LAG_SECONDS,
    WorkspaceClock,
)
from scheduler_factory import make_call, make_scheduler, start

RUN_SECONDS = 0.1
FEATURES = FeatureFlags(memory=False)


def drain(scheduler, clock, first):
    """Run the waiting calls one after the other, and return their programs."""
    running, order = first, []
    while running is not None:
        clock.advance(RUN_SECONDS)
        scheduler.finish(running.call.id, CallOutcome.DONE)
        running = next(iter(scheduler.assign()), None)
        if running is not None:
            order.append(running.call.program)
    return order


def busy_scheduler(**values):
    scheduler, clock = make_scheduler(
        engines=1, batch_limit=1, features=FEATURES, **values
    )
    return scheduler, clock, start(scheduler, make_call("first"))


class TestHotWorkspaceInTheQueue:
    """One workspace has ten waiting programs, another has two that come later."""

    def order(self, names):
        scheduler, clock, first = busy_scheduler()
        for number in range(10):
            scheduler.submit(make_call(f"hot{number}", workspace=names[0]))
        clock.advance(0.01)
        for number in range(2):
            scheduler.submit(make_call(f"small{number}", workspace=names[1]))
        return drain(scheduler, clock, first)

    def test_the_small_one_does_not_wait_for_all_of_its_calls(self):
        order = self.order(["hot", "small"])
        assert order.index("small0") == 1
        assert order.index("small1") <= 4
        assert len(order) == 12

    def test_without_workspaces_the_order_is_that_of_arrival(self):
        order = self.order(["", ""])
        assert order[-2:] == ["small0", "small1"]


def replay(is_fair, seed):
    """Let one workspace send seven times its usual for five seconds to two engines.

    Returns the waits and the numbers of refused calls of that time, by workspace.
    """
    rng = random.Random(seed)
    scheduler, clock = make_scheduler(engines=2, batch_limit=4, features=FEATURES)
    begin = clock.monotonic()
    hot = (begin + 5, begin + 10)
    order = itertools.count()
    events, begun = [], {}
    rates = {"hot": 12.0, "a": 8.0, "b": 8.0, "c": 4.0}
    waits = {name: [] for name in rates}
    refused = dict.fromkeys(rates, 0)
    for name, rate in rates.items():
        now = begin
        while now < begin + 15:
            is_hot = name == "hot" and hot[0] <= now < hot[1]
            now += rng.expovariate(rate * (7 if is_hot else 1))
            heapq.heappush(events, (now, next(order), name, None))
    while events:
        now, _, name, ended = heapq.heappop(events)
        clock.advance(now - clock.monotonic())
        calls = []
        if ended is None:
            workspace = name if is_fair else ""
            call = make_call(
                f"{name}{next(order)}",
                workspace=workspace,
                deadline=now + 3.0,
                max_tokens=10,
            )
            begun[call.id] = (now, name)
            try:
                scheduler.submit(call)
            except Refusal:
                calls.append(call)
        else:
            scheduler.finish(ended, CallOutcome.DONE)
        calls += [one.call for one in scheduler.expire()]
        for call in calls:
            time, name = begun[call.id]
            refused[name] += hot[0] <= time < hot[1]
        for one in scheduler.assign():
            time, name = begun[one.call.id]
            if hot[0] <= time < hot[1]:
                waits[name].append(now - time)
            end = now + 0.15 * rng.uniform(0.5, 1.5)
            heapq.heappush(events, (end, next(order), name, one.call.id))
    return waits, refused


@pytest.mark.parametrize("seed", [1, 2])
def test_a_workspace_at_seven_times_its_usual_waits_for_itself(seed):
    (fair, fair_refused), (before, before_refused) = (
        replay(True, seed),
        replay(False, seed),
    )
    for name in ("a", "b", "c"):
        assert sum(fair[name]) / len(fair[name]) < 0.2
        assert sum(before[name]) / len(before[name]) > 0.5
        assert fair_refused[name] == 0
    assert sum(before_refused.values()) > 0
    assert len(fair["hot"]) > 0.5 * len(before["hot"])


class TestOrderInAWorkspace:
    def test_a_program_under_way_goes_before_new_ones(self):
        scheduler, clock, first = busy_scheduler()
        scheduler.submit(make_call("old", workspace="w"))
        clock.advance(RUN_SECONDS)
        scheduler.finish(first.call.id, CallOutcome.DONE)
        (running,) = scheduler.assign()
        for number in range(3):
            scheduler.submit(make_call(f"new{number}", workspace="w"))
        scheduler.submit(make_call("old", workspace="w"))
        assert drain(scheduler, clock, running)[0] == "old"

    def test_lower_priority_goes_later(self):
        scheduler, clock, first = busy_scheduler()
        low = make_call("low", workspace="a", has_lower_priority=True)
        scheduler.submit(low)
        clock.advance(LOWER_PRIORITY_SECONDS / 2)
        scheduler.submit(make_call("high", workspace="b"))
        assert drain(scheduler, clock, first) == ["high", "low"]


class TestBounds:
    def test_a_hot_workspace_does_not_make_the_others_wait_longer(self):
        scheduler, _, _ = busy_scheduler()
        for number in range(10):
            scheduler.submit(make_call(f"hot{number}", workspace="hot"))
        (pool,) = (one for one in scheduler.endpoint_table.pools.values() if one.model)
        call = make_call("x")
        waits = [
            pool.predicted_wait(call.call_class, 1, name) for name in ("hot", "small")
        ]
        assert waits[1] < waits[0] / 5

    def test_it_can_take_a_part_of_the_queue_only(self):
        scheduler, _, _ = busy_scheduler()
        (pool,) = (one for one in scheduler.endpoint_table.pools.values() if one.model)
        call = make_call("x", workspace="hot")
        part = int(MAX_WAITING_CALLS * MAX_WAITING_CALLS_SHARE)
        pool.waiting_by_workspace[call.call_class, "hot"] = part
        with pytest.raises(Refusal, match="Too many calls wait"):
            scheduler.submit(call)
        assert start(scheduler, make_call("y", workspace="small")) is None
        assert len(scheduler.waiting) == 1

    def test_calls_that_leave_are_not_counted(self):
        scheduler, clock, first = busy_scheduler()
        calls = [make_call(f"p{number}", workspace="w") for number in range(3)]
        for call in calls:
            scheduler.submit(call)
        scheduler.withdraw(calls[0].id)
        drain(scheduler, clock, first)
        pools = scheduler.endpoint_table.pools.values()
        assert all(not pool.waiting_by_workspace for pool in pools)

    def test_the_lag_is_bounded(self):
        clock = WorkspaceClock()
        lags = [clock.lag("w", 3.0, True, 0.0) for _ in range(10)]
        assert lags[:2] == [0.0, 3.0]
        assert max(lags) == MAX_LAG_SECONDS

    def test_slots_that_were_free_are_not_paid_for(self):
        clock = WorkspaceClock()
        assert [clock.lag("w", 3.0, False, 0.0) for _ in range(3)] == [0.0] * 3

    def test_an_idle_workspace_is_forgotten(self):
        clock = WorkspaceClock()
        clock.lag("a", 1.0, False, 0.0)
        clock.lag("b", 1.0, False, 10.0)
        assert list(clock.busy_until) == ["b"]
