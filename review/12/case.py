"""One process is killed, and programs that it has served go on at another machine.

Each program has had its first turn at the killed one, which drew more of its budget
than that turn, and goes on once everything is calm again.
"""

import asyncio
import os
import pathlib
import signal

from programs import Program, judge_denials, start_engines

from deployment import CannotRun, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("a", "b", "c")
DAEMONS = (
    "edge-a-1",
    "edge-a-2",
    "edge-a-3",
    "edge-c-2",
    "edge-b-1",
    "edge-c-1",
)
BUDGET_TURNS = 9
PROGRAMS = 24
CALM_SECONDS = 4.0
DOWN_SECONDS = 3.2


async def play(deployment):
    """Play the case; return what broke the rule."""
    engines = await start_engines(deployment, ZONES)
    for name in DAEMONS:
        deployment.add_daemon(name, name.split("-")[1])
    try:
        await deployment.start_daemons()
        return await _play(deployment)
    finally:
        for engine in engines:
            await engine.stop()


async def _play(deployment):
    first, *_, second, _ = deployment.daemons
    programs = [Program(f"c{number:05x}", BUDGET_TURNS) for number in range(PROGRAMS)]
    served = await asyncio.gather(*(one.run(first, 1) for one in programs))
    if not all(served):
        raise CannotRun("The first turns are not all served.")
    deployment.note(f"{PROGRAMS} programs have had their first turn at {first.name}")
    await asyncio.sleep(CALM_SECONDS)
    if HAS_TROUBLE:
        await _kill(deployment, first)
    await asyncio.sleep(CALM_SECONDS)
    await asyncio.gather(*(one.run(second, BUDGET_TURNS - 1) for one in programs))
    deployment.note(f"the programs have ended at {second.name}")
    return judge_denials(deployment, programs)


async def _kill(deployment, daemon):
    daemon.send(signal.SIGKILL)
    await daemon.process.wait()
    deployment.note(f"{daemon.name} is killed")
    await asyncio.sleep(DOWN_SECONDS)
    await daemon.start()
    await daemon.wait_ready()
    deployment.note(f"{daemon.name} is back")


run_case(FOLDER, play)
