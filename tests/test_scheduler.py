import pytest

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CallOutcome, LoadReport, PeerLoad
from scheduler_factory import (
    make_call,
    make_configuration,
    make_plain_call,
    make_scheduler,
    peer_load,
    start,
)


class TestScheduler:
    def test_starts_a_call_and_explains_the_choice(self):
        scheduler, _ = make_scheduler()
        assignment = start(scheduler, make_call())
        assert assignment.endpoint in ("e0", "e1")
        assert assignment.reason.endswith(".")
        assert assignment.predicted_seconds > 0

    def test_holds_calls_back_at_the_batch_limit(self):
        scheduler, _ = make_scheduler(engines=1)
        calls = [make_call(f"p{number}") for number in range(3)]
        started = [start(scheduler, call) for call in calls]
        assert started[2] is None
        scheduler.finish(calls[0].id, CallOutcome.DONE, Usage(completion_tokens=5))
        assert [one.call.id for one in scheduler.assign()] == [calls[2].id]

    def test_spreads_plain_calls_over_the_least_loaded(self):
        scheduler, _ = make_scheduler()
        endpoints = [start(scheduler, make_plain_call()).endpoint for _ in range(2)]
        assert sorted(endpoints) == ["app0", "app1"]

    def test_withdraws_a_waiting_call(self):
        scheduler, _ = make_scheduler(engines=1)
        calls = [make_call(f"p{number}") for number in range(3)]
        for call in calls:
            start(scheduler, call)
        scheduler.withdraw(calls[2].id)
        scheduler.finish(calls[0].id, CallOutcome.DONE)
        assert scheduler.assign() == []
        assert scheduler.next_wake() is None

    def test_unknown_ids_change_nothing(self):
        scheduler, _ = make_scheduler()
        scheduler.withdraw("nobody")
        scheduler.finish("nobody", CallOutcome.DONE)
        scheduler.progress("nobody", 3)
        scheduler.observe_load("nobody", LoadReport(running=1, queued=0))
        scheduler.mark_leaving("nobody", True, "vm-list")
        scheduler.end_program("nobody")
        scheduler.forget_peer("nobody")
        assert scheduler.peer_load().in_flight == {}

    def test_a_new_configuration_keeps_calls_in_flight(self):
        scheduler, _ = make_scheduler(engines=2)
        call = make_call()
        endpoint = start(scheduler, call).endpoint
        scheduler.configure(make_configuration(engines=3))
        assert scheduler.peer_load().in_flight == {endpoint: 1}
        scheduler.finish(call.id, CallOutcome.DONE)
        assert scheduler.peer_load().in_flight == {}

    def test_a_call_whose_endpoint_was_removed_can_finish(self):
        scheduler, _ = make_scheduler(engines=1)
        call = make_call()
        start(scheduler, call)
        waiting = [make_call(f"p{number}") for number in range(3)]
        for one in waiting:
            start(scheduler, one)
        scheduler.configure(make_configuration(engines=0))
        scheduler.finish(call.id, CallOutcome.DONE)
        assert scheduler.assign() == []
        scheduler.configure(make_configuration(engines=1))
        assert [one.call for one in scheduler.assign()] == [waiting[1]]
        scheduler.finish(waiting[0].id, CallOutcome.DONE)
        assert [one.call for one in scheduler.assign()] == [waiting[2]]


class TestLeaving:
    @pytest.mark.parametrize("sources", [["vm-list"], ["vm-list", "peer"]])
    def test_no_source_alone_lets_work_back(self, sources):
        scheduler, _ = make_scheduler(engines=1)
        for source in sources:
            scheduler.mark_leaving("e0", True, source)
        scheduler.mark_leaving("e0", False, "operator")
        with pytest.raises(Refusal) as caught:
            scheduler.submit(make_call())
        assert caught.value.code == "no_endpoint"
        assert caught.value.ran is Ran.NO
        for source in sources:
            scheduler.mark_leaving("e0", False, source)
        assert start(scheduler, make_call()) is not None

    def test_waiting_calls_move_off_a_leaving_endpoint(self):
        scheduler, _ = make_scheduler(engines=2, batch_limit=1)
        calls = [make_call(f"p{number}") for number in range(4)]
        running = [start(scheduler, call) for call in calls][:2]
        scheduler.mark_leaving("e0", True, "vm-list")
        kept = next(one for one in running if one.endpoint == "e1")
        for _ in range(2):
            scheduler.finish(kept.call.id, CallOutcome.DONE)
            [kept] = scheduler.assign()
            assert kept.endpoint == "e1"


class TestSharedSlots:
    def test_fair_share_is_free_whatever_peers_do(self):
        scheduler, _ = make_scheduler(engines=1, batch_limit=4)
        scheduler.observe_peer(peer_load(in_flight={"e0": 4}, waiting=3))
        started = [start(scheduler, make_call(f"p{n}")) for n in range(4)]
        assert [one is not None for one in started] == [True, True, False, False]

    def test_idle_slots_are_borrowed_in_part(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=8)
        scheduler.observe_peer(peer_load(in_flight={}, waiting=5))
        started = [start(scheduler, make_call(f"p{n}")) for n in range(10)]
        first = sum(one is not None for one in started)
        assert 4 <= first < 8
        clock.advance(1.0)
        scheduler.observe_peer(peer_load(in_flight={}, waiting=0))
        assert first + len(scheduler.assign()) == 8

    def test_a_dead_peer_frees_its_slots(self):
        scheduler, _ = make_scheduler(engines=1, batch_limit=2)
        scheduler.observe_peer(peer_load("b", {"e0": 1}, waiting=1))
        calls = [make_call(f"p{n}") for n in range(2)]
        assert start(scheduler, calls[0]) is not None
        assert start(scheduler, calls[1]) is None
        scheduler.forget_peer("b")
        assert [one.call.id for one in scheduler.assign()] == [calls[1].id]

    def test_a_report_is_corrected_by_what_was_sent_since(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=4)
        start(scheduler, make_call("p0"))
        clock.advance(1.0)
        report = LoadReport(running=3, queued=0, time=clock.now())
        clock.advance(1.0)
        start(scheduler, make_call("p1"))
        scheduler.observe_load("e0", report)
        [view] = [one for one in scheduler.endpoints() if one.endpoint == "e0"]
        assert view.load == 4


class TestShortCalls:
    """Lookups of 25 ms at a service of one endpoint, shared by ten daemons."""

    def test_a_borrowed_slot_is_used_again_at_once(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=6)
        for number in range(9):
            load = PeerLoad(incarnation=f"peer{number}", in_flight={})
            scheduler.observe_peer(load)
        for number in range(200):
            call = make_call(f"p{number}")
            scheduler.submit(call)
            started = scheduler.assign()
            assert [one.call.id for one in started] == [call.id], number
            clock.advance(0.01)
            scheduler.finish(call.id, CallOutcome.DONE)
