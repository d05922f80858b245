"""Budgets that keep retries a small share of first tries."""

import random
from collections import OrderedDict

_BASE_SECONDS = 0.1
_CAP_SECONDS = 5.0
_MOST_TOKENS = 32.0
_PROGRAM_START_TOKENS = 2.0
_PROGRAMS_KEPT = 20_000


class RetryBudget:
    """Allows one retry for each ``1 / ratio`` first tries, with a small start.

    Parameters
    ----------
    ratio : float
        Retries earned by each first try.
    tokens : float
        Retries allowed at the start.
    """

    __slots__ = ("ratio", "tokens")

    def __init__(self, ratio: float, tokens: float = _MOST_TOKENS) -> None:
        self.ratio = ratio
        self.tokens = tokens

    def earn(self) -> None:
        """Note a first try."""
        self.tokens = min(_MOST_TOKENS, self.tokens + self.ratio)

    @property
    def affordable(self) -> bool:
        """Whether a retry may be made."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Note a retry."""
        self.tokens -= 1.0


class RetryBudgets:
    """The budgets of programs and endpoints.

    Parameters
    ----------
    ratio : float
        Retries earned by each first try.
    retries_per_call : int
        The most retries of one call.
    rng : random.Random
        Draws the delays.
    """

    def __init__(self, ratio: float, retries_per_call: int, rng: random.Random) -> None:
        self.ratio = ratio
        self.retries_per_call = retries_per_call
        self.rng = rng
        self.programs: OrderedDict[str, RetryBudget] = OrderedDict()
        self.endpoints: dict[str, RetryBudget] = {}

    def first_try(self, program: str, endpoint: str) -> None:
        """Note that a call was sent for the first time."""
        self._program(program).earn()
        self._endpoint(endpoint).earn()

    def delay(self, program: str, endpoint: str, attempt: int) -> float | None:
        """Return seconds to wait before retry `attempt`, counted from 1.

        The delay is drawn from the whole range up to the exponential bound
        (full jitter). None means that a budget is used up.
        """
        if attempt > self.retries_per_call:
            return None
        budgets = (self._program(program), self._endpoint(endpoint))
        if not all(budget.affordable for budget in budgets):
            return None
        for budget in budgets:
            budget.spend()
        bound = min(_CAP_SECONDS, _BASE_SECONDS * 2.0**attempt)
        return self.rng.uniform(0.0, bound)

    def forget_program(self, program: str) -> None:
        """Drop an ended program's budget."""
        self.programs.pop(program, None)

    def _program(self, program: str) -> RetryBudget:
        budget = self.programs.get(program)
        if budget is None:
            budget = RetryBudget(self.ratio, _PROGRAM_START_TOKENS)
            self.programs[program] = budget
            if len(self.programs) > _PROGRAMS_KEPT:
                self.programs.popitem(last=False)
        return budget

    def _endpoint(self, endpoint: str) -> RetryBudget:
        return self.endpoints.setdefault(endpoint, RetryBudget(self.ratio))
