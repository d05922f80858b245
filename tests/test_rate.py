"""A share of a rate, by a clock that the tests move."""

from eelgrasslock.clock import ManualClock
from eelgrasslock.rate import TokenBucket


class TestTakeNow:
    def test_takes_all_or_nothing(self):
        bucket = TokenBucket(ManualClock(), per_second=10.0, burst=10.0)
        assert bucket.take_now(8)
        assert not bucket.take_now(3)
        assert bucket.take_now(2)

    def test_more_than_the_burst_are_paid_for_afterwards(self):
        clock = ManualClock()
        bucket = TokenBucket(clock, per_second=10.0, burst=10.0)
        assert bucket.take_now(30)
        clock.advance(2.5)
        assert not bucket.take_now(30)
        clock.advance(0.5)
        assert bucket.take_now(30)

    def test_fills_again_up_to_its_burst(self):
        clock = ManualClock()
        bucket = TokenBucket(clock, per_second=10.0, burst=10.0)
        assert bucket.take_now(10)
        clock.advance(0.5)
        assert not bucket.take_now(6)
        assert bucket.take_now(5)
        clock.advance(60.0)
        assert bucket.take_now(10)
        assert not bucket.take_now(1)
