"""New programs are turned away while the engines' own queues grow."""

import random

import pytest

from burst_simulation import BurstSimulation
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.load_shedding import (
    MAX_RETRY_SECONDS,
    MIN_OBSERVATIONS,
    MIN_RETRY_SECONDS,
    OBSERVATION_WINDOW_SECONDS,
    RETRY_JITTER,
    SHED_ALL_RATIO,
    SHED_START_RATIO,
    URGENT_SHED_ALL_RATIO,
    URGENT_SHED_START_RATIO,
    LoadShedder,
    ProgramStage,
    shed_share,
)

SERVICE = "lm-pool"
SLOTS = 8
# The part of their credit that programs of the worst seconds should earn.
AIM = 0.7


def make_shedder(ratio, observations=MIN_OBSERVATIONS):
    clock = ManualClock()
    shedder = LoadShedder(clock, random.Random(3))
    for _ in range(observations):
        shedder.record_load(SERVICE, SLOTS, round(SLOTS * ratio) - SLOTS, SLOTS)
    return shedder, clock


class TestBurstOfNewPrograms:
    """Six seconds in which 2.2 times as many programs begin as before."""

    BURST = (4.0, 10.0)
    RECOVERED = (16.0, 24.0)

    def simulation(self, turns_away, seed):
        simulation = BurstSimulation(turns_away, seed=seed)
        simulation.run(rate=125, burst_rate=275, burst=self.BURST, until=40.0)
        return simulation

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_programs_after_the_burst_end_in_time(self, seed):
        assert self.simulation(True, seed).on_time(*self.RECOVERED) >= AIM

    def test_without_it_they_do_not(self):
        assert self.simulation(False, 1).on_time(*self.RECOVERED) < AIM

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_more_programs_of_the_whole_end_in_time(self, seed):
        with_gate, without = self.simulation(True, seed), self.simulation(False, seed)
        assert with_gate.on_time(0, 40) > without.on_time(0, 40)

    def test_nobody_is_turned_away_when_engines_keep_up(self):
        simulation = BurstSimulation(True)
        simulation.run(rate=60, burst_rate=60, burst=self.BURST, until=20.0)
        assert simulation.refusals == []
        assert simulation.on_time(0, 20) >= AIM


class TestShare:
    @pytest.mark.parametrize("stage", [ProgramStage.UNDER_WAY, ProgramStage.UNKNOWN])
    def test_programs_under_way_are_never_turned_away(self, stage):
        assert shed_share(10.0, stage, True) == 0.0

    @pytest.mark.parametrize(
        ("ratio", "is_urgent", "share"),
        [
            (SHED_START_RATIO, False, 0.0),
            (SHED_ALL_RATIO, False, 1.0),
            ((SHED_START_RATIO + SHED_ALL_RATIO) / 2, False, 0.5),
            (URGENT_SHED_START_RATIO, True, 0.0),
            (URGENT_SHED_ALL_RATIO, True, 1.0),
            (100.0, True, 1.0),
        ],
    )
    def test_the_share_grows_with_the_crowd(self, ratio, is_urgent, share):
        found = shed_share(ratio, ProgramStage.FRESH, is_urgent)
        assert found == pytest.approx(share)

    @pytest.mark.parametrize("part", [0.25, 0.5, 0.75, 1.0])
    def test_less_urgent_programs_go_first(self, part):
        ratio = SHED_START_RATIO + part * (SHED_ALL_RATIO - SHED_START_RATIO)
        urgent = shed_share(ratio, ProgramStage.FRESH, True)
        assert shed_share(ratio, ProgramStage.FRESH, False) > urgent

    def test_one_that_came_back_yields_to_a_fresh_one(self):
        ratio = (SHED_START_RATIO + SHED_ALL_RATIO) / 2
        assert shed_share(ratio, ProgramStage.RETURNED, False) == 1.0
        assert shed_share(SHED_START_RATIO, ProgramStage.RETURNED, False) == 0.0


class TestGate:
    def test_a_refusal_says_that_nothing_ran_and_when_to_return(self):
        shedder, _ = make_shedder(3.0)
        with pytest.raises(Refusal) as caught:
            shedder.check(SERVICE, ProgramStage.FRESH, False)
        refusal = caught.value
        assert (refusal.status, refusal.ran) == (429, Ran.NO)
        least = MIN_RETRY_SECONDS * (1 - RETRY_JITTER)
        most = MAX_RETRY_SECONDS * (1 + RETRY_JITTER)
        assert least <= refusal.retry_after <= most

    def test_callers_return_spread_out(self):
        shedder, _ = make_shedder(3.0)
        times = set()
        for _ in range(50):
            with pytest.raises(Refusal) as caught:
                shedder.check(SERVICE, ProgramStage.FRESH, False)
            times.add(caught.value.retry_after)
        assert max(times) > 2 * min(times)

    def test_words_that_are_old_do_not_count(self):
        shedder, clock = make_shedder(3.0)
        clock.advance(OBSERVATION_WINDOW_SECONDS + 0.1)
        shedder.check(SERVICE, ProgramStage.FRESH, False)

    def test_too_few_words_turn_nobody_away(self):
        shedder, _ = make_shedder(3.0, observations=MIN_OBSERVATIONS - 1)
        shedder.check(SERVICE, ProgramStage.FRESH, False)

    def test_other_services_are_not_concerned(self):
        shedder, _ = make_shedder(3.0)
        shedder.check("other", ProgramStage.FRESH, False)

    def test_an_engine_without_places_tells_nothing(self):
        shedder = LoadShedder(ManualClock(), random.Random(3))
        for _ in range(MIN_OBSERVATIONS):
            shedder.record_load(SERVICE, 9, 9, 0)
        shedder.check(SERVICE, ProgramStage.FRESH, False)
