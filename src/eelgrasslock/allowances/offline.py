"""What a program may spend while no daemon in reach has the log.

Answers the pattern of programs that begin during an outage of the log, or in a
domain that is cut off from it. What they spend is recorded once the log is
back. If a daemon dies before that, what it served is spent a second time, so
that the share is kept small against the budget.
"""

from collections import Counter
from collections.abc import Iterable

from attrs import frozen

OFFLINE_SHARE = 0.5
SMALL_BUDGET_TURNS = 3


def offline_limit(budget: int, max_generated_tokens: int) -> int:
    """Return the most that a program may spend without the log.

    A budget of few turns gets one turn, which is what a budget may be missed
    by; looping programs have such budgets.
    """
    if budget <= SMALL_BUDGET_TURNS * max_generated_tokens:
        return max_generated_tokens
    return max(max_generated_tokens, int(budget * OFFLINE_SHARE))


@frozen(kw_only=True)
class OfflineUsageReport:
    """What the daemons in reach say together.

    Attributes
    ----------
    words : list of OfflineUsage
        One for each that answered.
    missing : int
        How many of their domains did not answer.
    """

    usages: list["OfflineUsage"]
    missing: int = 0


@frozen(kw_only=True)
class OfflineUsage:
    """What a peer says of a program while the log is away.

    Attributes
    ----------
    domain : str
        The peer's domain.
    spent : int
        What it spent, and set aside, without the log.
    drawn : int
        What all daemons had drawn, as far as it knows.
    """

    domain: str
    spent: int
    drawn: int


def may_spend_offline(
    own: str, members: Iterable[str], answered: Iterable[str]
) -> bool:
    """Return whether the daemons in reach may decide for all.

    Parameters
    ----------
    own : str
        This daemon's domain.
    members, answered : iterable of str
        The domains of all other registered daemons, and of those that
        answered.

    Returns
    -------
    bool
        True if every domain is in reach, or just the own one; at most one
        domain is cut off at a time, so that two groups never both spend. A
        daemon that reaches no other is cut off alone and must not.
    """
    all_domains = set(members)
    reached = set(answered)
    if own in all_domains and own not in reached:
        return False
    others = all_domains - {own}
    in_reach = reached & others
    if not in_reach:
        return own in reached
    return in_reach == others


def missing_members(members: Iterable[str], answered: Iterable[str]) -> int:
    """Return how many members of the domains in reach did not answer."""
    answers = Counter(answered)
    registered = Counter(members)
    return sum(max(0, registered[one] - answers[one]) for one in answers)


def offline_remaining(
    budget: int,
    max_generated_tokens: int,
    own_spent: int,
    own_drawn: int,
    usages: list[OfflineUsage],
    missing: int,
) -> int:
    """Return how much of the program's share is left.

    A daemon that does not answer may have served a turn before it ended.
    """
    spent = (
        own_spent
        + sum(usage.spent for usage in usages)
        + missing * max_generated_tokens
    )
    drawn = max([own_drawn, *(usage.drawn for usage in usages)])
    return min(
        offline_limit(budget, max_generated_tokens) - spent, budget - drawn - spent
    )
