"""The machines of a zone are restarted in turn, and the store is down some time later.

The store answers nothing to the writes by which the daemons take back their
registrations, and does them seconds later. A program is then served by two of them.
"""

import asyncio
import os
import pathlib

import xxhash
from aiohttp import web
from programs import TURN_TOKENS, Program, start_engines

from deployment import CannotRun, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("a", "b", "c")
DAEMONS = ("edge-a-1", "edge-a-2", "edge-a-3", "edge-b-1", "edge-c-1")
BUDGET_TURNS = 10
# With the log, then at each daemon without it.
CALM_TURNS = 4
MOST_TURNS = 14
REGISTRY_TOPIC = "keyed.daemons"
# The page: done 1 to 6 s later.
LATE_SECONDS = 4.0
RESTART_SECONDS = 0.5
SETTLE_SECONDS = 4.0
NOTICE_SECONDS = 1.0
TRAFFIC_SECONDS = 0.25


class StoreTrouble:
    """What the store does to the daemons' calls.

    Attributes
    ----------
    loses_answers : bool
        Whether deregistrations are not answered, and done late.
    is_down : bool
        Whether all calls are refused.
    writes, lost : int
        The writes while answers are lost, and those that got none.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.loses_answers = False
        self.is_down = False
        self.writes = 0
        self.lost = 0
        self._late = set()
        deployment.store_middlewares.append(self.disturb)

    @web.middleware
    async def disturb(self, request, handler):
        """Pass a call on, refuse it, or let it take effect late."""
        if self.is_down:
            return web.json_response({}, status=503)
        if not (self.loses_answers and request.path.endswith("log-append")):
            return await handler(request)
        self.writes += 1
        if request.query["topic"] != REGISTRY_TOPIC:
            return await handler(request)
        data = await request.read()
        # The length of the record, that of the key, the key, the value.
        value_at = 5 + data[4]
        if data[value_at:]:
            return await handler(request)
        name = data[5:value_at].decode()
        self.lost += 1
        self.deployment.note(f"store: no answer to the deregistration of {name}")
        self._late.add(asyncio.create_task(self._deregister_late(name)))
        request.transport.abort()
        return web.Response()

    async def _deregister_late(self, name):
        await asyncio.sleep(LATE_SECONDS)
        self.deployment.store.put(REGISTRY_TOPIC, name, b"")
        self.deployment.note(f"store: the deregistration of {name} is done")


def program_of(zone):
    """Return the id of a program whose draws without the log are kept in a zone."""
    number = 0
    while True:
        id = f"{number:06x}"
        weights = {
            one: xxhash.xxh64_intdigest(f"{id}\n{one}".encode()) for one in ZONES
        }
        if max(weights, key=weights.__getitem__) == zone:
            return id
        number += 1


async def play(deployment):
    """Play the case; return what broke the rule."""
    engines = await start_engines(deployment, ZONES)
    for name in DAEMONS:
        deployment.add_daemon(name, name.split("-")[1])
    traffic = None
    try:
        await deployment.start_daemons()
        await asyncio.sleep(SETTLE_SECONDS)
        others = [one for one in deployment.daemons if one.zone != "a"]
        traffic = asyncio.create_task(_run_traffic(deployment, others))
        if HAS_TROUBLE:
            await _restart_in_turn(deployment)
        return await _run_program(deployment, others)
    finally:
        if traffic is not None:
            traffic.cancel()
        for engine in engines:
            await engine.stop()


async def _run_traffic(deployment, daemons):
    """Run programs of one turn at the other daemons all the while."""
    number = 0
    while True:
        number += 1
        for one in daemons:
            await Program(f"f{number:05x}{one.zone}", BUDGET_TURNS).ask(one)
        await asyncio.sleep(TRAFFIC_SECONDS)


async def _restart_in_turn(deployment):
    trouble = TROUBLES[deployment]
    trouble.loses_answers = True
    for daemon in deployment.daemons:
        if daemon.zone != "a":
            continue
        deployment.note(f"{daemon.name} gets SIGTERM")
        await daemon.terminate()
        await asyncio.sleep(RESTART_SECONDS)
        await daemon.start()
        await daemon.wait_ready()
        deployment.note(f"{daemon.name} is back")
        await asyncio.sleep(SETTLE_SECONDS)
    trouble.loses_answers = False
    deployment.note(f"store: {trouble.lost} of {trouble.writes} writes got no answer")
    if trouble.lost != sum(one.zone == "a" for one in deployment.daemons):
        raise CannotRun("Not each daemon has deregistered once.")


async def _run_program(deployment, others):
    program = Program(program_of("a"), BUDGET_TURNS)
    first, *rest = [one for one in deployment.daemons if one.zone == "a"]
    if not await program.run(first, CALM_TURNS):
        raise CannotRun("The first turns are not served.")
    deployment.note(f"{program.tokens} tokens so far, at {first.name}")
    TROUBLES[deployment].is_down = HAS_TROUBLE
    if HAS_TROUBLE:
        deployment.note("the store is down")
        await asyncio.sleep(NOTICE_SECONDS)
    for daemon in (first, *rest, *others):
        for _ in range(MOST_TURNS):
            answer = await program.ask(daemon)
            turn = f"turn {program.requests} at {daemon.name}"
            deployment.note(f"{turn}: {answer}, {program.tokens} tokens so far")
            if answer.status != 200:
                break
    most = program.budget + TURN_TOKENS
    deployment.note(f"{program.tokens} tokens were handed out, {most} at most may be")
    if program.tokens > most:
        return [f"{program.tokens} tokens of a budget of {program.budget}"]
    return []


TROUBLES = {}


def prepare(deployment):
    """Let the store be disturbed."""
    TROUBLES[deployment] = StoreTrouble(deployment)


run_case(FOLDER, play, prepare)
