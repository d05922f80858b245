"""Agent programs that loop without end, as the users' pages describe them."""

import asyncio
import itertools
import random

from review_kit.client import Answer, attempt
from review_kit.engine import TOKENS_PER_EVENT
from review_kit.fleet import HOST, Daemon, Fleet

TURN_SECONDS = 3.0
RETRIES_AFTER_FAILURE = 2
TURNS_AFTER_SPENT = 2
TURNS_OF_LINE = 1
TURNS_OF_AGENT = 2


class LoopingProgram:
    """A program that starts turns until it is told that its budget is spent.

    Parameters
    ----------
    fleet : Fleet
        The system.
    id : str
        Its id.
    turns : int
        Its budget, in turns of the longest kind.
    events : int
        The events of each turn.
    seed : int
        Draws the daemons that its connections reach.

    Attributes
    ----------
    tokens : int
        The tokens that it was handed.
    spent_told : int
        How often it was told that its budget is spent.
    """

    def __init__(
        self, fleet: Fleet, id: str, turns: int, events: int, seed: int
    ) -> None:
        self.fleet = fleet
        self.id = id
        self.turn_tokens = events * TOKENS_PER_EVENT
        self.budget = turns * self.turn_tokens
        self.rng = random.Random(seed)
        self.tokens = 0
        self.spent_told = 0
        self.failed = False
        self._attempts = itertools.count(1)

    @property
    def is_over(self) -> bool:
        """Whether it was handed more than its budget and one turn."""
        return self.tokens > self.budget + self.turn_tokens

    async def run(self, clients: list[list[Daemon]]) -> None:
        """Run some turns, then sub-agents in parallel, and begin again.

        Parameters
        ----------
        clients : list of list of Daemon
            For the main line and each sub-agent, the daemons that its connections
            reach: the first attempts the first one, the others any of the rest.
        """
        while not self.has_ended:
            for _ in range(TURNS_OF_LINE):
                if not await self.turn(f"{self.id}0", clients[0]):
                    return
            agents = enumerate(clients[1:], start=1)
            await asyncio.gather(*(self._agent(*agent) for agent in agents))

    async def run_to_end(self, daemons: list[Daemon], turns: int) -> None:
        """Run a number of turns, as a program that does not loop."""
        for _ in range(turns):
            if not await self.turn(f"{self.id}0", daemons):
                return

    @property
    def has_ended(self) -> bool:
        """Whether it was stopped, or has failed."""
        return bool(self.spent_told) or self.failed

    async def _agent(self, number: int, daemons: list[Daemon]) -> None:
        for _ in range(TURNS_OF_AGENT):
            if self.has_ended or not await self.turn(f"{self.id}{number:x}", daemons):
                return

    async def turn(self, session: str, daemons: list[Daemon]) -> bool:
        """Run a turn, sent again at most twice if it fails; return whether it ran."""
        sent_after_spent = 0
        for _ in range(1 + RETRIES_AFTER_FAILURE):
            answer = await self._attempts_of_turn(session, daemons)
            while answer.status == 402:
                self.spent_told += 1
                if sent_after_spent >= TURNS_AFTER_SPENT:
                    return False
                sent_after_spent += 1
                await asyncio.sleep(self.rng.uniform(0.1, 0.4))
                answer = await self._attempts_of_turn(session, daemons)
            if answer.status == 200 and answer.whole:
                return True
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        self.failed = True
        return False

    async def _attempts_of_turn(self, session: str, daemons: list[Daemon]) -> Answer:
        """Make an attempt, and one more after a promise, as soon as it allows."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + TURN_SECONDS
        answer = await self._attempt(session, daemons[0], TURN_SECONDS)
        if answer.status in (429, 503):
            left = ends_at - loop.time()
            await asyncio.sleep(min(answer.retry_after, left / 3))
            other = self.rng.choice(daemons[1:] or daemons)
            answer = await self._attempt(session, other, ends_at - loop.time())
        return answer

    async def _attempt(self, session: str, daemon: Daemon, seconds: float) -> Answer:
        request = f"{self.id}-{next(self._attempts)}"
        note = self.fleet.note
        note("sent", request=request, program=self.id, daemon=daemon.name)
        answer = await attempt(
            daemon.front,
            "POST",
            "/turns/x",
            {
                "Host": HOST,
                "Request-Id": request,
                "Program-Id": self.id,
                "Session-Id": session,
                "Finish-Ms": 5_200,
                "Token-Budget": self.budget,
                "Token-Usage": f"1840,{self.turn_tokens}",
                "Model": "m",
                "Prompt-Prefix": f"5c1e07a2:1260,{session}:580",
                "Deadline-Ms": max(1, int(seconds * 1_000)),
            },
            b"prompt",
            seconds,
        )
        self.tokens += answer.events * TOKENS_PER_EVENT
        note(
            "answered",
            request=request,
            status=answer.status,
            whole=answer.whole,
            tokens=answer.events * TOKENS_PER_EVENT,
            program_tokens=self.tokens,
            budget=self.budget,
        )
        return answer
