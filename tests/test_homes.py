"""Turns of one program that reach many daemons, none of which saw the others."""

import itertools

import pytest
from attrs import evolve

from decision_fakes import make_call, make_scheduler, start
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CallEnd, LoadReport
from eelgrasslock.scheduling.decisions import Decisions
from eelgrasslock.scheduling.homes import home_of

DAEMONS = 8
ENGINES = 6
PROGRAMS = 20
TURNS = 5
BLOCKS_A_TURN = 100
SHARED_BLOCKS = range(800)


class Daemons:
    """Daemons whose requests come by turns, and what the engines compute."""

    def __init__(self, decisions):
        speeds = {"prefill_tokens_per_second": 150_000.0, "batch_limit": 12, "slots": 8}
        made = [
            make_scheduler(ENGINES, decisions, cache_tokens=300_000, **speeds)[0]
            for _ in range(DAEMONS)
        ]
        for number, scheduler in enumerate(made):
            scheduler.rng.seed(number)
        self.next = itertools.cycle(made)
        self.held = {}
        self.computed = 0

    def turn(self, program, number):
        """Run a turn at the next daemon, and return its engine."""
        own = range(BLOCKS_A_TURN * number)
        first = 10_000 * int(program.removeprefix("p") or 0)
        blocks = [*SHARED_BLOCKS, *(1_000_000 + first + block for block in own)]
        call = make_call(program, blocks=blocks, has_home=True)
        scheduler = next(self.next)
        assignment = start(scheduler, call)
        held = self.held.setdefault((assignment.endpoint, program), 0)
        self.computed += len(own) - held
        self.held[assignment.endpoint, program] = len(own)
        scheduler.finish(call.id, CallEnd.DONE, Usage())
        return assignment.endpoint

    def run(self):
        for number in range(1, TURNS + 1):
            for program in range(PROGRAMS):
                self.turn(f"p{program}", number)
        return self.computed


class TestHomes:
    def test_a_programs_context_is_computed_once(self):
        least = PROGRAMS * TURNS * BLOCKS_A_TURN
        assert Daemons(Decisions()).run() == least
        assert Daemons(Decisions(homes=False)).run() > 1.5 * least

    def test_programs_are_spread_over_the_engines(self):
        daemons = Daemons(Decisions())
        engines = {daemons.turn(f"p{number}", 1) for number in range(10 * ENGINES)}
        assert len(engines) == ENGINES

    def test_all_agree_on_the_next_one_when_it_closes(self):
        daemons = Daemons(Decisions())
        home = daemons.turn("p", 1)
        for scheduler in itertools.islice(daemons.next, DAEMONS):
            scheduler.mark_leaving(home, True, "directory")
        others = {daemons.turn("p", 2) for _ in range(DAEMONS)}
        assert len(others) == 1
        assert home not in others

    @pytest.mark.parametrize("queued", [0, 40])
    def test_is_left_when_calls_queue_there(self, queued):
        daemons = Daemons(Decisions())
        home = daemons.turn("p", 1)
        scheduler = next(daemons.next)
        report = LoadReport(running=8, queued=queued, time=scheduler.clock.now())
        if queued:
            scheduler.observe_load(home, report)
        call = make_call("p", blocks=SHARED_BLOCKS, has_home=True)
        endpoint = start(scheduler, call).endpoint
        assert (endpoint == home) is not bool(queued)

    def test_an_engine_of_the_own_domain_is_preferred(self):
        scheduler, clock = make_scheduler(ENGINES)
        configuration = scheduler.configuration
        endpoints = configuration.endpoints | {
            name: evolve(configuration.endpoints[name], domain="riga-b")
            for name in ("e1", "e4")
        }
        scheduler.configure(evolve(configuration, endpoints=endpoints))
        states = scheduler.fleet.pool(make_call()).states
        homes = {
            home_of(make_call(f"p{n}"), states, "riga-b", clock.monotonic()).name
            for n in range(20)
        }
        assert homes == {"e1", "e4"}
