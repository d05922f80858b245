"""Refusals of turns that a budget does not allow."""

from eelgrasslock.exceptions import Ran, Refusal

BUDGET_UNKNOWN_RETRY_SECONDS = 1.0


def budget_spent_refusal() -> Refusal:
    """Return the refusal of a turn that exceeds its program's budget."""
    return Refusal("budget_spent", "The program's token budget is spent.", 402, Ran.NO)


def budget_unknown_refusal() -> Refusal:
    """Return the refusal of a turn whose program's budget can't be checked now."""
    return Refusal(
        "budget_unknown",
        "It can't be told now whether the program's budget holds this turn.",
        503,
        Ran.NO,
        BUDGET_UNKNOWN_RETRY_SECONDS,
    )
