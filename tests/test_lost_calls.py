"""Calls that may have crashed their endpoint, which shows only later."""

from eelgrasslock.scheduling.lost_calls import NOTICE_SECONDS, LostCall, LostCalls


def digests_of(calls):
    return [digest for one in calls for digest in one.digests]


def calls_of(*lost):
    calls = LostCalls()
    for digest, ended_at, is_broken in lost:
        calls.add("e", LostCall((digest,), ended_at, is_broken))
    return calls


class TestLostCalls:
    def test_they_are_taken_once(self):
        calls = calls_of(("a", 1.0, True), ("b", 2.0, False))
        assert calls.has_any("e", 3.0)
        assert digests_of(calls.take("e", 3.0)) == ["a", "b"]
        assert calls.take("e", 3.0) == []

    def test_an_answer_clears_those_that_were_given_up(self):
        """Their endpoint lives; one that broke connections may have started again."""
        calls = calls_of(("a", 1.0, True), ("b", 2.0, False))
        calls.record_answer("e")
        assert digests_of(calls.take("e", 3.0)) == ["a"]

    def test_they_are_forgotten(self):
        calls = calls_of(("a", 1.0, True), ("b", 2.0, True))
        late = 1.5 + NOTICE_SECONDS
        assert digests_of(calls.take("e", late)) == ["b"]
        calls = calls_of(("a", 1.0, True))
        calls.drop_past(late)
        assert not calls.by_endpoint

    def test_they_are_in_doubt_until_their_endpoint_is_heard_of(self):
        calls = calls_of(("a", 1.0, True), ("a", 2.0, True), ("b", 2.0, False))
        calls.add("f", LostCall(("a",), 2.0, True))
        assert calls.in_doubt == {"a": 2}
        calls.record_heard("e", 1.5)
        assert calls.in_doubt == {"a": 2}
        calls.record_heard("e", 2.5)
        assert calls.in_doubt == {"a": 1}
        calls.drop_past(2.5 + NOTICE_SECONDS)
        assert not calls.in_doubt

    def test_an_old_one_goes_with_a_new_one(self):
        calls = calls_of(("a", 1.0, True), ("b", 2.0 + NOTICE_SECONDS, True))
        assert digests_of(calls.by_endpoint["e"]) == ["b"]
