"""Agent programs, and the engines that run their turns."""

import asyncio

from slow_caller import Caller

from deployment import EVENT_TOKENS, TURNS
from eelgrasslock_standins.platform_engine import PlatformEngineStandin

ENGINES = 6
SLOTS = 12
EVENTS = 8
TURN_TOKENS = EVENTS * EVENT_TOKENS
EVENT_SECONDS = 0.005
DEADLINE_SECONDS = 3.0
# A turn that has failed is sent again, twice at most.
TRIES = 3
PAUSE_SECONDS = 0.25


async def start_engines(deployment, zones):
    """Start and register the engines; return them."""
    engines = []
    for number in range(ENGINES):
        engine = PlatformEngineStandin(
            id=f"i-{number:08x}", events=EVENTS, event_seconds=EVENT_SECONDS
        )
        await engine.start()
        zone = zones[number % len(zones)]
        deployment.register(engine.id, engine.address, zone, SLOTS, "models")
        engines.append(engine)
    return engines


class Program:
    """An agent program, whose turns follow each other.

    Parameters
    ----------
    id : str
        Its id.
    budget_turns : int
        The turns that its budget holds.

    Attributes
    ----------
    requests : int
        The requests that it sent.
    served : int
        The turns that it got whole.
    tokens : int
        The tokens that it got, in all events of all answers.
    refusals : list of int
        The statuses of the answers that were no whole turn.
    """

    def __init__(self, id, budget_turns):
        self.id = id
        self.budget = budget_turns * TURN_TOKENS
        self.requests = 0
        self.served = 0
        self.tokens = 0
        self.refusals = []

    async def run(self, daemon, turns):
        """Run turns at a daemon, up to the first that fails for good.

        Return whether all were served.
        """
        for _ in range(turns):
            if not await self._run_turn(daemon):
                return False
        return True

    async def _run_turn(self, daemon):
        for _ in range(TRIES):
            answer = await self.ask(daemon)
            if answer.status == 200 and answer.is_complete:
                return True
            if 400 <= answer.status < 500:
                return False
            await asyncio.sleep(PAUSE_SECONDS)
        return False

    async def ask(self, daemon):
        """Send a turn once; return the answer."""
        self.requests += 1
        id = f"{self.id}-{self.requests}"
        more = (
            f"Program-Id: {self.id}\r\nSession-Id: {self.id}\r\nFinish-Ms: 60000\r\n"
            f"Token-Budget: {self.budget}\r\nToken-Usage: 100,{TURN_TOKENS}\r\n"
            f"Prompt-Prefix: {self.id}:90,{self.requests:x}:10\r\n"
        )
        caller = Caller(daemon.front_port, is_slow=False)
        answer = await caller.ask(
            id, f"{TURNS}x", DEADLINE_SECONDS, body=id.encode(), more=more
        )
        caller.close()
        self.tokens += answer.body.count(b"id: ") * EVENT_TOKENS
        if answer.status == 200 and answer.is_complete:
            self.served += 1
        else:
            self.refusals.append(answer.status)
        return answer


def judge_denials(deployment, programs):
    """Return how DENIED was broken by programs that were told 402 too early."""
    denied = 0
    for one in programs:
        left = (one.budget - one.tokens) // TURN_TOKENS
        deployment.note(
            f"program {one.id}: {one.served} turns served, {left} left, "
            f"refused with {one.refusals}"
        )
        denied += left > 0 and 402 in one.refusals
    requests = sum(one.requests for one in programs)
    most = 5 + requests / 500
    deployment.note(f"{denied} of {requests} requests denied, {most:.1f} are allowed")
    if denied > most:
        return [f"{denied} programs were told 402 with turns left"]
    return []
