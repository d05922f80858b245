"""Daemons, a log and a network in memory, for budgets under random faults.

The daemons are real up to their network: coordinators, fallback logs, followers,
accounts and ledgers. One clock is moved by hand, so that seconds cost nothing.
"""

import asyncio
import random

from budget_model_daemon import PARTITIONS_PER_TOPIC, ModelDaemon
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import Refusal
from memory_log import RETENTION, TURN_TOKENS, MemoryLog

DOMAINS = ("a", "b", "c")
DAEMONS_PER_DOMAIN = 3
PROGRAM_PAUSE_SECONDS = 60.0


class ModelProgram:
    """A program that loops: it uses all that it is given."""

    def __init__(self, id, budget, now, uses_little=False):
        self.id = id
        self.budget = budget
        self.uses_little = uses_little
        self.tokens = 0
        self.seen_at = now

    def use(self, rng):
        """Return what a turn uses: about a fifteenth, or mostly all that it may."""
        if self.uses_little:
            return rng.randint(2, 13)
        return TURN_TOKENS if rng.random() < 0.8 else rng.randrange(100)


class ModelFleet:
    """The daemons, their faults and the programs."""

    def __init__(
        self,
        seed,
        budgets=(),
        uses_little=False,
        domains=DOMAINS,
        daemons_per_domain=DAEMONS_PER_DOMAIN,
        is_first_start=True,
    ):
        self.domains = domains
        self.uses_little = uses_little
        self.rng = random.Random(seed)
        self.budgets = budgets
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.registrations = []
        self.incarnations = iter(range(1_000_000))
        self.cut_off = set()
        self.is_log_down = False
        self.lost_partitions = set()
        self.loses_answers = False
        self.ends = []
        self.in_flight = []
        self.programs = []
        self.finished = []
        self.daemons = {}
        self.down_until = {}
        for domain in domains:
            for number in range(daemons_per_domain):
                self.start(f"{domain}-{number}", domain, is_first_start)

    def start(self, name, domain, is_first_start=False):
        self.daemons[name] = ModelDaemon(self, name, domain, is_first_start)

    def are_connected(self, one, other):
        if {one.name, other.name} & self.cut_off:
            return False
        return one.domain == other.domain or not (
            {one.domain, other.domain} & self.cut_off
        )

    def loses_peer_answer(self):
        return self.loses_answers and self.rng.random() < 0.05

    async def step(self, seconds):
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        self.log.time = now
        self.log.expire_before(now - RETENTION)
        if self.log.late and self.rng.random() < 0.3:
            self.log.apply_late_appends()
            self.log.late.clear()
        for end in [one for one in self.ends if one[0] <= now]:
            self.ends.remove(end)
            end[1]()
        for name in [one for one, until in self.down_until.items() if until <= now]:
            del self.down_until[name]
            self.start(name, self.daemons[name].domain)
        for turn in [one for one in self.in_flight if one[0] <= now]:
            self.in_flight.remove(turn)
            _, daemon, reservation, used = turn
            daemon.allowances.settle(reservation, used)
        for daemon in list(self.daemons.values()):
            if daemon.alive:
                await daemon.step()

    def after(self, seconds, end):
        self.ends.append((self.clock.monotonic() + seconds, end))

    def kill(self, daemons):
        for daemon in daemons:
            daemon.alive = False
            down_until = self.clock.monotonic() + self.rng.uniform(0.5, 3.0)
            self.down_until.setdefault(daemon.name, down_until)

    async def cause_fault(self):
        rng = self.rng
        alive = [one for one in self.daemons.values() if one.alive]
        seconds = rng.uniform(1.0, 8.0)
        choice = rng.random()
        if choice < 0.25 and not set(self.domains) & self.cut_off:
            domain = rng.choice(self.domains)
            self.cut_off.add(domain)
            self.after(seconds, lambda: self.cut_off.discard(domain))
        elif choice < 0.35 and alive:
            name = rng.choice(alive).name
            self.cut_off.add(name)
            self.after(seconds, lambda: self.cut_off.discard(name))
        elif choice < 0.5 and not self.is_log_down:
            self.is_log_down = True
            self.after(seconds, lambda: setattr(self, "is_log_down", False))
        elif choice < 0.6 and not self.lost_partitions:
            self.lost_partitions = {rng.randrange(PARTITIONS_PER_TOPIC)}
            self.after(seconds, self.lost_partitions.clear)
        elif choice < 0.7 and not self.loses_answers:
            self.loses_answers = True
            self.after(seconds, lambda: setattr(self, "loses_answers", False))
        elif choice < 0.85 and alive:
            self.kill(rng.sample(alive, rng.randint(1, min(3, len(alive)))))
        elif choice < 0.88:
            self.kill(alive)
        elif choice < 0.95 and alive:
            daemon = rng.choice(alive)
            await daemon.leave()
            self.kill([daemon])
        else:
            await self.step(rng.choice([20.0, 100.0, 400.0]))

    def pick_program(self):
        now = self.clock.monotonic()
        oldest = now - PROGRAM_PAUSE_SECONDS
        self.finished += [one for one in self.programs if one.seen_at < oldest]
        self.programs = [one for one in self.programs if one.seen_at >= oldest]
        if len(self.programs) < 6 or self.rng.random() < 0.02:
            id = f"p{len(self.finished) + len(self.programs)}"
            budget = self.rng.choice(self.budgets) * TURN_TOKENS
            self.programs.append(ModelProgram(id, budget, now, self.uses_little))
        return self.rng.choice(self.programs)

    async def run_turn(self):
        serving = [one for one in self.daemons.values() if one.serves]
        program = self.pick_program()
        program.seen_at = self.clock.monotonic()
        if not serving:
            return
        daemon = self.rng.choice(serving)
        try:
            reservation = await daemon.allowances.reserve(
                program.id, program.budget, TURN_TOKENS
            )
        except Refusal:
            return
        if not daemon.alive:
            return
        used = program.use(self.rng)
        program.tokens += used
        until = self.clock.monotonic() + self.rng.uniform(0.0, 0.6)
        self.in_flight.append((until, daemon, reservation, used))

    async def run(self, steps):
        for _ in range(steps):
            if self.rng.random() < 0.06:
                await self.cause_fault()
            await asyncio.gather(
                *(self.run_turn() for _ in range(self.rng.randint(1, 6)))
            )
            await self.step(self.rng.uniform(0.05, 0.4))
        return self.finished + self.programs
