"""To which requests the ends of endpoints are put down."""

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.exchanges.request_digest import request_digest, wide_digests
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.quarantine import (
    CONTRADICTION_SECONDS,
    FIRST_HOLD_SECONDS,
    MAX_EXEMPT_CRASHES,
    Quarantine,
)
from scheduler_factory import make_call, make_scheduler, start

HOUR = 3_600.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock.monotonic)


@pytest.fixture
def end(quarantine, clock):
    """Record the end of an endpoint with some digests in flight."""

    def record(name, *digests):
        quarantine.record_crash(digests, clock.monotonic(), name)

    return record


class TestBystanders:
    """They were refused for an hour, nine of ten that were refused at all."""

    def test_what_ran_beside_the_cause_is_no_suspect(self, quarantine, end):
        end("e1", "cause", "a", "b")
        end("e2", "cause", "a", "c")
        end("e3", "cause", "d")
        assert quarantine.is_quarantined("cause")
        assert not quarantine.is_suspect("b", "c", "d")
        assert not quarantine.is_quarantined("a")

    def test_one_that_ran_beside_the_cause_and_ends_another_is_a_cause(
        self, quarantine, end
    ):
        """Several that came together hid each other."""
        for number in range(4):
            end(f"e{number}", "cause", "other")
        end("e4", "cause")
        assert quarantine.is_suspect("other")
        assert not quarantine.is_quarantined("other")
        end("e5", "other", "a")
        assert quarantine.is_quarantined("other")
        assert not quarantine.is_suspect("a")

    def test_what_other_daemons_saw_explains_an_end(self, quarantine, end):
        """One daemon has the bystanders in flight, and others the cause."""
        end("e1", "a", "b")
        end("e2", "a")
        assert quarantine.is_quarantined("a")
        quarantine.load_record("peer", "cause", 3, ("e1", "e2", "e3"))
        assert quarantine.is_quarantined("cause")
        assert not quarantine.is_quarantined("a")
        assert not quarantine.is_suspect("b")

    def test_one_that_can_not_be_told_from_the_cause_is_held_for_a_while(
        self, quarantine, end, clock
    ):
        end("e1", "cause", "a")
        end("e2", "cause", "a")
        assert quarantine.is_quarantined("a")
        clock.advance(FIRST_HOLD_SECONDS)
        assert not quarantine.is_quarantined("a")
        assert quarantine.is_suspect("a")

    def test_one_end_that_two_daemons_saw_is_one(self, quarantine, end):
        end("e1", "a")
        quarantine.load_record("peer", "a", 1, ("e1",))
        assert quarantine.crash_count("a") == 1

    def test_cleared_crashes_of_others_explain_nothing_more(self, quarantine, end):
        quarantine.load_record("peer", "cause", 3, ("e1", "e2", "e3"))
        end("e1", "a")
        assert not quarantine.is_suspect("a")
        quarantine.record_success("cause")
        assert quarantine.is_suspect("a")

    def test_many_records_leave_no_name_behind(self, quarantine):
        for number in range(50):
            quarantine.load_record("peer", f"d{number}", 1, (f"e{number}",))
        for number in range(50):
            quarantine.load_record("peer", f"d{number}", 0)
        assert not quarantine.evidence._digests_by_end


class TestWideDigests:
    def request(self, **values):
        return GatewayRequest(
            id="r",
            **{"method": "POST", "host": "h", "target": "/a/x?q=1"} | values,
        )

    @pytest.mark.parametrize(
        ("changed", "shared"),
        [
            ({"program": "p2"}, {"body", "target", "path"}),
            ({"body": b"other"}, {"program", "target", "path"}),
            ({"target": "/a/x?q=2"}, {"program", "path"}),
            ({"target": "/a/y"}, set()),
            ({"host": "other"}, set()),
            ({"workspace": "w"}, set()),
        ],
    )
    def test_they_say_what_repetitions_have_in_common(self, changed, shared):
        values = {"program": "p", "body": b"b"}
        first = wide_digests(self.request(**values))
        second = wide_digests(self.request(**values | changed))
        common = set(first) & set(second)
        assert {one.partition("-")[0] for one in common} == shared

    def test_a_bare_lookup_has_only_its_path(self):
        request = self.request(target="/a/x", method="GET")
        (path,) = wide_digests(request)
        assert path.startswith("path-")
        assert path != request_digest(request)


class TestSharedPaths:
    """One caller's requests must not shut out others that share their path."""

    def test_a_path_that_is_served_meanwhile_is_not_held(self, quarantine, end, clock):
        for number in range(10):
            quarantine.record_success("sound", "path")
            clock.advance(CONTRADICTION_SECONDS / 2)
            end(f"e{number}", f"bad {number}", "body", "path")
        assert not quarantine.refuses(("other", "path"))
        assert quarantine.refuses(("bad 11", "body", "path"))

    def test_a_success_ends_a_hold_at_once(self, quarantine, end):
        end("e1", "bad 1", "path")
        end("e2", "bad 2", "path")
        assert quarantine.refuses(("other", "path"))
        quarantine.record_success("sound", "path")
        assert not quarantine.refuses(("other", "path"))

    def test_a_caller_that_is_known_to_be_sound_is_served(self, quarantine, end, clock):
        quarantine.record_success("program", "path")
        clock.advance(CONTRADICTION_SECONDS)
        for number in range(MAX_EXEMPT_CRASHES):
            end(f"e{number}", f"bad {number}", "path")
        assert quarantine.refuses(("new", "path"))
        assert not quarantine.refuses(("program", "path"))
        end("one more", "program", "path")
        assert quarantine.refuses(("program", "path"))


class TestAnswersBeforeTheEnd:
    def run(self, scheduler, digest, outcome=CallOutcome.DONE):
        call = make_call(digest=digest)
        endpoint = start(scheduler, call).endpoint
        scheduler.finish(call.id, outcome)
        return endpoint

    @pytest.mark.parametrize("outcome", [CallOutcome.DONE, CallOutcome.FAILED])
    def test_an_end_right_after_an_answer_counts(self, outcome):
        scheduler, clock = make_scheduler(engines=1)
        for number in range(2):
            assert self.run(scheduler, "bad", outcome) == "e0"
            clock.advance(1.0)
            now = clock.monotonic()
            scheduler.outcome_recorder.record_end("e0", now, now, f"end {number}")
        assert scheduler.quarantine.is_quarantined("bad")

    def test_an_endpoint_that_answers_again_had_not_ended(self):
        scheduler, clock = make_scheduler(engines=1)
        self.run(scheduler, "first")
        clock.advance(0.1)
        self.run(scheduler, "second")
        now = clock.monotonic()
        scheduler.outcome_recorder.record_end("e0", now, now)
        assert scheduler.quarantine.suspects() == {"second"}

    def test_an_end_long_after_an_answer_says_nothing(self):
        scheduler, clock = make_scheduler(engines=1)
        self.run(scheduler, "first")
        clock.advance(1.0)
        start(scheduler, make_call(digest="second"))
        now = clock.monotonic()
        scheduler.outcome_recorder.record_end("e0", now, now)
        assert scheduler.quarantine.suspects() == {"second"}
