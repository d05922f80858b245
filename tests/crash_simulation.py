"""Daemons, engines and requests of which some end the engines that run them.

Time goes in steps. What one daemon sees of an end reaches the others a step later.
"""

import random
from collections import defaultdict

from attrs import define, field

from eelgrasslock.clock import ManualClock
from eelgrasslock.scheduling.quarantine import Quarantine

DAEMONS = 10
ENGINES = 18
STEP_SECONDS = 0.1
RUN_STEPS = 6
CRASH_STEPS = 2
RETURN_STEPS = 32
RETRY_STEPS = 4
MAX_TRIES = 3


@define(eq=False)
class SimulatedRequest:
    """A request, by all of its digests; the last is its target."""

    digests: tuple[str, ...]
    is_crashing: bool
    tries: int = 0
    ends_at: int = 0


@define(eq=False)
class SimulatedEngine:
    """An engine and its requests, by daemon."""

    starts: int = 0
    up_at: int = 0
    running: list[tuple[int, SimulatedRequest]] = field(factory=list)


class CrashSimulation:
    """Counts ends of engines, and sound requests that are refused.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    share : float
        The share of requests that crash engines, each a new body of a new program.
    targets : int
        Among how many targets these are spread.
    crashes_per_second : float
        How many of the engines end on their own.
    """

    def __init__(self, seed, share, targets=1, crashes_per_second=0.0):
        self.rng = random.Random(seed)
        self.share = share
        self.targets = targets
        self.clock = ManualClock()
        self.daemons = [Quarantine(self.clock.monotonic) for _ in range(DAEMONS)]
        self.engines = [SimulatedEngine() for _ in range(ENGINES)]
        self.crash_probability = crashes_per_second * STEP_SECONDS / ENGINES
        self.arriving = defaultdict(list)
        self.news = []
        self.step = 0
        self.requests = 0
        self.sound = 0
        self.refused = 0
        self.ends = defaultdict(list)

    def run(self, steps, per_step=6):
        for self.step in range(steps):
            self.clock.advance(STEP_SECONDS)
            self.spread()
            for _ in range(per_step):
                self.arriving[self.step].append(self.new_request())
            for request in self.arriving.pop(self.step, ()):
                self.arrive(request)
            for number, engine in enumerate(self.engines):
                self.advance(number, engine)

    def new_request(self):
        self.requests += 1
        name = str(self.requests)
        is_crashing = self.rng.random() < self.share
        self.sound += not is_crashing
        target = f"bad {self.rng.randrange(self.targets)}" if is_crashing else name
        digests = (f"one {name}", f"body {name}", f"program {name}", target)
        return SimulatedRequest(digests, is_crashing)

    def arrive(self, request):
        number = self.rng.randrange(len(self.daemons))
        request.tries += 1
        if self.daemons[number].refuses(request.digests):
            self.refused += not request.is_crashing
            self.retry(request)
            return
        up = [one for one in self.engines if one.up_at <= self.step]
        if not up:
            self.retry(request)
            return
        engine = min(self.rng.sample(up, min(3, len(up))), key=lambda e: len(e.running))
        steps = CRASH_STEPS if request.is_crashing else RUN_STEPS
        request.ends_at = self.step + self.rng.randint(1, steps)
        engine.running.append((number, request))

    def retry(self, request):
        if request.tries < MAX_TRIES:
            at = self.step + self.rng.randint(1, RETRY_STEPS)
            self.arriving[at].append(request)

    def advance(self, number, engine):
        done = [one for one in engine.running if one[1].ends_at <= self.step]
        for daemon, request in done:
            if request.is_crashing:
                self.ends[request.digests[-1]].append(self.step * STEP_SECONDS)
                self.end(number, engine)
                return
            engine.running.remove((daemon, request))
            self.succeed(daemon, request)
        if engine.up_at <= self.step and self.rng.random() < self.crash_probability:
            self.end(number, engine)

    def succeed(self, daemon, request):
        for digest in self.daemons[daemon].record_success(*request.digests):
            self.news.append((daemon, digest, ()))

    def end(self, number, engine):
        name = f"{number}@{engine.starts}"
        running, engine.running = engine.running, []
        engine.starts += 1
        engine.up_at = self.step + RETURN_STEPS
        seen = defaultdict(list)
        for daemon, request in running:
            seen[daemon] += request.digests
            self.retry(request)
        for daemon, digests in seen.items():
            quarantine = self.daemons[daemon]
            quarantine.record_crash(digests, self.clock.monotonic(), name)
            self.news += [(daemon, one, quarantine.own_ends(one)) for one in digests]

    def spread(self):
        news, self.news = self.news, []
        for author, digest, ends in news:
            for number, quarantine in enumerate(self.daemons):
                if number == author:
                    continue
                if ends:
                    quarantine.load_record(str(author), digest, len(ends), ends)
                else:
                    self.forget(quarantine, number, digest)

    def forget(self, quarantine, number, digest):
        """Take what the log does where a request has completed."""
        quarantine.forget_own(digest)
        for author in range(len(self.daemons)):
            if author != number:
                quarantine.load_record(str(author), digest, 0)

    def refused_share(self):
        return self.refused / max(1, self.sound)

    def late(self, target, window_seconds=4.0):
        ends = self.ends[target]
        return [at for at in ends[3:] if at > ends[2] + window_seconds]
