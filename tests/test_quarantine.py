import pytest

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.calls import CallOutcome
from scheduler_factory import (
    make_call,
    make_configuration,
    make_scheduler,
    peer_load,
    start,
)


def crash(scheduler, endpoint):
    running = list(scheduler.endpoint_table.states[endpoint].running)
    for call_id in running:
        scheduler.finish(call_id, CallOutcome.CRASHED)


class TestQuarantine:
    def test_a_request_crashes_at_most_two_endpoints_in_a_row(self):
        """Sent again within the time for which two ends hold it back."""
        scheduler, clock = make_scheduler(engines=4, batch_limit=4)
        lost = []
        for attempt in range(10):
            for number in range(5):
                start(scheduler, make_call(f"ok{attempt}-{number}"))
            call = make_call(f"bad{attempt}", digest="poison")
            if len(lost) == 2:
                with pytest.raises(Refusal) as caught:
                    scheduler.submit(call)
                assert caught.value.code == "quarantined"
                assert caught.value.status == 422
                assert caught.value.ran is Ran.NO
                continue
            scheduler.submit(call)
            for _ in range(20):
                started = scheduler.assign()
                if any(one.call is call for one in started):
                    break
                clock.advance(1.0)
                for state in list(scheduler.endpoint_table.states.values()):
                    for call_id in list(state.running):
                        scheduler.finish(call_id, CallOutcome.DONE)
            endpoint = scheduler.endpoint_by_call[call.id]
            lost.append(endpoint)
            crash(scheduler, endpoint)
            clock.advance(3.0)
        assert len(lost) == 2

    def test_a_request_that_is_tried_again_crashes_three_more_in_an_hour(self):
        scheduler, clock = make_scheduler(engines=4, batch_limit=4)
        lost = []
        for _ in range(360):
            call = make_call(digest="poison")
            try:
                scheduler.submit(call)
            except Refusal:
                clock.advance(10.0)
                continue
            if [one.call for one in scheduler.assign()] == [call]:
                lost.append(clock.monotonic())
                crash(scheduler, scheduler.endpoint_by_call[call.id])
            clock.advance(10.0)
        assert len(lost) <= 3 + 3

    def test_one_end_counts_once_for_equal_calls(self):
        """Two equal lookups in flight were refused at once, after a single crash."""
        scheduler, _ = make_scheduler(engines=1, batch_limit=4)
        calls = [make_call(f"p{one}", digest="same") for one in range(3)]
        for call in calls:
            start(scheduler, call)
        scheduler.finish(calls[0].id, CallOutcome.CANCELLED)
        crash(scheduler, "e0")
        assert scheduler.quarantine.crash_count("same") == 1

    def test_a_call_of_the_next_start_has_crashed_nothing(self):
        """It was sent before the daemon had read of that start."""
        scheduler, clock = make_scheduler(engines=1, batch_limit=4)
        start(scheduler, make_call("p1", digest="before"))
        clock.advance(1.0)
        ended_at = clock.monotonic()
        clock.advance(1.0)
        start(scheduler, make_call("p2", digest="after"))
        scheduler.outcome_recorder.record_end("e0", ended_at, clock.monotonic())
        assert scheduler.quarantine.suspects() == {"before"}

    def test_suspects_run_on_different_endpoints(self):
        scheduler, clock = make_scheduler(engines=2, batch_limit=4)
        scheduler.mark_leaving("e1", True, "vm-list")
        good = start(scheduler, make_call("good", digest="good"))
        start(scheduler, make_call("bad", digest="bad"))
        scheduler.mark_leaving("e1", False, "vm-list")
        crash(scheduler, good.endpoint)
        assert scheduler.quarantine.is_suspect("good")
        clock.advance(20.0)
        suspects = [
            start(scheduler, make_call("p", digest="good")),
            start(scheduler, make_call("q", digest="bad")),
        ]
        assert suspects[0].endpoint != suspects[1].endpoint
        third = make_call("r", digest="good")
        assert start(scheduler, third) is None
        assert start(scheduler, make_call("n")) is not None
        scheduler.finish(suspects[0].call.id, CallOutcome.DONE)
        crash(scheduler, suspects[1].endpoint)
        assert not scheduler.quarantine.is_suspect("good")
        assert scheduler.quarantine.is_quarantined("bad")
        clock.advance(1.0)
        assert [one.call for one in scheduler.assign()] == [third]

    def test_copies_sent_together_still_crash_only_two(self):
        scheduler, clock = make_scheduler(engines=4, batch_limit=4)
        for number in range(4):
            scheduler.submit(make_call(f"p{number}", digest="poison"))
        started = scheduler.assign()
        assert len(started) == 2
        for one in started:
            scheduler.finish(one.call.id, CallOutcome.CRASHED)
        clock.advance(1.0)
        assert len(scheduler.expire()) == 2
        assert scheduler.assign() == []

    def test_crashes_reported_by_two_daemons_add_up(self):
        ours, _ = make_scheduler()
        ours.observe_peer(peer_load("b", suspect_digests=("poison",)))
        ours.submit(make_call("p", digest="poison"))
        ours.observe_peer(peer_load("c", suspect_digests=("poison",)))
        ours.forget_peer("b")
        with pytest.raises(Refusal):
            ours.submit(make_call("q", digest="poison"))
        [expired] = ours.expire()
        assert expired.refusal.code == "quarantined"

    def test_a_crash_is_reported_once_for_each_call(self):
        scheduler, _ = make_scheduler(engines=1, batch_limit=4)
        for number in range(3):
            start(scheduler, make_call(f"p{number}", digest=f"d{number}"))
        crash(scheduler, "e0")
        reported = scheduler.peer_load().suspect_digests
        assert sorted(reported) == ["d0", "d1", "d2"]

    def test_operators_quarantine_and_release(self):
        scheduler, _ = make_scheduler()
        scheduler.quarantine_digest("d")
        with pytest.raises(Refusal):
            scheduler.submit(make_call(digest="d"))
        scheduler.release_digest("d")
        assert start(scheduler, make_call(digest="d")) is not None

    def test_a_quarantined_request_is_not_retried(self):
        scheduler, _ = make_scheduler()
        scheduler.quarantine_digest("d")
        assert scheduler.retry_delay(make_call(digest="d"), "e0", 1) is None


class TestRemovedEndpoints:
    def test_one_is_forgotten_with_its_last_call(self):
        scheduler, clock = make_scheduler(engines=2)
        call = make_call()
        endpoint = start(scheduler, call).endpoint
        smaller = make_configuration(engines=2)
        del smaller.endpoints[endpoint]
        scheduler.configure(smaller)
        table = scheduler.endpoint_table
        scheduler.outcome_recorder.drop_past(clock.monotonic())
        assert table.find(endpoint) is not None
        scheduler.finish(call.id, CallOutcome.DONE)
        scheduler.outcome_recorder.drop_past(clock.monotonic())
        assert table.find(endpoint) is None
