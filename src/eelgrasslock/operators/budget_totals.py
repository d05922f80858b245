"""The tokens that programs used by the lines of all daemons, against their budgets."""

from collections.abc import Iterable
from typing import Any

from attrs import define, field

from eelgrasslock.operators.log_stories import StoryLine, parse_line


@define(kw_only=True)
class BudgetTotal:
    """The tokens that one program used.

    Attributes
    ----------
    program : str
        The program's ID.
    budget : int
        The largest budget that its requests stated, in tokens.
    max_turn_tokens : int
        The most tokens that one of its turns may generate.
    used_tokens : int
        Tokens that were relayed to callers in all turns.
    turns : int
        How many requests used tokens.
    offline_draws : list of str
        Time, daemon and tokens of each draw without the log.
    open_turns : dict of str to int
        Tokens that are reserved for turns without a line of their end, by request: a
        daemon that is killed writes none.
    """

    program: str
    budget: int = 0
    max_turn_tokens: int = 0
    used_tokens: int = 0
    turns: int = 0
    offline_draws: list[str] = field(factory=list)
    open_turns: dict[str, int] = field(factory=dict)

    @property
    def most_used_tokens(self) -> int:
        """The most tokens that the program can have used, by its lines."""
        return self.used_tokens + sum(self.open_turns.values())

    @property
    def excess_tokens(self) -> int:
        """Tokens used beyond the budget, negative if some are left."""
        return self.used_tokens - self.budget

    @property
    def exceeds_limit(self) -> bool:
        """Whether more than the budget and one turn was used."""
        return self.excess_tokens > self.max_turn_tokens

    def add(self, line: StoryLine) -> None:
        """Count a line of the program."""
        inputs = line.inputs
        if "offline_tokens" in inputs:
            draw = f"{line.time} {line.daemon} {inputs['offline_tokens']}"
            self.offline_draws.append(draw)
        if "reserved_tokens" in inputs:
            self._note_shape(inputs.get("budget"), inputs["reserved_tokens"])
            self.open_turns[line.request] = int(inputs["reserved_tokens"])
        if "outcome" in inputs:
            self.open_turns.pop(line.request, None)
        tokens = int(inputs.get("tokens") or 0)
        if "outcome" not in inputs or not tokens or inputs.get("budget") is None:
            return
        self._note_shape(inputs["budget"], inputs.get("max_tokens"))
        self.used_tokens += tokens
        self.turns += 1

    def _note_shape(self, budget: Any, max_turn_tokens: Any) -> None:
        self.budget = max(self.budget, int(budget or 0))
        self.max_turn_tokens = max(self.max_turn_tokens, int(max_turn_tokens or 0))


def total_budgets(texts: Iterable[str]) -> list[BudgetTotal]:
    """Return the programs of log lines, those with the largest excess first."""
    totals: dict[str, BudgetTotal] = {}
    for text in texts:
        line = parse_line(text)
        if line is None or not line.program:
            continue
        total = totals.setdefault(line.program, BudgetTotal(program=line.program))
        total.add(line)
    started = [total for total in totals.values() if total.turns or total.open_turns]
    return sorted(started, key=lambda total: -total.excess_tokens)
