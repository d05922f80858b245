"""One generated program on its way through a run."""

import itertools
from collections.abc import Callable
from typing import Protocol

from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import BLOCK_TOKENS, Call, CallOutcome
from eelgrasslock_measure.deployments import PLAIN_SECONDS, Deployment
from eelgrasslock_measure.front import Front
from eelgrasslock_measure.outcome import ProgramOutcome
from eelgrasslock_measure.virtual_clock import VirtualClock
from eelgrasslock_measure.workload import ProgramPlan, TurnPlan

MOST_REFUSALS = 8
_RETURN_SPREAD = 0.2


class Caller(Protocol):
    """Who waits for a call."""

    def refused(self, call: Call, refusal: Refusal) -> None:
        """Take the final answer to a call that was not served."""

    def ended(self, call: Call, endpoint: str, end: CallOutcome, usage: Usage) -> None:
        """Take the end of a call."""


class Stage(Protocol):
    """What a program needs of the run."""

    clock: VirtualClock
    deployment: Deployment
    block_ids: "itertools.count[int]"
    answers_known: bool

    def submit(self, front: Front, call: Call, output: int, caller: Caller) -> None:
        """Give a call to a front."""

    def chance(self) -> float:
        """Return a number from 0 to 1."""

    def shared_blocks(self, plan: ProgramPlan) -> list[int]:
        """Return the blocks of a program's system prompt."""

    def count_refusal(self) -> None:
        """Count a refused call."""

    def count_retry(self) -> None:
        """Count a retried call."""

    def program_over(self, program: str, front: Front) -> None:
        """Release what a program holds."""


class ProgramRun:
    """A program that runs its plan, turn by turn.

    Parameters
    ----------
    plan : ProgramPlan
        What it does.
    stage : Stage
        The run.
    front : Front
        The daemon that serves it.
    outcome : ProgramOutcome
        Told of refusals.
    on_over : callable
        Called with whether it finished.
    blocks : list of int
        The context that a sub-agent begins with.
    """

    def __init__(
        self,
        plan: ProgramPlan,
        stage: Stage,
        front: Front,
        outcome: ProgramOutcome,
        on_over: Callable[[bool], None],
        blocks: list[int] | None = None,
    ) -> None:
        self.plan = plan
        self.stage = stage
        self.front = front
        self.outcome = outcome
        self.on_over = on_over
        self.blocks = stage.shared_blocks(plan) if blocks is None else blocks
        self.tokens = len(self.blocks) * BLOCK_TOKENS
        self.next_turn = 0
        self.pending = 0
        self.failed = False
        self.calls = 0
        self.attempt = 0
        self.refusals = 0
        self.output_tokens = 0

    def start(self) -> None:
        """Begin."""
        if self.plan.turns:
            self._start_turn()
        else:
            self._submit_plain()

    def refused(self, call: Call, refusal: Refusal) -> None:
        """Come back when told, a bounded number of times."""
        self.stage.count_refusal()
        self.outcome.refusals += 1
        self.refusals += 1
        if refusal.retry_after is None or self.refusals > MOST_REFUSALS:
            self._over(False)
            return
        seconds = refusal.retry_after * (1.0 + _RETURN_SPREAD * self.stage.chance())
        self.stage.clock.after(seconds, lambda: self._submit(call))

    def ended(self, call: Call, endpoint: str, end: CallOutcome, usage: Usage) -> None:
        """Go on, or try again."""
        if end is not CallOutcome.DONE:
            self._retry(call, endpoint)
            return
        self.attempt = 0
        self.refusals = 0
        if not call.model:
            self._plain_done()
            return
        self._grow(self.output_tokens)
        self._after_answer(self.plan.turns[self.next_turn])

    def _start_turn(self) -> None:
        turn = self.plan.turns[self.next_turn]
        self._grow(turn.new_tokens)
        self.output_tokens = turn.output_tokens
        deployment = self.stage.deployment
        call = Call(
            id=self._call_id(),
            program=self.plan.name,
            service=deployment.engines,
            model=deployment.model,
            call_class=self.plan.kind.call_class,
            blocks=tuple(self.blocks),
            prompt_tokens=self.tokens,
            max_tokens=self._answer_limit(turn),
        )
        self._submit(call)

    def _answer_limit(self, turn: TurnPlan) -> int:
        if self.stage.answers_known:
            return turn.output_tokens
        return self.plan.kind.max_output_tokens

    def _submit_plain(self) -> None:
        self.output_tokens = 0
        call = Call(
            id=self._call_id(),
            program=self.plan.name,
            service=self.stage.deployment.plain,
            call_class=self.plan.kind.call_class,
        )
        self._submit(call)

    def _submit(self, call: Call) -> None:
        self.stage.submit(self.front, call, self.output_tokens, self)

    def _retry(self, call: Call, endpoint: str) -> None:
        self.attempt += 1
        delay = self.front.retry_delay(call, endpoint, self.attempt)
        if delay is None:
            self._over(False)
            return
        self.stage.count_retry()
        again = retried(call, self._call_id(), endpoint)
        self.stage.clock.after(delay, lambda: self._submit(again))

    def _after_answer(self, turn: TurnPlan) -> None:
        if self.next_turn + 1 == len(self.plan.turns):
            self._over(True)
            return
        self.pending = 1 + len(turn.children)
        for child in turn.children:
            self._start_child(child)
        if turn.plain_call:
            self._submit_plain()
        else:
            self.stage.clock.after(turn.pause_seconds, self._step_done)

    def _start_child(self, plan: ProgramPlan) -> None:
        blocks = self.blocks[: self.tokens // BLOCK_TOKENS]
        child = ProgramRun(
            plan, self.stage, self.front, self.outcome, self._child_over, blocks
        )
        child.start()

    def _child_over(self, finished: bool) -> None:
        if not finished:
            self.failed = True
        self._step_done()

    def _plain_done(self) -> None:
        if self.plan.turns:
            self._step_done()
        else:
            self._over(True)

    def _step_done(self) -> None:
        self.pending -= 1
        if self.pending:
            return
        if self.failed:
            self._over(False)
            return
        self.next_turn += 1
        self._start_turn()

    def _over(self, finished: bool) -> None:
        self.stage.program_over(self.plan.name, self.front)
        self.on_over(finished)

    def _grow(self, tokens: int) -> None:
        self.tokens += tokens
        missing = self.tokens // BLOCK_TOKENS - len(self.blocks)
        self.blocks.extend(itertools.islice(self.stage.block_ids, missing))

    def _call_id(self) -> str:
        self.calls += 1
        return f"{self.plan.name}/{self.calls}"


def retried(call: Call, call_id: str, endpoint: str) -> Call:
    """Return a call as it is sent again after an endpoint failed it."""
    return Call(
        id=call_id,
        program=call.program,
        service=call.service,
        model=call.model,
        call_class=call.call_class,
        blocks=call.blocks,
        prompt_tokens=call.prompt_tokens,
        max_tokens=call.max_tokens,
        excluded=call.excluded | {endpoint},
    )


def ideal_seconds(plan: ProgramPlan, deployment: Deployment) -> float:
    """Return a program's latency on empty engines that forget nothing."""
    if not plan.turns:
        return PLAIN_SECONDS
    settings = next(
        one
        for one in deployment.configuration.endpoints.values()
        if one.service == deployment.engines
    )
    total = 0.0
    for number, turn in enumerate(plan.turns):
        total += turn.new_tokens / settings.prefill_tokens_per_second
        total += turn.output_tokens / settings.decode_tokens_per_second
        if number + 1 < len(plan.turns):
            tool = PLAIN_SECONDS if turn.plain_call else turn.pause_seconds
            children = [ideal_seconds(child, deployment) for child in turn.children]
            total += max([tool, *children])
    return total


def is_lookup(plan: ProgramPlan) -> bool:
    """Return whether a program is an urgent lookup."""
    return plan.kind.call_class is CallClass.LOOKUP
