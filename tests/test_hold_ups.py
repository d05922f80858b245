"""A test that fails says whether its process was held up."""

import pytest

from hold_ups import MIN_SECONDS, HoldUps


class TestHoldUps:
    def test_a_late_tick_is_told(self):
        readings = iter([0.0, 0.01, 0.02, 0.02 + 3 * MIN_SECONDS])

        def read():
            reading = next(readings)
            one.is_running = reading < MIN_SECONDS
            return reading

        one = HoldUps(read)
        one._tick()
        assert [seconds for _, seconds in one.recorded] == pytest.approx([0.3])
        assert "held up for 0.30 s" in one.since(0.0)[0]
