"""A longer run with random faults in all components; run it with `make soak`."""

import asyncio
import os
import random

import pytest

from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.pool import ConnectFailed
from eelgrasslock_standins.platform_engine import Fault
from eelgrasslock_standins.platform_store import Refusing
from engine_process import EngineProcess
from platform_fleet import LOOKUPS, POSTS, PlatformFleet

SECONDS = 60.0
CALLERS = 12
PROGRAMS = 300
LOADS = ["", "2,0,4", "4,1,4", "4,12,4"]
BUDGET = 1_320
MAX_TURN_TOKENS = 220
NOT_RUN = {402, 429, 503}
ENDPOINT_FAULTS = [
    Fault.FULL,
    Fault.ERROR,
    Fault.LOST,
    Fault.TRUNCATED,
    Fault.EXTRA,
    Fault.LATE,
    Fault.UNSIGNED,
    Fault.GARBAGE,
    Fault.RESET_BEFORE,
    Fault.UNFRAMED,
    Fault.UNFRAMED_RESET,
    Fault.UNFRAMED_CUT,
    Fault.UNFRAMED_ENDED,
]
EVENTS = 5


class Soak:
    """Runs callers, injects faults and records the results."""

    def __init__(self, fleet, engines, desks, daemons, seed, processes=()):
        self.processes = processes
        self.fleet = fleet
        self.engines = engines
        self.desks = desks
        self.daemons = daemons
        self.rng = random.Random(seed)
        self.tokens = {}
        self.refused = set()
        self.served = 0
        self.mismatched = []

    async def run(self, seconds):
        workers = [asyncio.create_task(self.run_caller(n)) for n in range(CALLERS)]
        workers.append(asyncio.create_task(self.inject_faults()))
        for process in self.processes:
            workers.append(asyncio.create_task(self.kill_again_and_again(process)))
        await asyncio.sleep(seconds)
        for worker in workers:
            worker.cancel()
        results = await asyncio.gather(*workers, return_exceptions=True)
        errors = [one for one in results if not isinstance(one, asyncio.CancelledError)]
        assert errors == []

    async def kill_again_and_again(self, process):
        """Kill an engine, which comes back at its address, between its events."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await process.kill()
            await process.start()

    async def inject_faults(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            faults = self.rng.choice(self.daemons).faults
            choice = self.rng.random()
            if choice < 0.3:
                faults.refusing = self.rng.choice(list(Refusing))
            elif choice < 0.4:
                faults.lose_answers += 1
            elif choice < 0.5:
                faults.late_answers += 1
            elif choice < 0.6:
                self.rng.choice(self.engines).load = self.rng.choice(LOADS)
            elif choice < 0.9:
                one = self.rng.choice(self.engines + self.desks)
                one.faults.append(self.rng.choice(ENDPOINT_FAULTS))
            else:
                for daemon in self.daemons:
                    daemon.faults.refusing = ""

    async def run_caller(self, number):
        while True:
            id = f"s{next(self.fleet.ids)}"
            daemon = self.rng.choice(self.daemons)
            try:
                await self.rng.choice([self.turn, self.post, self.lookup])(daemon, id)
            except (ConnectionBroken, ConnectFailed):
                # Callers must accept a truncated response as an outcome.
                await asyncio.sleep(0.02)

    async def turn(self, daemon, id):
        program = f"p{self.rng.randrange(PROGRAMS)}"
        status, body = await self.fleet.turn(
            daemon, program, budget=BUDGET, max_tokens=MAX_TURN_TOKENS, Request_Id=id
        )
        if status == 200:
            self.served += 1
            tokens = body.count(b"\n\n") * 22
            self.tokens[program] = self.tokens.get(program, 0) + tokens
            if id.encode() not in body or body.count(b"\n\n") != EVENTS:
                self.mismatched.append(id)
        elif status in NOT_RUN:
            self.refused.add(id)

    async def post(self, daemon, id):
        await self.plain(daemon, id, f"{POSTS}x", "POST")

    async def lookup(self, daemon, id):
        await self.plain(daemon, id, f"{LOOKUPS}x", "GET")

    async def plain(self, daemon, id, path, method):
        body = id.encode() if method == "POST" else b""
        status, _, answer = await self.fleet.call(
            daemon, path, method, body, Request_Id=id
        )
        if status == 200:
            self.served += 1
            if answer != f"answer to {id}".encode():
                self.mismatched.append(id)
        elif status in NOT_RUN:
            self.refused.add(id)


async def start_unframed_engine(fleet):
    """Start an engine as a process whose streams end with their connections."""
    engine = EngineProcess(
        f"i-{next(fleet.ids)}",
        usual_fault=Fault.UNFRAMED.value,
        events=EVENTS,
        event_seconds=0.02,
    )
    fleet.stack.push_async_callback(engine.kill)
    await engine.start()
    fleet.register(engine, "models")
    return engine


@pytest.mark.soak
@pytest.mark.timeout(300)
async def test_guarantees_hold_under_random_faults():
    seed = int(os.environ.get("EELGRASSLOCK_SOAK_SEED", "1"))
    async with PlatformFleet() as fleet:
        engines = [await fleet.endpoint("models", events=EVENTS) for _ in range(3)]
        desks = [await fleet.endpoint() for _ in range(3)]
        processes = [await start_unframed_engine(fleet) for _ in range(2)]
        daemons = [
            await fleet.ready_daemon(engines + desks, name=f"a-{n}") for n in range(3)
        ]
        soak = Soak(fleet, engines, desks, daemons, seed, processes)
        await soak.run(SECONDS)
        ran = [run for one in engines + desks for run in one.runs if run.ran]
        posts = [run.id for run in ran if run.target.startswith(POSTS)]
        assert soak.served > 100
        assert soak.mismatched == []
        assert len(posts) == len(set(posts))
        assert not soak.refused & {run.id for run in ran}
        assert max(soak.tokens.values()) <= BUDGET + MAX_TURN_TOKENS
