"""Tests know when their process was held up, and don't count that time."""

import time

import pytest

from hold_ups import MIN_SECONDS, MIN_TOLD_SECONDS, HoldUp, HoldUps, running_seconds

STOP_SECONDS = 3 * MIN_TOLD_SECONDS


def recorder(*times):
    """Return a recorder whose thread wakes at these times, and has ended."""
    readings = iter(times)

    def read():
        reading = next(readings)
        one.is_running = reading < times[-1]
        return reading

    one = HoldUps(lambda: 0.0)
    one.monotonic = read
    one._tick()
    one.monotonic = lambda: times[-1]
    return one


class TestHoldUps:
    def test_a_late_tick_is_told(self):
        one = recorder(0.01, 0.02, 0.02 + STOP_SECONDS)
        assert [late.seconds for late in one.recorded] == pytest.approx([STOP_SECONDS])
        assert "held up for 0.30 s" in one.since(0.0)[0]

    def test_a_short_one_is_counted_and_not_told(self):
        one = recorder(0.01, 0.01 + 1.5 * MIN_SECONDS)
        assert len(one.recorded) == 1
        assert one.since(0.0) == []

    def test_a_garbage_collection_is_told(self):
        one = HoldUps()
        one._count_collection("start", {})
        one.collection_began_at -= 0.25
        one._count_collection("stop", {})
        assert one.collection_seconds == pytest.approx(0.25, abs=0.05)
        assert "0.25 s of it by garbage" in HoldUp(0.0, 0.3, 0.25).describe()


class TestRunningSeconds:
    def test_a_late_tick_does_not_count(self):
        one = recorder(0.01, 0.02, 0.02 + STOP_SECONDS, 0.03 + STOP_SECONDS)
        assert one.running_seconds(0.0) == pytest.approx(0.03)
        assert one.running_seconds(0.01, 0.02 + STOP_SECONDS / 2) == pytest.approx(0.01)

    def test_a_hold_up_that_has_just_ended_does_not_count(self):
        """The thread may run after the one that reads the time."""
        one = HoldUps(lambda: 1.0)
        one.monotonic = lambda: 1.0 + STOP_SECONDS
        assert one.running_seconds(0.9) == pytest.approx(0.1)

    def test_time_that_is_computed_or_waited_counts(self):
        began_at = time.monotonic()
        while time.monotonic() - began_at < STOP_SECONDS:
            sum(range(1_000))
        time.sleep(STOP_SECONDS)
        assert running_seconds(began_at) > 1.5 * STOP_SECONDS

    def test_the_process_of_the_tests_is_watched(self):
        began_at = time.monotonic()
        # One call that lets no other thread run, as a garbage collection does.
        sum(range(30_000_000))
        taken = time.monotonic() - began_at
        assert taken > 2 * MIN_SECONDS
        assert running_seconds(began_at) < taken / 2
