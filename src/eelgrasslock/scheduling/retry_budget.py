"""Budgets that keep retries a small share of first tries."""

import random
from collections import OrderedDict

_BASE_DELAY_SECONDS = 0.1
_MAX_DELAY_SECONDS = 5.0
_MAX_BALANCE = 32.0
_INITIAL_PROGRAM_BALANCE = 2.0
_MAX_PROGRAMS = 20_000


class RetryBudget:
    """Allows one retry for each ``1 / ratio`` first tries, with a small start.

    Parameters
    ----------
    ratio : float
        Retries earned by each first try.
    balance : float
        Retries allowed at the start.
    """

    __slots__ = ("balance", "ratio")

    def __init__(self, ratio: float, balance: float = _MAX_BALANCE) -> None:
        self.ratio = ratio
        self.balance = balance

    def deposit(self) -> None:
        """Note a first try."""
        self.balance = min(_MAX_BALANCE, self.balance + self.ratio)

    @property
    def has_retry(self) -> bool:
        """Whether a retry may be made."""
        return self.balance >= 1.0

    def withdraw(self) -> None:
        """Note a retry."""
        self.balance -= 1.0


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

    def record_first_attempt(self, program: str, endpoint: str) -> None:
        """Note that a call was sent for the first time."""
        self._program(program).deposit()
        self._endpoint(endpoint).deposit()

    def delay(self, program: str, endpoint: str, attempt: int) -> float | None:
        """Return seconds to wait before retry `attempt`, counted from 1.

        The delay is drawn from the whole range up to the exponential bound
        (full jitter). None means that a budget is used up.
        """
        if attempt > self.retries_per_call:
            return None
        budgets = (self._program(program), self._endpoint(endpoint))
        if not all(budget.has_retry for budget in budgets):
            return None
        for budget in budgets:
            budget.withdraw()
        bound = min(_MAX_DELAY_SECONDS, _BASE_DELAY_SECONDS * 2.0**attempt)
        return self.rng.uniform(0.0, bound)

    def forget_program(self, program: str) -> None:
        """Drop an ended program's budget."""
        self.programs.pop(program, None)

    def _program(self, program: str) -> RetryBudget:
        budget = self.programs.get(program)
        if budget is None:
            budget = RetryBudget(self.ratio, _INITIAL_PROGRAM_BALANCE)
            self.programs[program] = budget
            if len(self.programs) > _MAX_PROGRAMS:
                self.programs.popitem(last=False)
        return budget

    def _endpoint(self, endpoint: str) -> RetryBudget:
        return self.endpoints.setdefault(endpoint, RetryBudget(self.ratio))
