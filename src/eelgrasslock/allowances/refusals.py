"""The answers to turns that a budget does not allow."""

from eelgrasslock.exceptions import Ran, Refusal

BUDGET_UNKNOWN_RETRY_SECONDS = 1.0


def budget_spent() -> Refusal:
    """Return the answer to a turn that its program's budget no longer holds."""
    return Refusal("budget_spent", "The program's token budget is spent.", 402, Ran.NO)


def budget_unknown() -> Refusal:
    """Return the answer to a turn whose program's budget can't be looked up."""
    return Refusal(
        "budget_unknown",
        "It can't be told now whether the program's budget holds this turn.",
        503,
        Ran.NO,
        BUDGET_UNKNOWN_RETRY_SECONDS,
    )
