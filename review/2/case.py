"""A program that was stopped returns while the store is down, after a restart."""

import asyncio
import pathlib
import signal

from review_kit.fleet import CannotRun, Fleet, has_trouble, run, turn_route
from review_kit.program import LoopingProgram

from eelgrasslock_standins.platform_store import Refusing

ZONES = ("a", "a", "b", "b", "c", "c")
PROGRAM_TURNS = 8
EVENTS = 8
CALM_SECONDS = 4.0
OUTAGE_SECONDS = 6.0
RETURNS_AFTER_SECONDS = 1.5
STORE_SECONDS = 0.004


async def play(fleet: Fleet) -> bool:
    """Return whether the program was handed more than its budget and one turn."""
    fleet.configure(3, [turn_route()])
    for zone in "abc":
        await fleet.engine("models", zone, events=EVENTS)
    for zone in ZONES:
        await fleet.daemon(zone)
        fleet.daemons[-1].door.faults.slow_seconds = STORE_SECONDS
    await fleet.start_all()
    await asyncio.sleep(CALM_SECONDS)
    program = LoopingProgram(fleet, "p0", PROGRAM_TURNS, EVENTS, 39)
    first, others = fleet.daemons[0], fleet.daemons[2:]
    while await program.turn("p0", [first]):
        pass
    if not program.spent_told or program.tokens != program.budget:
        raise CannotRun("The program was not stopped at its budget.")
    await restart(first)
    await asyncio.sleep(CALM_SECONDS)
    if has_trouble():
        fleet.set_store(Refusing.BUSY)
    await asyncio.sleep(RETURNS_AFTER_SECONDS)
    fleet.note("the program returns", program=program.id, handed=program.tokens)
    back = asyncio.create_task(run_on(program, others))
    await asyncio.sleep(OUTAGE_SECONDS - RETURNS_AFTER_SECONDS)
    if has_trouble():
        fleet.set_store(Refusing.NOT)
    await back
    fleet.note(
        "program",
        id=program.id,
        budget=program.budget,
        one_turn=program.turn_tokens,
        handed=program.tokens,
        over=program.is_over,
    )
    return program.is_over


async def run_on(program: LoopingProgram, daemons: list) -> None:
    """Run turns until one fails or is told that the budget is spent."""
    while await program.turn("p0", daemons):
        pass


async def restart(daemon) -> None:
    """Stop a daemon and start it again, as in planned work."""
    daemon.signal(signal.SIGTERM)
    await daemon.wait_end()
    daemon.start(bootstrap=False)
    await daemon.wait_ready()


run(play, pathlib.Path(__file__).resolve().parent)
