"""Generated agent programs: seeded, heavy-tailed, with pauses and sub-agents."""

import numpy as np
from attrs import define, field, frozen

from eelgrasslock.requests.exchange import CallClass


@frozen(kw_only=True)
class Spread:
    """A log-normal quantity.

    Attributes
    ----------
    median, sigma : float
        Of the distribution.
    most : float
        Where it is cut off.
    """

    median: float
    sigma: float
    most: float

    def draw(self, rng: np.random.Generator) -> float:
        """Return one value."""
        value = self.median * float(np.exp(self.sigma * rng.standard_normal()))
        return min(self.most, value)


@frozen(kw_only=True)
class ProgramKind:
    """How the programs of one kind look.

    Attributes
    ----------
    name : str
        For tables.
    share : float
        Its share of all programs.
    call_class : CallClass
        How urgent its calls are.
    shared_prompts : int
        How many different system prompts its programs begin with.
    shared_tokens, first_tokens : Spread
        The length of a system prompt and of what the first call adds.
    turns : Spread
        Calls to the model, at least one.
    new_tokens, output_tokens : Spread
        What each further call adds, and each answer's length.
    pause_seconds : Spread
        How long a tool runs between two calls.
    plain_share : float
        The share of tools that are a call to the plain service.
    children_share : float
        The share of turns that start sub-agents.
    child_turns : Spread
        The sub-agents' calls to the model.
    max_output_tokens : int
        The limit that its calls ask for.
    model_calls : bool
        Whether the program calls a model; if not, it is one plain call.
    """

    name: str
    share: float
    call_class: CallClass = CallClass.CALLER_WAITING
    shared_prompts: int = 4
    shared_tokens: Spread = Spread(median=2_500, sigma=0.3, most=5_000)
    first_tokens: Spread = Spread(median=3_000, sigma=0.6, most=30_000)
    turns: Spread = Spread(median=6, sigma=0.7, most=72)
    new_tokens: Spread = Spread(median=500, sigma=0.8, most=6_000)
    output_tokens: Spread = Spread(median=220, sigma=0.6, most=1_500)
    pause_seconds: Spread = Spread(median=2, sigma=1.2, most=120)
    plain_share: float = 0.3
    children_share: float = 0.0
    child_turns: Spread = Spread(median=2, sigma=0.6, most=10)
    max_output_tokens: int = 1_500
    model_calls: bool = True


@define(eq=False)
class TurnPlan:
    """One call of a program.

    Attributes
    ----------
    new_tokens, output_tokens : int
        What it adds to the prompt, and its answer's length.
    pause_seconds : float
        How long the tool after it runs.
    plain_call : bool
        Whether that tool is a call to the plain service.
    children : list of ProgramPlan
        Sub-agents that must end before the next turn.
    """

    new_tokens: int
    output_tokens: int
    pause_seconds: float
    plain_call: bool = False
    children: "list[ProgramPlan]" = field(factory=list)


@define(eq=False)
class ProgramPlan:
    """A program, known in advance to the generator alone.

    Attributes
    ----------
    name : str
        Unique in a run.
    kind : ProgramKind
        Its kind.
    arrival : float
        When it starts, in seconds from the run's start.
    shared : int
        Which of its kind's system prompts it begins with, -1 for a sub-agent.
    shared_tokens : int
        That prompt's length.
    turns : list of TurnPlan
        Its calls to the model; empty for a single plain call.
    """

    name: str
    kind: ProgramKind
    arrival: float
    shared: int
    shared_tokens: int
    turns: list[TurnPlan] = field(factory=list)


CONTEXT_TOKENS = 220_000
_MOST_CHILDREN = 4


class Generator:
    """Draws programs.

    Parameters
    ----------
    kinds : list of ProgramKind
        What to draw from.
    seed : int
        The same seed gives the same programs.
    """

    def __init__(self, kinds: list[ProgramKind], seed: int) -> None:
        self.kinds = kinds
        self.rng = np.random.default_rng(seed)
        self.shares = np.array([kind.share for kind in kinds])
        self.shares = self.shares / self.shares.sum()
        self.shared = {
            kind.name: [
                int(kind.shared_tokens.draw(self.rng))
                for _ in range(kind.shared_prompts)
            ]
            for kind in kinds
        }

    def programs(self, per_second: float, seconds: float) -> list[ProgramPlan]:
        """Return the programs that arrive in a time, as a Poisson process."""
        programs: list[ProgramPlan] = []
        arrival = self.rng.exponential(1.0 / per_second)
        while arrival < seconds:
            index = int(self.rng.choice(len(self.kinds), p=self.shares))
            name = f"program-{len(programs)}"
            programs.append(self._program(name, self.kinds[index], arrival))
            arrival += self.rng.exponential(1.0 / per_second)
        return programs

    def _program(self, name: str, kind: ProgramKind, arrival: float) -> ProgramPlan:
        shared = int(self.rng.integers(kind.shared_prompts))
        shared_tokens = self.shared[kind.name][shared]
        plan = ProgramPlan(name, kind, arrival, shared, shared_tokens)
        if not kind.model_calls:
            return plan
        turns = max(1, round(kind.turns.draw(self.rng)))
        context = shared_tokens
        for number in range(turns):
            spread = kind.new_tokens if number else kind.first_tokens
            turn = self._turn(kind, spread)
            context += turn.new_tokens + turn.output_tokens
            if context > CONTEXT_TOKENS:
                break
            if number < turns - 1:
                turn.children = self._children(name, number, kind)
            plan.turns.append(turn)
        return plan

    def _turn(self, kind: ProgramKind, new_tokens: Spread) -> TurnPlan:
        return TurnPlan(
            new_tokens=max(16, int(new_tokens.draw(self.rng))),
            output_tokens=max(8, int(kind.output_tokens.draw(self.rng))),
            pause_seconds=kind.pause_seconds.draw(self.rng),
            plain_call=bool(self.rng.random() < kind.plain_share),
        )

    def _children(
        self, parent: str, number: int, kind: ProgramKind
    ) -> list[ProgramPlan]:
        if self.rng.random() >= kind.children_share:
            return []
        count = int(self.rng.integers(2, _MOST_CHILDREN + 1))
        return [
            self._child(f"{parent}.{number}.{index}", kind) for index in range(count)
        ]

    def _child(self, name: str, kind: ProgramKind) -> ProgramPlan:
        plan = ProgramPlan(name, kind, 0.0, -1, 0)
        turns = max(1, round(kind.child_turns.draw(self.rng)))
        plan.turns = [self._turn(kind, kind.new_tokens) for _ in range(turns)]
        return plan
