"""What a daemon that may not know all versions says of them."""

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.streams.version_watch import VersionWatch

WINDOW_SECONDS = 10.0


class Watched:
    """A watch of one service, whose view of the endpoints may be old."""

    def __init__(self):
        self.clock = ManualClock()
        self.is_current = True
        self.watch = VersionWatch(self.clock, lambda: self.is_current)
        self.watch.extend_window(WINDOW_SECONDS)

    def see(self, *versions, after=0.0):
        self.clock.advance(after)
        self.watch.update(("models", one) for one in versions)
        return self.watch.only_version("models")


@pytest.fixture
def watched():
    one = Watched()
    one.see("v1")
    return one


class TestOnlyVersion:
    def test_it_is_known_after_the_whole_window(self, watched):
        assert watched.see("v1", after=WINDOW_SECONDS - 0.1) == ""
        assert watched.see("v1", after=0.2) == "v1"

    def test_it_is_not_known_from_an_old_view(self, watched):
        watched.see("v1", after=WINDOW_SECONDS)
        watched.is_current = False
        assert watched.watch.only_version("models") == ""

    def test_the_window_begins_anew_after_an_old_view(self, watched):
        watched.see("v1", after=WINDOW_SECONDS)
        watched.is_current = False
        watched.see("v1")
        watched.is_current = True
        assert watched.see("v1", after=0.1) == ""
        assert watched.see("v1", after=WINDOW_SECONDS) == "v1"

    def test_a_second_version_counts_for_the_whole_window(self, watched):
        watched.see("v1", after=WINDOW_SECONDS)
        assert watched.see("v1", "v2") == ""
        assert watched.see("v1", after=WINDOW_SECONDS - 0.1) == ""
        assert watched.see("v1", after=0.2) == "v1"

    def test_one_that_was_registered_between_two_looks_counts(self, watched):
        """Guards against streams that go on at another version after a standstill."""
        watched.see("v1", after=WINDOW_SECONDS)
        watched.watch.note("models", "v2")
        assert watched.see("v1", after=0.1) == ""

    def test_the_window_begins_anew_after_a_gap_that_no_look_fell_into(self, watched):
        """Guards against versions that came and went while a daemon stood still."""
        watched.see("v1", after=WINDOW_SECONDS)
        watched.is_current = False
        watched.watch.note_gap()
        watched.is_current = True
        assert watched.see("v1", after=0.1) == ""

    def test_a_snapshot_within_the_bound_of_the_view_is_no_gap(self, watched):
        watched.see("v1", after=WINDOW_SECONDS)
        watched.watch.note_gap()
        assert watched.see("v1", after=0.1) == "v1"
