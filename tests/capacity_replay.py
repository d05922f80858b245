"""A replay of calls on engines that differ, with the real scheduler and no I/O."""

import heapq
import itertools
import random

from attrs import define

from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CallOutcome, LoadReport
from scheduler_factory import make_call, make_scheduler

SLOTS = 12
RUN_SECONDS = 0.08
FULL_BATCH_SLOWDOWN = 0.6
FAILED_SECONDS = 0.01


@define(eq=False)
class ReplayedEngine:
    """An engine whose runs take much longer from `knee` calls on."""

    speed: float = 1.0
    knee: int = SLOTS
    steepness: float = 0.6
    failed_share: float = 0.0
    machine: object = lambda now: 1.0
    is_down: object = lambda now: False
    running: int = 0

    def run_seconds(self, now):
        beyond = max(0, self.running - self.knee)
        fill = (self.running - 1) / (SLOTS - 1)
        slow = 1 + FULL_BATCH_SLOWDOWN * fill + self.steepness * beyond
        slow *= self.machine(now)
        return RUN_SECONDS * slow / self.speed


class CapacityReplay:
    """Calls that arrive at a constant rate, and what became of them."""

    def __init__(self, engines, learns, seed=1):
        self.rng = random.Random(seed)
        self.engines = {f"e{number}": one for number, one in enumerate(engines)}
        self.learns = learns
        self.scheduler, self.clock = make_scheduler(
            engines=len(engines),
            batch_limit=SLOTS,
            decode_tokens_per_second=250.0,
        )
        self.scheduler.endpoint_table.learns_capacity = learns
        self.scheduler.configure(self.scheduler.configuration)
        self.began = {}
        self.seconds = []
        self.calls_by_engine = dict.fromkeys(self.engines, 0)
        self.failed = 0
        self.refused = 0
        self.events = []
        self.order = itertools.count()

    @property
    def mean_seconds(self):
        return sum(self.seconds) / len(self.seconds)

    @property
    def failed_share(self):
        return (self.failed + self.refused) / len(self.began)

    def run(self, rate, seconds):
        """Replay the calls of some seconds, and their ends."""
        now = start = self.clock.monotonic()
        while (now := now + self.rng.expovariate(rate)) < start + seconds:
            self._at(now, self._arrive, None)
        while self.events:
            time, _, action, value = heapq.heappop(self.events)
            self.clock.advance(time - self.clock.monotonic())
            action(value)
            self.scheduler.expire()
            for assignment in self.scheduler.assign():
                self._begin(assignment)
        return self

    def _at(self, time, action, value):
        heapq.heappush(self.events, (time, next(self.order), action, value))

    def _arrive(self, _):
        call = make_call(f"p{len(self.began)}")
        self.began[call.id] = self.clock.monotonic()
        try:
            self.scheduler.submit(call)
        except Refusal:
            self.refused += 1

    def _begin(self, assignment):
        now = self.clock.monotonic()
        engine = self.engines[assignment.endpoint]
        engine.running += 1
        self.calls_by_engine[assignment.endpoint] += 1
        outcome, seconds = CallOutcome.DONE, engine.run_seconds(now)
        if engine.is_down(now):
            outcome, seconds = CallOutcome.NOT_SENT, FAILED_SECONDS
        elif self.rng.random() < engine.failed_share:
            outcome, seconds = CallOutcome.FAILED, FAILED_SECONDS
        self._at(now + seconds, self._end, (assignment, outcome))

    def _end(self, ended):
        assignment, outcome = ended
        now = self.clock.monotonic()
        engine = self.engines[assignment.endpoint]
        engine.running -= 1
        usage = Usage(prompt_tokens=100, completion_tokens=20)
        self.scheduler.finish(assignment.call.id, outcome, usage)
        if outcome is CallOutcome.DONE:
            self.seconds.append(now - self.began[assignment.call.id])
        else:
            self.failed += 1
        slowdown = engine.machine(now) if self.learns else None
        report = LoadReport(
            running=engine.running,
            queued=0,
            time=self.clock.now(),
            slots=SLOTS,
            slowdown=slowdown,
        )
        self.scheduler.observe_load(assignment.endpoint, report)
