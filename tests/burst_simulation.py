"""A simulation of a burst of new programs on a few engines, without I/O.

Engines admit calls in order of arrival, and run each call slower the more of them
they run at once. Daemons share the engines, and each estimates their load on its
own. A program stays with one daemon, and retries if it is refused.
"""

import heapq
import itertools
import random
from collections import deque

from attrs import define, field

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.load_shedding import LoadShedder, ProgramStage

SERVICE = "lm-pool"
SLOTS = 8
TURN_SECONDS = 0.12
BATCH_SLOWDOWN = 0.6
PAUSE_SECONDS = 0.1
DEADLINE_FACTOR = 1.7
DEADLINE_EXTRA_SECONDS = 0.25
MAX_ATTEMPTS = 6


@define(eq=False)
class SimulatedEngine:
    """One engine, with its running calls and a queue in order of arrival."""

    running: int = 0
    waiting: deque = field(factory=deque)


@define(eq=False)
class SimulatedProgram:
    """One program, its turns and the time by which it should end."""

    began: float
    turns: int
    daemon: int
    has_top_priority: bool
    attempts: int = 0
    done: int = 0
    ended: float | None = None

    @property
    def is_on_time(self):
        idle = self.turns * TURN_SECONDS + (self.turns - 1) * PAUSE_SECONDS
        limit = DEADLINE_FACTOR * idle + DEADLINE_EXTRA_SECONDS
        return self.ended is not None and self.ended - self.began <= limit


class BurstSimulation:
    """Programs that arrive at a constant rate, except during a burst."""

    def __init__(self, sheds_load, engines=22, daemons=80, seed=5):
        self.rng = random.Random(seed)
        self.sheds_load = sheds_load
        self.engines = [SimulatedEngine() for _ in range(engines)]
        self.clock = ManualClock()
        self.shedders = [LoadShedder(self.clock, self.rng) for _ in range(daemons)]
        self.programs = []
        self.events = []
        self.order = itertools.count()
        self.refusals = []

    def run(self, rate, burst_rate, burst, until):
        """Simulate the programs that arrive until a time, in seconds."""
        now = 0.0
        while now < until:
            is_burst = burst[0] <= now < burst[1]
            now += self.rng.expovariate(burst_rate if is_burst else rate)
            has_top_priority = self.rng.random() < 0.33
            program = SimulatedProgram(
                began=now,
                turns=max(1, round(self.rng.gauss(9 if has_top_priority else 4, 1.5))),
                daemon=self.rng.randrange(len(self.shedders)),
                has_top_priority=has_top_priority,
            )
            self.programs.append(program)
            self._schedule(now, self._begin, program)
        self._run_events()

    def _run_events(self):
        while self.events:
            time, _, action, program = heapq.heappop(self.events)
            self.clock.advance(time - self.clock.monotonic())
            action(time, program)

    def on_time(self, begin, end):
        """Return the share of programs of a time range that ended on time."""
        programs = [one for one in self.programs if begin <= one.began < end]
        return sum(one.is_on_time for one in programs) / len(programs)

    def _schedule(self, time, action, program):
        heapq.heappush(self.events, (time, next(self.order), action, program))

    def _begin(self, now, program):
        stage = ProgramStage.RETURNED if program.attempts else ProgramStage.FRESH
        program.attempts += 1
        try:
            if self.sheds_load:
                shedder = self.shedders[program.daemon]
                shedder.check(SERVICE, stage, program.has_top_priority)
        except Refusal as refusal:
            self.refusals.append(refusal)
            if program.attempts < MAX_ATTEMPTS:
                program.daemon = self.rng.randrange(len(self.shedders))
                self._schedule(now + refusal.retry_after, self._begin, program)
            return
        self._turn(now, program)

    def _turn(self, now, program):
        candidates = self.rng.sample(self.engines, 2)
        engine = min(candidates, key=lambda one: one.running + len(one.waiting))
        engine.waiting.append(program)
        self._admit(now, engine)

    def _admit(self, now, engine):
        while engine.waiting and engine.running < SLOTS:
            program = engine.waiting.popleft()
            engine.running += 1
            self.shedders[program.daemon].record_load(
                SERVICE, engine.running, len(engine.waiting), SLOTS
            )
            seconds = TURN_SECONDS * (1 + BATCH_SLOWDOWN * engine.running / SLOTS)
            end = now + seconds * self.rng.uniform(0.5, 1.5)
            self._schedule(end, lambda time, one: self._end(time, one, engine), program)

    def _end(self, now, program, engine):
        engine.running -= 1
        program.done += 1
        if program.done == program.turns:
            program.ended = now
        else:
            pause = self.rng.expovariate(1 / PAUSE_SECONDS)
            self._schedule(now + pause, self._turn, program)
        self._admit(now, engine)
