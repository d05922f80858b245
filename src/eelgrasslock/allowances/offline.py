"""Limits on what a program may spend while no reachable daemon has the log.

They serve programs that start during an outage of the log, or in a failure domain
that is partitioned from it. Tokens spent meanwhile are recorded once the log
answers. Daemons that are partitioned or new don't know what others have spent, so
a program may get its offline share more than once.
"""

from collections import Counter
from collections.abc import Iterable

from attrs import frozen

OFFLINE_SHARE = 0.5
SMALL_BUDGET_TURNS = 3


def offline_limit(
    budget: int, max_generated_tokens: int, has_full_history: bool
) -> int:
    """Return the most tokens that a program may spend without the log.

    A budget of few turns may be exceeded by one turn in the life of the program.
    It gets that turn only from daemons that would know of an earlier one.
    """
    if budget <= SMALL_BUDGET_TURNS * max_generated_tokens:
        return max_generated_tokens if has_full_history else 0
    return max(max_generated_tokens, int(budget * OFFLINE_SHARE))


@frozen(kw_only=True)
class OfflineUsageReport:
    """Answers of the reachable peers to a query for offline usage.

    Attributes
    ----------
    usages : list of OfflineUsage
        One entry for each peer that answered.
    missing : int
        How many peers of the reachable domains did not answer.
    has_full_history : bool
        Whether this daemon and the peers know all draws of all programs that may
        still return.
    """

    usages: list["OfflineUsage"]
    missing: int = 0
    has_full_history: bool = False


@frozen(kw_only=True)
class OfflineUsage:
    """A peer's usage of a program's budget while the log is unavailable.

    Attributes
    ----------
    domain : str
        The peer's failure domain.
    spent : int
        Tokens that the peer spent or reserved without the log.
    drawn : int
        Tokens that all daemons had drawn, by the records that the peer has read.
    has_full_history : bool
        Whether the peer has run for as long as any program may have lasted.
    """

    domain: str
    spent: int
    drawn: int
    has_full_history: bool = False


@frozen(kw_only=True)
class UnrecordedDraw:
    """Tokens that a program spent without the log, and that it does not hold yet.

    Attributes
    ----------
    program : str
        The program's id.
    budget : int
        Tokens that all turns of the program may generate.
    tokens : int
        How many tokens were spent.
    """

    program: str
    budget: int
    tokens: int


def may_spend_offline(
    own: str, members: Iterable[str], answered: Iterable[str]
) -> bool:
    """Return whether the reachable daemons may spend tokens without the log.

    Parameters
    ----------
    own : str
        This daemon's failure domain.
    members, answered : iterable of str
        The failure domains of all other registered daemons, and of those that
        answered.

    Returns
    -------
    bool
        True if all domains are reachable, or only this daemon's own. At most one
        domain is partitioned at a time, so two groups never both spend. A daemon
        that reaches no other one may not spend.
    """
    all_domains = set(members)
    reachable = set(answered)
    if own in all_domains and own not in reachable:
        return False
    others = all_domains - {own}
    reachable_others = reachable & others
    if not reachable_others:
        return own in reachable
    return reachable_others == others


def missing_members(members: Iterable[str], answered: Iterable[str]) -> int:
    """Return how many members of the reachable domains did not answer."""
    answers = Counter(answered)
    registered = Counter(members)
    return sum(max(0, registered[domain] - answers[domain]) for domain in answers)


def offline_remaining(
    budget: int,
    max_generated_tokens: int,
    own_spent: int,
    own_drawn: int,
    report: OfflineUsageReport,
) -> int:
    """Return how many tokens of the offline share are left.

    Each missing peer counts as one turn, which it may have served before it ended.
    """
    spent = (
        own_spent
        + sum(usage.spent for usage in report.usages)
        + report.missing * max_generated_tokens
    )
    drawn = max([own_drawn, *(usage.drawn for usage in report.usages)])
    limit = offline_limit(budget, max_generated_tokens, report.has_full_history)
    return min(limit - spent, budget - drawn - spent)
