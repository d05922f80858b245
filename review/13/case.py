"""One machine stands still for seconds while programs go on at another one.

Each program has had its first turn at the machine that stands still, which drew more
of its budget than that turn.
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
DAEMONS = ("edge-a-1", "edge-a-2", "edge-a-3", "edge-b-1", "edge-c-1")
BUDGET_TURNS = 9
PROGRAMS = 24
CALM_SECONDS = 4.0
FROZEN_SECONDS = 4.0
NOTICE_SECONDS = 0.2


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
    waking = None
    if HAS_TROUBLE:
        waking = asyncio.create_task(_freeze(deployment, first))
        await asyncio.sleep(NOTICE_SECONDS)
    await asyncio.gather(*(one.run(second, BUDGET_TURNS - 1) for one in programs))
    deployment.note(f"the programs have ended at {second.name}")
    if waking is not None:
        await waking
    return judge_denials(deployment, programs)


async def _freeze(deployment, daemon):
    deployment.note(f"{daemon.name} stands still")
    daemon.send(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_SECONDS)
    daemon.send(signal.SIGCONT)
    deployment.note(f"{daemon.name} goes on")


run_case(FOLDER, play)
