"""New programs are refused while the queues of the engines grow."""

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
    TOP_PRIORITY_SHED_ALL_RATIO,
    TOP_PRIORITY_SHED_START_RATIO,
    LoadShedder,
    ProgramStage,
    shed_share,
)

SERVICE = "lm-pool"
SLOTS = 8
# Share of the programs of the worst seconds that must end on time.
MIN_ON_TIME_SHARE = 0.7


def make_shedder(ratio, count=MIN_OBSERVATIONS):
    clock = ManualClock()
    shedder = LoadShedder(clock, random.Random(3))
    for _ in range(count):
        shedder.record_load(SERVICE, SLOTS, round(SLOTS * ratio) - SLOTS, SLOTS)
    return shedder, clock


class TestBurstOfNewPrograms:
    """For six seconds, 2.2 times as many programs start as before."""

    BURST = (4.0, 10.0)
    RECOVERED = (16.0, 24.0)

    def simulation(self, turns_away, seed):
        simulation = BurstSimulation(turns_away, seed=seed)
        simulation.run(rate=125, burst_rate=275, burst=self.BURST, until=40.0)
        return simulation

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_programs_after_the_burst_end_on_time(self, seed):
        assert self.simulation(True, seed).on_time(*self.RECOVERED) >= MIN_ON_TIME_SHARE

    def test_without_shedding_they_end_late(self):
        assert self.simulation(False, 1).on_time(*self.RECOVERED) < MIN_ON_TIME_SHARE

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_shedding_lets_more_programs_end_on_time(self, seed):
        with_shedding, without = (
            self.simulation(True, seed),
            self.simulation(False, seed),
        )
        assert with_shedding.on_time(0, 40) > without.on_time(0, 40)

    def test_nothing_is_refused_while_engines_keep_up(self):
        simulation = BurstSimulation(True)
        simulation.run(rate=60, burst_rate=60, burst=self.BURST, until=20.0)
        assert simulation.refusals == []
        assert simulation.on_time(0, 20) >= MIN_ON_TIME_SHARE


class TestShedShare:
    @pytest.mark.parametrize("stage", [ProgramStage.UNDER_WAY, ProgramStage.UNKNOWN])
    def test_running_programs_are_never_refused(self, stage):
        assert shed_share(10.0, stage, True) == 0.0

    @pytest.mark.parametrize(
        ("ratio", "has_top_priority", "share"),
        [
            (SHED_START_RATIO, False, 0.0),
            (SHED_ALL_RATIO, False, 1.0),
            ((SHED_START_RATIO + SHED_ALL_RATIO) / 2, False, 0.5),
            (TOP_PRIORITY_SHED_START_RATIO, True, 0.0),
            (TOP_PRIORITY_SHED_ALL_RATIO, True, 1.0),
            (100.0, True, 1.0),
        ],
    )
    def test_the_share_grows_with_the_load(self, ratio, has_top_priority, share):
        found = shed_share(ratio, ProgramStage.FRESH, has_top_priority)
        assert found == pytest.approx(share)

    @pytest.mark.parametrize("part", [0.25, 0.5, 0.75, 1.0])
    def test_lower_priorities_are_refused_first(self, part):
        ratio = SHED_START_RATIO + part * (SHED_ALL_RATIO - SHED_START_RATIO)
        top_share = shed_share(ratio, ProgramStage.FRESH, True)
        assert shed_share(ratio, ProgramStage.FRESH, False) > top_share

    def test_a_retried_program_gives_way_to_a_new_one(self):
        ratio = (SHED_START_RATIO + SHED_ALL_RATIO) / 2
        assert shed_share(ratio, ProgramStage.RETURNED, False) == 1.0
        assert shed_share(SHED_START_RATIO, ProgramStage.RETURNED, False) == 0.0


class TestLoadShedder:
    def test_a_refusal_has_not_run_and_has_a_retry_delay(self):
        shedder, _ = make_shedder(3.0)
        with pytest.raises(Refusal) as caught:
            shedder.check(SERVICE, ProgramStage.FRESH, False)
        refusal = caught.value
        assert (refusal.status, refusal.ran) == (429, Ran.NO)
        least = MIN_RETRY_SECONDS * (1 - RETRY_JITTER)
        most = MAX_RETRY_SECONDS * (1 + RETRY_JITTER)
        assert least <= refusal.retry_after <= most

    def test_retry_delays_are_spread_out(self):
        shedder, _ = make_shedder(3.0)
        times = set()
        for _ in range(50):
            with pytest.raises(Refusal) as caught:
                shedder.check(SERVICE, ProgramStage.FRESH, False)
            times.add(caught.value.retry_after)
        assert max(times) > 2 * min(times)

    def test_old_observations_do_not_count(self):
        shedder, clock = make_shedder(3.0)
        clock.advance(OBSERVATION_WINDOW_SECONDS + 0.1)
        shedder.check(SERVICE, ProgramStage.FRESH, False)

    def test_too_few_observations_refuse_nothing(self):
        shedder, _ = make_shedder(3.0, count=MIN_OBSERVATIONS - 1)
        shedder.check(SERVICE, ProgramStage.FRESH, False)

    def test_other_services_are_not_affected(self):
        shedder, _ = make_shedder(3.0)
        shedder.check("other", ProgramStage.FRESH, False)

    def test_an_engine_without_slots_is_ignored(self):
        shedder = LoadShedder(ManualClock(), random.Random(3))
        for _ in range(MIN_OBSERVATIONS):
            shedder.record_load(SERVICE, 9, 9, 0)
        shedder.check(SERVICE, ProgramStage.FRESH, False)
