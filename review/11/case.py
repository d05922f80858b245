"""The machines of a zone are restarted in turn, and the store is down some time later.

The store answers nothing to the writes by which the daemons take back their
registrations, and does them seconds later. A program is then served by two of them.
"""

import asyncio
import pathlib

import xxhash
from aiohttp import web
from slow_caller import Caller

from deployment import EVENT_TOKENS, TURNS, CannotRun, has_trouble, run_case
from eelgrasslock_standins.platform_engine import PlatformEngineStandin

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ("a", "b", "c")
DAEMONS = ("edge-a-1", "edge-a-2", "edge-a-3", "edge-b-1", "edge-c-1")
SERVERS = 6
SLOTS = 12
EVENTS = 8
TURN_TOKENS = EVENTS * EVENT_TOKENS
BUDGET_TURNS = 10
BUDGET = BUDGET_TURNS * TURN_TOKENS
# With the log, then at each daemon without it.
CALM_TURNS = 4
MOST_TURNS = 14
REGISTRY_TOPIC = "keyed.daemons"
# The page: done 1 to 6 s later.
LATE_SECONDS = 2.5
RESTART_SECONDS = 0.5
SETTLE_SECONDS = 3.0
NOTICE_SECONDS = 1.0
TRAFFIC_SECONDS = 0.25
DEADLINE_SECONDS = 3.0


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


class Program:
    """An agent program that runs turns until it is told to stop."""

    def __init__(self, deployment, id):
        self.deployment = deployment
        self.id = id
        self.turns = 0
        self.tokens = 0

    async def run(self, daemon, most):
        """Run turns at a daemon, up to the first that is not served whole."""
        for _ in range(most):
            answer = await self.run_turn(daemon)
            word = f"{self.tokens} tokens so far"
            self.deployment.note(
                f"turn {self.turns} at {daemon.name}: {answer}, {word}"
            )
            if answer.status != 200 or not answer.is_complete:
                return

    async def run_turn(self, daemon):
        """Run one turn at a daemon."""
        self.turns += 1
        more = (
            f"Program-Id: {self.id}\r\nSession-Id: {self.id}\r\nFinish-Ms: 60000\r\n"
            f"Token-Budget: {BUDGET}\r\nToken-Usage: 100,{TURN_TOKENS}\r\n"
            f"Prompt-Prefix: {self.id}:90,{self.turns:x}:10\r\n"
        )
        caller = Caller(daemon.front_port, is_slow=False)
        id = f"{self.id}-{self.turns}"
        answer = await caller.ask(
            id, f"{TURNS}x", DEADLINE_SECONDS, body=id.encode(), more=more
        )
        caller.close()
        self.tokens += answer.body.count(b"id: ") * EVENT_TOKENS
        return answer


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
    servers = []
    for number in range(SERVERS):
        server = PlatformEngineStandin(
            id=f"i-{number:08x}", events=EVENTS, event_seconds=0.005
        )
        await server.start()
        zone = ZONES[number % len(ZONES)]
        deployment.register(server.id, server.address, zone, SLOTS, "models")
        servers.append(server)
    for name in DAEMONS:
        deployment.add_daemon(name, name.split("-")[1])
    traffic = None
    try:
        await deployment.start_daemons()
        await asyncio.sleep(SETTLE_SECONDS)
        others = [one for one in deployment.daemons if one.zone != "a"]
        traffic = asyncio.create_task(_run_traffic(deployment, others))
        if has_trouble():
            await _restart_in_turn(deployment)
        return await _run_program(deployment, others)
    finally:
        if traffic is not None:
            traffic.cancel()
        for server in servers:
            await server.stop()


async def _run_traffic(deployment, daemons):
    """Run programs of one turn at the other daemons all the while."""
    number = 0
    while True:
        number += 1
        for one in daemons:
            await Program(deployment, f"f{number:05x}{one.zone}").run_turn(one)
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
    program = Program(deployment, program_of("a"))
    first, *rest = [one for one in deployment.daemons if one.zone == "a"]
    await program.run(first, CALM_TURNS)
    if program.tokens != CALM_TURNS * TURN_TOKENS:
        raise CannotRun("The first turns are not served.")
    TROUBLES[deployment].is_down = has_trouble()
    if has_trouble():
        deployment.note("the store is down")
        await asyncio.sleep(NOTICE_SECONDS)
    for daemon in (first, *rest, *others):
        await program.run(daemon, MOST_TURNS)
    most = BUDGET + TURN_TOKENS
    deployment.note(f"{program.tokens} tokens were handed out, {most} at most may be")
    if program.tokens > most:
        return [f"{program.tokens} tokens of a budget of {BUDGET} were handed out"]
    return []


TROUBLES = {}


def prepare(deployment):
    """Let the store be disturbed."""
    TROUBLES[deployment] = StoreTrouble(deployment)


run_case(FOLDER, play, prepare)
