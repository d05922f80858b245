"""Workspaces that ask for more than their shares are refused first."""

import functools
import random
import re
from types import MappingProxyType

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.load_shedding import (
    LOWER_WORKSPACE_RATIO,
    SHED_ALL_RATIO,
    SHED_START_RATIO,
    TOP_PRIORITY_SHED_START_RATIO,
    CallerWorkspace,
    LoadShedder,
    ProgramStage,
)
from eelgrasslock.scheduling.workspace_demand import (
    EXCESS_RATIO,
    MIN_HISTORY_SECONDS,
    MIN_RECENT_REQUESTS,
    Excess,
    WorkspaceDemand,
    fair_refusal_share,
)
from eelgrasslock.workspaces.workspace import Workspace, WorkspaceDirectory
from workspace_simulation import WORKSPACES, WorkspaceSimulation

SERVICE = "lm-pool"
HOT = 7.0
WINDOW = (10.0, 17.0)
UNTIL = 28.0
ALL = range(WORKSPACES)


@functools.cache
def simulate(is_fair, seed, hot=1.0, everyone=1.0, shift=0.0):
    """Return a simulation in which the largest workspace sends a multiple."""
    simulation = WorkspaceSimulation(is_fair, seed=seed)
    simulation.shift = shift
    simulation.run({0: hot}, WINDOW, UNTIL, everyone)
    return simulation


def fill(demand, rates, begin, end):
    now = begin
    while now < end:
        now += 0.1
        for name, rate in rates.items():
            for _ in range(round(rate / 10)):
                demand.record(name, now)


@pytest.mark.parametrize("seed", [1, 2])
class TestHotWorkspace:
    def test_the_others_are_served_and_on_time_more_often(self, seed):
        fair, before = (simulate(one, seed, HOT) for one in (True, False))
        rest = range(1, WORKSPACES)
        assert before.served_of(rest, *WINDOW) < 0.9
        assert fair.served_of(rest, *WINDOW) > 0.98
        assert fair.on_time_of(rest, *WINDOW) > before.on_time_of(rest, *WINDOW)
        assert fair.on_time_of(ALL, 0, UNTIL) > before.on_time_of(ALL, 0, UNTIL)

    def test_it_is_served_more_than_a_quarter_as_often_as_all(self, seed):
        fair = simulate(True, seed, HOT)
        served = fair.served_of(ALL, *WINDOW)
        assert fair.served_of([0], *WINDOW) > 0.5 * served


class TestAllWorkspacesAlike:
    def test_a_burst_of_all_is_shed_as_without_workspaces(self):
        fair, before = (simulate(one, 1, everyone=2.2) for one in (True, False))
        difference = fair.on_time_of(ALL, 0, UNTIL) - before.on_time_of(ALL, 0, UNTIL)
        assert abs(difference) < 0.03

    def test_callers_who_move_between_domains_are_served(self):
        fair = simulate(True, 1, shift=0.5)
        assert fair.refusals == []

    def test_callers_who_move_in_a_burst_are_not_starved(self):
        fair = simulate(True, 1, everyone=2.2, shift=0.5)
        moved, stayed = (fair.served_of(ALL[one::2], *WINDOW) for one in (0, 1))
        assert moved > 0.9 * stayed


class TestWorkspaceDemand:
    RATES = MappingProxyType({"a": 30, "b": 20, "c": 20, "d": 10})

    def demand(self, factors):
        demand = WorkspaceDemand()
        fill(demand, self.RATES, 0.0, 20.0)
        rates = {name: rate * factors.get(name, 1) for name, rate in self.RATES.items()}
        fill(demand, rates, 20.0, 24.0)
        return demand.excesses(24.0)

    def test_the_usual_demand_of_a_large_workspace_is_no_excess(self):
        assert self.demand({}) == {}

    def test_a_multiple_of_the_usual_is_an_excess(self):
        assert set(self.demand({"a": 5})) == {"a"}

    def test_few_requests_prove_nothing(self):
        demand = WorkspaceDemand()
        fill(demand, self.RATES, 0.0, 20.0)
        for _ in range(int(MIN_RECENT_REQUESTS) - 1):
            demand.record("new", 20.0)
        assert demand.excesses(20.0) == {}

    def test_nobody_is_judged_shortly_after_the_start(self):
        demand = WorkspaceDemand()
        fill(demand, {"a": 100, "b": 10, "c": 10}, 0.0, MIN_HISTORY_SECONDS - 1)
        assert demand.excesses(MIN_HISTORY_SECONDS - 1) == {}

    def test_refused_programs_count_with_their_later_turns(self):
        demand = WorkspaceDemand()
        for _ in range(10):
            demand.record("a", 0.0, is_new=True)
            for _ in range(4):
                demand.record("a", 0.0)
        before = demand.rate(0.0)
        demand.record_refused("a", 0.0)
        added = demand.rate(0.0) - before
        assert added == pytest.approx(before / 50 * 4)


class TestFairRefusalShare:
    HOT = Excess(demand=60.0, share=10.0)
    WARM = Excess(demand=20.0, share=10.0)

    @pytest.mark.parametrize("refused", [0.0, 0.1, 0.3, 0.5, 0.8, 1.0])
    def test_as_many_are_refused_as_if_all_paid_alike(self, refused):
        excesses = [self.HOT, self.WARM]
        total = 100.0
        found = sum(
            one.demand * fair_refusal_share(refused, one, excesses, total)
            for one in excesses
        )
        others = total - self.HOT.demand - self.WARM.demand
        found += others * fair_refusal_share(refused, None, excesses, total)
        assert found == pytest.approx(refused * total)

    def test_those_within_their_shares_pay_last(self):
        excesses = [self.HOT, self.WARM]
        assert fair_refusal_share(0.3, None, excesses, 100.0) == 0.0
        assert fair_refusal_share(0.3, self.WARM, excesses, 100.0) == 0.0
        assert fair_refusal_share(0.3, self.HOT, excesses, 100.0) == pytest.approx(0.5)


class TestPriority:
    def refused(self, ratio, has_top_priority, workspace, tries=200):
        shedder = LoadShedder(ManualClock(), random.Random(3))
        for _ in range(10):
            shedder.record_load(SERVICE, round(1000 * ratio), 0, 1000)
        count = 0
        for _ in range(tries):
            try:
                shedder.check(
                    SERVICE, ProgramStage.FRESH, has_top_priority, workspace=workspace
                )
            except Refusal:
                count += 1
        return count

    def test_a_lower_workspace_goes_before_the_route(self):
        ratio = SHED_START_RATIO - LOWER_WORKSPACE_RATIO / 2
        lower, other = CallerWorkspace("low", True), CallerWorkspace("high")
        assert self.refused(ratio, True, lower) > 0
        assert self.refused(ratio, False, other) == 0

    def test_equal_workspaces_follow_the_route(self):
        ratio = TOP_PRIORITY_SHED_START_RATIO
        assert self.refused(ratio, True, CallerWorkspace("a")) == 0
        assert self.refused(ratio, False, CallerWorkspace("a")) > 0

    def test_a_directory_tells_who_is_lower(self):
        directory = WorkspaceDirectory(
            [Workspace(name="a"), Workspace(name="b", priority=2)]
        )
        lower = [directory.has_lower_priority(name) for name in ("a", "b", "unknown")]
        assert lower == [False, True, False]


def test_a_refusal_names_the_workspace_and_its_excess():
    clock = ManualClock()
    shedder = LoadShedder(clock, random.Random(3))
    for second in range(30):
        clock.advance(0.5)
        for name in ("a", "b", "c", "d", "e"):
            for _ in range(40 if second > 24 and name == "a" else 2):
                workspace = CallerWorkspace(name)
                shedder.check(
                    SERVICE, ProgramStage.UNDER_WAY, True, workspace=workspace
                )
    assert shedder.workspaces_beyond_share() == 1
    for _ in range(10):
        shedder.record_load(SERVICE, 8, 8, 8)
    load = shedder.service_loads[SERVICE].ratio(clock.monotonic())
    assert load > SHED_ALL_RATIO
    with pytest.raises(Refusal) as caught:
        shedder.check(
            SERVICE, ProgramStage.FRESH, False, workspace=CallerWorkspace("a")
        )
    found = re.search(r"workspace a asks for ([0-9.]+) times", caught.value.sentence)
    assert found is not None
    assert float(found.group(1)) > EXCESS_RATIO
