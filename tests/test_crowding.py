"""New programs are turned away while the engines' own queues grow."""

import random

import pytest

from burst_replay import BurstReplay
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.crowding import (
    CROWDED,
    FULL,
    LEAST_RETURN_SECONDS,
    LEAST_WORDS,
    MOST_RETURN_SECONDS,
    RETURN_SPREAD,
    URGENT_CROWDED,
    URGENT_FULL,
    WINDOW_SECONDS,
    NewProgramGate,
    Standing,
    share_turned_away,
)

SERVICE = "lm-pool"
SLOTS = 8
# The part of their credit that programs of the worst seconds should earn.
AIM = 0.7


def make_gate(ratio, words=LEAST_WORDS):
    clock = ManualClock()
    gate = NewProgramGate(clock, random.Random(3))
    for _ in range(words):
        gate.hear(SERVICE, SLOTS, round(SLOTS * ratio) - SLOTS, SLOTS)
    return gate, clock


class TestBurstOfNewPrograms:
    """Six seconds in which 2.2 times as many programs begin as before."""

    BURST = (4.0, 10.0)
    RECOVERED = (16.0, 24.0)

    def replay(self, turns_away, seed):
        replay = BurstReplay(turns_away, seed=seed)
        replay.run(rate=125, burst_rate=275, burst=self.BURST, until=40.0)
        return replay

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_programs_after_the_burst_end_in_time(self, seed):
        assert self.replay(True, seed).on_time(*self.RECOVERED) >= AIM

    def test_without_it_they_do_not(self):
        assert self.replay(False, 1).on_time(*self.RECOVERED) < AIM

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_more_programs_of_the_whole_end_in_time(self, seed):
        with_gate, without = self.replay(True, seed), self.replay(False, seed)
        assert with_gate.on_time(0, 40) > without.on_time(0, 40)

    def test_nobody_is_turned_away_when_engines_keep_up(self):
        replay = BurstReplay(True)
        replay.run(rate=60, burst_rate=60, burst=self.BURST, until=20.0)
        assert replay.refusals == []
        assert replay.on_time(0, 20) >= AIM


class TestShare:
    @pytest.mark.parametrize("standing", [Standing.UNDER_WAY, Standing.UNKNOWN])
    def test_programs_under_way_are_never_turned_away(self, standing):
        assert share_turned_away(10.0, standing, True) == 0.0

    @pytest.mark.parametrize(
        ("ratio", "is_urgent", "share"),
        [
            (CROWDED, False, 0.0),
            (FULL, False, 1.0),
            ((CROWDED + FULL) / 2, False, 0.5),
            (URGENT_CROWDED, True, 0.0),
            (URGENT_FULL, True, 1.0),
            (100.0, True, 1.0),
        ],
    )
    def test_the_share_grows_with_the_crowd(self, ratio, is_urgent, share):
        found = share_turned_away(ratio, Standing.FRESH, is_urgent)
        assert found == pytest.approx(share)

    @pytest.mark.parametrize("part", [0.25, 0.5, 0.75, 1.0])
    def test_less_urgent_programs_go_first(self, part):
        ratio = CROWDED + part * (FULL - CROWDED)
        urgent = share_turned_away(ratio, Standing.FRESH, True)
        assert share_turned_away(ratio, Standing.FRESH, False) > urgent

    def test_one_that_came_back_yields_to_a_fresh_one(self):
        ratio = (CROWDED + FULL) / 2
        assert share_turned_away(ratio, Standing.RETURNED, False) == 1.0
        assert share_turned_away(CROWDED, Standing.RETURNED, False) == 0.0


class TestGate:
    def test_a_refusal_says_that_nothing_ran_and_when_to_return(self):
        gate, _ = make_gate(3.0)
        with pytest.raises(Refusal) as caught:
            gate.check(SERVICE, Standing.FRESH, False)
        refusal = caught.value
        assert (refusal.status, refusal.ran) == (429, Ran.NO)
        least = LEAST_RETURN_SECONDS * (1 - RETURN_SPREAD)
        most = MOST_RETURN_SECONDS * (1 + RETURN_SPREAD)
        assert least <= refusal.retry_after <= most

    def test_callers_return_spread_out(self):
        gate, _ = make_gate(3.0)
        times = set()
        for _ in range(50):
            with pytest.raises(Refusal) as caught:
                gate.check(SERVICE, Standing.FRESH, False)
            times.add(caught.value.retry_after)
        assert max(times) > 2 * min(times)

    def test_words_that_are_old_do_not_count(self):
        gate, clock = make_gate(3.0)
        clock.advance(WINDOW_SECONDS + 0.1)
        gate.check(SERVICE, Standing.FRESH, False)

    def test_too_few_words_turn_nobody_away(self):
        gate, _ = make_gate(3.0, words=LEAST_WORDS - 1)
        gate.check(SERVICE, Standing.FRESH, False)

    def test_other_services_are_not_concerned(self):
        gate, _ = make_gate(3.0)
        gate.check("other", Standing.FRESH, False)

    def test_an_engine_without_places_tells_nothing(self):
        gate = NewProgramGate(ManualClock(), random.Random(3))
        for _ in range(LEAST_WORDS):
            gate.hear(SERVICE, 9, 9, 0)
        gate.check(SERVICE, Standing.FRESH, False)
