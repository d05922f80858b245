"""Looping programs spend a part of their budgets twice as the store comes back."""

import asyncio
import pathlib
import random

from review_kit.fleet import Fleet, has_trouble, run, turn_route
from review_kit.program import LoopingProgram

from eelgrasslock_standins.platform_store import Refusing

ZONES = ("a", "a", "b", "b", "c", "c")
OUTAGES = 3
OUTAGE_SECONDS = 5.0
CALM_SECONDS = 6.0
STORE_SECONDS = 0.004
EVENTS = 8
# Ordinary programs, at the rate of the site, each with a budget that it doesn't need.
OTHERS_PER_SECOND = 16
OTHER_TURNS = 4
OTHER_BUDGET_TURNS = 6
# Looping programs, each with a main line and sub-agents.
PROGRAMS = 8
PROGRAM_TURNS = 20
AGENTS = 4
FIRST_STARTS_BEFORE_END = 1.5
LAST_STARTS_BEFORE_END = 0.9


async def play(fleet: Fleet) -> bool:
    """Return whether a program was handed more than its budget and one turn."""
    fleet.configure(3, [turn_route()])
    for zone in "abc":
        await fleet.engine("models", zone, events=EVENTS)
    for zone in ZONES:
        await fleet.daemon(zone)
        fleet.daemons[-1].door.faults.slow_seconds = STORE_SECONDS
    await fleet.start_all()
    await asyncio.sleep(CALM_SECONDS)
    rng = random.Random(39)
    programs: list[LoopingProgram] = []
    for _ in range(OUTAGES):
        await play_outage(fleet, rng, programs)
        await asyncio.sleep(CALM_SECONDS)
    for program in programs:
        fleet.note(
            "program",
            id=program.id,
            budget=program.budget,
            one_turn=program.turn_tokens,
            handed=program.tokens,
            over=program.is_over,
        )
    return any(program.is_over for program in programs)


async def play_outage(
    fleet: Fleet, rng: random.Random, programs: list[LoopingProgram]
) -> None:
    """Let the store be down for some seconds, and programs begin meanwhile."""
    loop = asyncio.get_running_loop()
    runs = [asyncio.create_task(run_others(fleet, rng, len(programs)))]
    if has_trouble():
        fleet.set_store(Refusing.BUSY)
    ends_at = loop.time() + OUTAGE_SECONDS
    step = (FIRST_STARTS_BEFORE_END - LAST_STARTS_BEFORE_END) / (PROGRAMS - 1)
    for number in range(PROGRAMS):
        starts_at = ends_at - FIRST_STARTS_BEFORE_END + number * step
        await asyncio.sleep(starts_at - loop.time())
        id = f"p{len(programs):x}"
        program = LoopingProgram(fleet, id, PROGRAM_TURNS, EVENTS, len(programs))
        programs.append(program)
        clients = [rng.sample(fleet.daemons, 3) for _ in range(1 + AGENTS)]
        runs.append(asyncio.create_task(program.run(clients)))
    await asyncio.sleep(ends_at - loop.time())
    if has_trouble():
        fleet.set_store(Refusing.NOT)
    await asyncio.gather(*runs)


async def run_others(fleet: Fleet, rng: random.Random, part: int) -> None:
    """Run programs that end by themselves."""
    runs = []
    for number in range(int(OTHERS_PER_SECOND * (OUTAGE_SECONDS + 1.0))):
        id = f"q{part:x}.{number:x}"
        other = LoopingProgram(fleet, id, OTHER_BUDGET_TURNS, EVENTS, number)
        daemons = rng.sample(fleet.daemons, 3)
        runs.append(asyncio.create_task(other.run_to_end(daemons, OTHER_TURNS)))
        await asyncio.sleep(1.0 / OTHERS_PER_SECOND)
    await asyncio.gather(*runs)


run(play, pathlib.Path(__file__).resolve().parent)
