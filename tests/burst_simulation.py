"""Replays a burst of new programs against a few engines, without I/O.

Engines admit calls in order of arrival, and run each one slower the more they
run. Daemons share them, each with its own idea of how crowded they are; a
program keeps to one daemon and comes back when it is turned away.
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
AIM_STRETCH = 1.7
AIM_EXTRA_SECONDS = 0.25
MOST_TRIES = 6


@define(eq=False)
class SimulatedEngine:
    """One engine: what runs, and what waits in order of arrival."""

    running: int = 0
    waiting: deque = field(factory=deque)


@define(eq=False)
class SimulatedProgram:
    """One program: its turns, and when it should have ended."""

    began: float
    turns: int
    daemon: int
    is_urgent: bool
    tries: int = 0
    done: int = 0
    ended: float | None = None

    @property
    def is_on_time(self):
        idle = self.turns * TURN_SECONDS + (self.turns - 1) * PAUSE_SECONDS
        aim = AIM_STRETCH * idle + AIM_EXTRA_SECONDS
        return self.ended is not None and self.ended - self.began <= aim


class BurstSimulation:
    """Programs that arrive at one rate, and at another one for a while."""

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
        """Play programs that arrive until a time, in seconds."""
        now = 0.0
        while now < until:
            is_burst = burst[0] <= now < burst[1]
            now += self.rng.expovariate(burst_rate if is_burst else rate)
            is_urgent = self.rng.random() < 0.33
            program = SimulatedProgram(
                began=now,
                turns=max(1, round(self.rng.gauss(9 if is_urgent else 4, 1.5))),
                daemon=self.rng.randrange(len(self.shedders)),
                is_urgent=is_urgent,
            )
            self.programs.append(program)
            self._at(now, self._begin, program)
        while self.events:
            time, _, act, program = heapq.heappop(self.events)
            self.clock.advance(time - self.clock.monotonic())
            act(time, program)

    def on_time(self, begin, end):
        """Return which share of the programs that began then ended on time."""
        among = [one for one in self.programs if begin <= one.began < end]
        return sum(one.is_on_time for one in among) / len(among)

    def _at(self, time, act, program):
        heapq.heappush(self.events, (time, next(self.order), act, program))

    def _begin(self, now, program):
        stage = ProgramStage.RETURNED if program.tries else ProgramStage.FRESH
        program.tries += 1
        try:
            if self.sheds_load:
                shedder = self.shedders[program.daemon]
                shedder.check(SERVICE, stage, program.is_urgent)
        except Refusal as refusal:
            self.refusals.append(refusal)
            if program.tries < MOST_TRIES:
                program.daemon = self.rng.randrange(len(self.shedders))
                self._at(now + refusal.retry_after, self._begin, program)
            return
        self._turn(now, program)

    def _turn(self, now, program):
        some = self.rng.sample(self.engines, 2)
        engine = min(some, key=lambda one: one.running + len(one.waiting))
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
            self._at(end, lambda time, one: self._end(time, one, engine), program)

    def _end(self, now, program, engine):
        engine.running -= 1
        program.done += 1
        if program.done == program.turns:
            program.ended = now
        else:
            pause = self.rng.expovariate(1 / PAUSE_SECONDS)
            self._at(now + pause, self._turn, program)
        self._admit(now, engine)
