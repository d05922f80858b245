"""One agent program of the demo."""

import asyncio
import random
import time
from typing import Any

from attrs import frozen

from eelgrasslock_standins.demo_client import DemoClient, ModelAnswer, ServiceAnswer
from eelgrasslock_standins.demo_figures import DemoFigures

_REPORT = "Pumping test, depth 84 m, yield 3.1 l/s, drawdown 6.4 m. " * 30
_CREATED = 201
_FEE = {"amount": "142.00", "currency": "EUR"}
_BLOCK_TOKENS = 16
_SHORTEST_PAUSE_SECONDS = 0.2
_LONGEST_PAUSE_SECONDS = 2.5
_SUB_AGENT_TURNS = 3


@frozen
class DemoPlan:
    """What a program does.

    Attributes
    ----------
    name : str
        Its creation key.
    daemon : int
        Which daemon it asks first.
    turns : int
        How many calls to a model it makes.
    stream : bool
        Whether its answers are streamed.
    with_sub_agent, with_fee : bool
        Whether it starts a sub-agent, and posts a fee.
    seed : float
        Draws its pauses.
    """

    name: str
    daemon: int
    turns: int
    stream: bool
    with_sub_agent: bool
    with_fee: bool
    seed: float


class DemoProgram:
    """Runs one plan.

    Parameters
    ----------
    client : DemoClient
        The way to the daemons.
    figures : DemoFigures
        Where figures go.
    plan : DemoPlan
        What to do.
    parent : DemoProgram or None
        The program that it is a sub-agent of.
    """

    def __init__(
        self,
        client: DemoClient,
        figures: DemoFigures,
        plan: DemoPlan,
        parent: "DemoProgram | None" = None,
    ) -> None:
        self.client = client
        self.figures = figures
        self.plan = plan
        self.parent = parent
        self.rng = random.Random(plan.seed)
        self.headers: dict[str, str] = {}
        self.messages: list[dict[str, Any]] = []
        self.known_tokens = 0

    async def run(self) -> None:
        """Run the program to its end, and note what went wrong."""
        started = time.monotonic()
        try:
            await self._create()
            for turn in range(self.plan.turns):
                await self._take_turn(turn)
                await self._use_tools(turn)
            await self.client.send(
                self.plan.daemon, "DELETE", self._path(), self.headers
            )
        except Exception as error:
            self.figures.failures.append(f"{self.plan.name}: {error!r}")
            return
        self.figures.finished += 1
        self.figures.program_seconds.append(time.monotonic() - started)

    async def _create(self) -> None:
        body: dict[str, Any] = {
            "creation_key": self.plan.name,
            "secret": f"secret-{self.plan.name}",
        }
        headers = None
        if self.parent is not None:
            body["parent"] = self.parent.headers["Eelgrass-Program"]
            body["limits"] = {"tokens": 50_000, "turns": _SUB_AGENT_TURNS}
            headers = {"Eelgrass-Secret": self.parent.headers["Eelgrass-Secret"]}
        answer = await self.client.send(
            self.plan.daemon, "POST", "/v1/programs", headers, body
        )
        if answer.status not in (200, 201):
            raise RuntimeError(f"not created: {answer.body}")
        self.headers = {
            "Eelgrass-Program": answer.body["program"],
            "Eelgrass-Secret": answer.body["secret"],
        }

    async def _take_turn(self, turn: int) -> None:
        self.messages.append({"role": "user", "content": self._question(turn)})
        headers = {**self.headers, "Eelgrass-Turn": str(turn)}
        started = time.monotonic()
        answer = await self.client.ask(
            self.plan.daemon, headers, self.messages, self.plan.stream
        )
        self.messages.append({"role": "assistant", "content": answer.text})
        self.figures.turn_seconds.append(time.monotonic() - started)
        self._count(answer)

    async def _use_tools(self, turn: int) -> None:
        pause = self.rng.uniform(_SHORTEST_PAUSE_SECONDS, _LONGEST_PAUSE_SECONDS)
        await asyncio.sleep(pause)
        middle = self.plan.turns // 2
        if turn == 0:
            await self._look_up()
        if turn == middle and self.plan.with_sub_agent:
            await self._start_sub_agent()
        if turn == middle and self.plan.with_fee:
            await self._post_fee()

    async def _look_up(self) -> None:
        path = f"/services/licence-app/applications/{self.plan.name}"
        await self.client.send(self.plan.daemon, "GET", path)

    async def _post_fee(self) -> None:
        action = f"fee-{self.plan.name}"
        headers = {**self.headers, "Idempotency-Key": action}
        self.figures.actions.append(action)
        answer = await self.client.send(
            self.plan.daemon, "POST", "/services/licence-app/fees", headers, _FEE
        )
        if not _is_posted(answer):
            raise RuntimeError(f"fee not posted: {answer.body}")

    async def _start_sub_agent(self) -> None:
        plan = DemoPlan(
            name=f"{self.plan.name}-returns",
            daemon=self.plan.daemon,
            turns=_SUB_AGENT_TURNS,
            stream=True,
            with_sub_agent=False,
            with_fee=False,
            seed=self.plan.seed,
        )
        await DemoProgram(self.client, self.figures, plan, self).run()

    def _question(self, turn: int) -> str:
        if turn == 0:
            return f"{_REPORT} Draft the licence terms for {self.plan.name}."
        return f"The tool answered {self.rng.random():.6f}; go on with part {turn}."

    def _count(self, answer: ModelAnswer) -> None:
        self.figures.turns += 1
        self.figures.reused_tokens += self.known_tokens
        self.figures.cached_tokens += min(answer.cached_tokens, self.known_tokens)
        known = answer.prompt_tokens + answer.completion_tokens
        self.known_tokens = known // _BLOCK_TOKENS * _BLOCK_TOKENS

    def _path(self) -> str:
        return f"/v1/programs/{self.headers['Eelgrass-Program']}"


def _is_posted(answer: ServiceAnswer) -> bool:
    """Return whether a fee was posted, by its answer or by the service's word.

    Where the answer was lost, the service's status call answers in its place.
    """
    told = answer.body.get("ran") is True
    return answer.status == _CREATED or told
