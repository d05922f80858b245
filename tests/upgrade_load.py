"""Callers of a fleet that is upgraded, and what they must never see."""

import asyncio
import random

from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.pool import ConnectFailed
from platform_fleet import LOOKUPS, MAX_TURN_TOKENS, POSTS

EVENTS = 5
EVENT_TOKENS = 22
BUDGET = 3 * MAX_TURN_TOKENS
PROGRAMS = 40
NOT_RUN = {402, 408, 421, 429, 503}


class UpgradeLoad:
    """Sends turns, posts and lookups to any daemon that takes requests.

    Attributes
    ----------
    served : int
        How many requests were served.
    broken : list of (str, str)
        The requests that ended without a whole answer at a daemon that was not
        killed meanwhile, with its name.
    refused : set of str
        The requests that were told that they had not run.
    mismatched : list of str
        The requests that were answered with something else.
    """

    def __init__(self, fleet, daemons, seed):
        self.fleet = fleet
        self.daemons = daemons
        self.rng = random.Random(seed)
        self.tokens = {}
        self.refused = set()
        self.mismatched = []
        self.served = 0
        self.broken = []
        self._tasks = []

    def start(self, callers=6):
        self._tasks = [asyncio.create_task(self.run_caller()) for _ in range(callers)]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        errors = [one for one in results if not isinstance(one, asyncio.CancelledError)]
        assert errors == []

    async def run_caller(self):
        while True:
            ready = [one for one in self.daemons if one.takes_requests]
            if ready:
                await self.send(self.rng.choice(ready))
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def send(self, daemon):
        id = f"u{next(self.fleet.ids)}"
        kills = daemon.kills
        try:
            await self.rng.choice([self.turn, self.post, self.lookup])(daemon, id)
        except ConnectFailed:
            return
        except ConnectionBroken:
            if daemon.kills == kills:
                self.broken.append((id, daemon.name))

    async def turn(self, daemon, id):
        program = f"p{self.rng.randrange(PROGRAMS)}"
        status, body = await self.fleet.turn(
            daemon, program, budget=BUDGET, Request_Id=id
        )
        if status == 200:
            self.served += 1
            tokens = body.count(b"\n\n") * EVENT_TOKENS
            self.tokens[program] = self.tokens.get(program, 0) + tokens
            if id.encode() not in body or body.count(b"\n\n") != EVENTS:
                self.mismatched.append(id)
        elif status in NOT_RUN:
            self.refused.add(id)

    async def post(self, daemon, id):
        await self.plain(daemon, id, f"{POSTS}x", "POST", id.encode())

    async def lookup(self, daemon, id):
        await self.plain(daemon, id, f"{LOOKUPS}x", "GET", b"")

    async def plain(self, daemon, id, path, method, body):
        status, _, answer = await self.fleet.call(
            daemon, path, method, body, Request_Id=id
        )
        if status == 200:
            self.served += 1
            if answer != f"answer to {id}".encode():
                self.mismatched.append(id)
        elif status in NOT_RUN:
            self.refused.add(id)

    def check(self, endpoints):
        """Fail if a promise was broken."""
        runs = [run for one in endpoints for run in one.runs if run.ran]
        posts = [run.id for run in runs if run.target.startswith(POSTS)]
        assert self.mismatched == []
        assert len(posts) == len(set(posts))
        assert not self.refused & {run.id for run in runs}
        assert max(self.tokens.values(), default=0) <= BUDGET + MAX_TURN_TOKENS
        assert self.served > 100
        assert self.broken == []
