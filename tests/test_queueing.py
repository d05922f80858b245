from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.queueing import ProgramTable, ProgramUsage, Ranking
from scheduler_factory import make_call, make_scheduler, start

BACKGROUND = CallClass.BACKGROUND
LOOKUP = CallClass.LOOKUP


def drain_order(scheduler, clock, first):
    order = []
    running = first.call
    while True:
        clock.advance(1.0)
        scheduler.finish(running.id, CallOutcome.DONE)
        started = scheduler.assign()
        if not started:
            return order
        running = started[0].call
        order.append(running.program)


class TestOrder:
    def submit_all(self, scheduler, clock, calls):
        first = start(scheduler, make_call("first"))
        for call in calls:
            clock.advance(0.1)
            scheduler.submit(call)
        return drain_order(scheduler, clock, first)

    def test_classes_go_in_their_order(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=1)
        calls = [make_call("b", call_class=BACKGROUND), make_call("c")]
        assert self.submit_all(scheduler, clock, calls) == ["c", "b"]

    def test_a_lookup_overtakes_even_a_full_engine(self):
        scheduler, _ = make_scheduler(engines=1, batch_limit=1)
        for number in range(4):
            start(scheduler, make_call(f"b{number}", call_class=BACKGROUND))
        lookup = make_call("l", call_class=LOOKUP)
        assert start(scheduler, lookup).call is lookup

    def test_lookups_overtake_by_a_bounded_number(self):
        scheduler, _ = make_scheduler(engines=1, batch_limit=1)
        start(scheduler, make_call("b", call_class=BACKGROUND))
        lookups = [make_call(f"l{n}", call_class=LOOKUP) for n in range(4)]
        started = [start(scheduler, lookup) for lookup in lookups]
        assert [one is not None for one in started] == [True, True, False, False]

    def test_programs_under_way_go_before_new_ones(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=1)
        early = start(scheduler, make_call("early"))
        clock.advance(2.0)
        scheduler.finish(early.call.id, CallOutcome.DONE)
        calls = [make_call("late"), make_call("early")]
        assert self.submit_all(scheduler, clock, calls) == ["early", "late"]

    def test_much_attained_service_ranks_lower(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=1)
        greedy = start(scheduler, make_call("greedy"))
        clock.advance(100.0)
        scheduler.finish(greedy.call.id, CallOutcome.DONE)
        usage = scheduler.programs.get_or_create("greedy", clock.monotonic())
        usage.started_at = clock.monotonic()
        calls = [make_call("greedy"), make_call("fresh")]
        assert self.submit_all(scheduler, clock, calls) == ["fresh", "greedy"]

    def test_a_deadline_pulls_a_call_forward(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=1)
        deadline = clock.monotonic() + 100.0
        calls = [
            make_call("b", call_class=BACKGROUND),
            make_call("d", call_class=BACKGROUND, deadline=deadline),
        ]
        assert self.submit_all(scheduler, clock, calls) == ["d", "b"]

    def test_background_work_does_not_starve(self):
        scheduler, clock = make_scheduler(engines=1, batch_limit=1)
        running = start(scheduler, make_call("first")).call
        scheduler.submit(make_call("b", call_class=BACKGROUND))
        for number in range(400):
            scheduler.submit(make_call(f"c{number}"))
            clock.advance(1.0)
            scheduler.finish(running.id, CallOutcome.DONE)
            running = scheduler.assign()[0].call
            if running.program == "b":
                break
        assert running.program == "b"


class TestRanking:
    def test_a_lookup_goes_before_older_calls(self):
        ranking = Ranking()
        older = ranking.by_program(make_call(), ProgramUsage(0.0), 0.0)
        lookup = make_call(call_class=LOOKUP)
        newer = ranking.by_program(lookup, ProgramUsage(9.0), 9.0)
        assert newer < older


class TestProgramTable:
    def test_keeps_a_bounded_number(self, monkeypatch):
        monkeypatch.setattr("eelgrasslock.scheduling.queueing._MAX_PROGRAMS", 3)
        table = ProgramTable()
        for number in range(5):
            table.get_or_create(f"p{number}", float(number))
        assert list(table.programs) == ["p2", "p3", "p4"]
