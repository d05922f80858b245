"""The two parts of a budget: what the log hands out, and what may go without it.

Each part is bounded by itself, and both together are the budget and one turn at the
most. So a draw from the log can't meet what was given without it, whether that is
recorded or not.
"""

OFFLINE_SHARE = 0.5


def offline_limit(budget: int, max_generated_tokens: int) -> int:
    """Return the most tokens that a program may get without the log."""
    return max(max_generated_tokens, int(budget * OFFLINE_SHARE))


def log_limit(budget: int, max_generated_tokens: int) -> int:
    """Return the most tokens to draw while some may still be given without the log.

    The rest is drawn once the daemons that keep the draws without the log give no
    more of them.
    """
    rest = budget + max_generated_tokens - offline_limit(budget, max_generated_tokens)
    return min(budget, rest)
