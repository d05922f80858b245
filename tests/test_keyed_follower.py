"""Since when a follower has missed the log."""

import random

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.log.keyed_follower import RECOVERY_SECONDS, KeyedFollower


@pytest.fixture
def follower():
    return KeyedFollower(
        None, "keyed.one", Silent(), ManualClock(), random.Random(1), 1.0, 0.1
    )


class Silent:
    """A state that takes no notice."""

    def set_log_unavailable(self, unavailable):
        """Hear that the log is away or back."""


class TestTrouble:
    def test_there_is_none_at_first(self, follower):
        assert follower.outage_started_at() == float("inf")

    def test_it_began_when_the_log_went_away(self, follower):
        began = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        follower.clock.advance(20.0)
        follower._set_unavailable(unavailable=True, reason="down")
        assert follower.outage_started_at() == began

    def test_it_counts_for_a_while_after_its_end(self, follower):
        began = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        follower.clock.advance(9.0)
        follower._set_unavailable(unavailable=False)
        follower.clock.advance(RECOVERY_SECONDS - 0.1)
        assert follower.outage_started_at() == began
        follower.clock.advance(0.2)
        assert follower.outage_started_at() == float("inf")

    def test_another_outage_meanwhile_continues_the_first(self, follower):
        began = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        follower._set_unavailable(unavailable=False)
        follower.clock.advance(1.0)
        follower._set_unavailable(unavailable=True, reason="down")
        assert follower.outage_started_at() == began

    def test_one_long_after_it_is_another(self, follower):
        follower._set_unavailable(unavailable=True, reason="down")
        follower._set_unavailable(unavailable=False)
        follower.clock.advance(RECOVERY_SECONDS + 1.0)
        began = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        assert follower.outage_started_at() == began
