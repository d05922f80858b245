"""Start and end of an outage of the log, as a follower reports them."""

import random

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.log.keyed_follower import RECOVERY_SECONDS, KeyedFollower
from eelgrasslock.log.read_schedule import ReadSchedule


@pytest.fixture
def follower():
    return KeyedFollower(
        None,
        "keyed.one",
        IgnoringState(),
        ManualClock(),
        random.Random(1),
        ReadSchedule(wait_seconds=1.0, pause_seconds=0.1),
    )


class IgnoringState:
    """A state that ignores everything."""

    def set_log_unavailable(self, unavailable, read_sent_at):
        """Ignore the log's availability."""


class TestOutage:
    def test_there_is_none_at_the_start(self, follower):
        assert follower.outage_started_at() == float("inf")

    def test_it_starts_with_the_first_failure(self, follower):
        started_at = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        follower.clock.advance(20.0)
        follower._set_unavailable(unavailable=True, reason="down")
        assert follower.outage_started_at() == started_at

    def test_it_counts_for_the_recovery_time_after_its_end(self, follower):
        started_at = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        follower.clock.advance(9.0)
        follower._set_unavailable(unavailable=False)
        follower.clock.advance(RECOVERY_SECONDS - 0.1)
        assert follower.outage_started_at() == started_at
        follower.clock.advance(0.2)
        assert follower.outage_started_at() == float("inf")

    def test_a_failure_during_recovery_continues_it(self, follower):
        started_at = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        follower._set_unavailable(unavailable=False)
        follower.clock.advance(1.0)
        follower._set_unavailable(unavailable=True, reason="down")
        assert follower.outage_started_at() == started_at

    def test_a_failure_after_recovery_starts_another(self, follower):
        follower._set_unavailable(unavailable=True, reason="down")
        follower._set_unavailable(unavailable=False)
        follower.clock.advance(RECOVERY_SECONDS + 1.0)
        started_at = follower.clock.monotonic()
        follower._set_unavailable(unavailable=True, reason="down")
        assert follower.outage_started_at() == started_at
