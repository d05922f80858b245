"""A daemon is killed in an outage of the store, with the tokens it gave out."""

import asyncio
import pathlib
import signal

from review_kit.fleet import CannotRun, Fleet, has_trouble, run, turn_route
from review_kit.program import LoopingProgram

from eelgrasslock_standins.platform_store import Refusing

ZONES = ("a", "a", "b", "b", "c", "c")
PROGRAM_TURNS = 8
EVENTS = 8
CALM_SECONDS = 5.0
STARTS_AFTER_SECONDS = 1.5
OUTAGE_SECONDS = 6.0
DOWN_SECONDS = 3.0
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
    ends_at = asyncio.get_running_loop().time() + OUTAGE_SECONDS
    if has_trouble():
        fleet.set_store(Refusing.BUSY)
    await asyncio.sleep(STARTS_AFTER_SECONDS)
    for _ in range(PROGRAM_TURNS // 2):
        if not await program.turn("p0", [first]):
            raise CannotRun("The first half of the budget was not handed out.")
    killed = asyncio.create_task(kill(first)) if has_trouble() else None
    await asyncio.sleep(ends_at - asyncio.get_running_loop().time())
    if has_trouble():
        fleet.set_store(Refusing.NOT)
    if killed is not None:
        await killed
    while await program.turn("p0", others):
        pass
    fleet.note(
        "program",
        id=program.id,
        budget=program.budget,
        one_turn=program.turn_tokens,
        handed=program.tokens,
        over=program.is_over,
    )
    return program.is_over


async def kill(daemon) -> None:
    """Kill a daemon and start it again."""
    daemon.signal(signal.SIGKILL)
    await daemon.wait_end()
    await asyncio.sleep(DOWN_SECONDS)
    daemon.start(bootstrap=False)
    await daemon.wait_ready()


run(play, pathlib.Path(__file__).resolve().parent)
