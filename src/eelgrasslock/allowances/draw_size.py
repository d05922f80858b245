"""Size of a draw from a program's budget.

The turns of a program may reach several daemons. A draw takes a third of what
is left: a program that stays at one daemon needs few draws and continues through
an outage of the log, while several daemons together leave tokens for another one.
"""

DRAW_FRACTION = 1 / 3
MAX_TURNS_PER_DRAW = 4


def tokens_to_draw(
    budget: int, limit: int, drawn: int, needed_tokens: int, max_generated_tokens: int
) -> int:
    """Return how many tokens to draw, 0 if less than needed is left.

    Parameters
    ----------
    budget : int
        The program's budget.
    limit : int
        What all daemons may draw of it now.
    drawn : int
        Tokens that all daemons have drawn.
    needed_tokens : int
        The fewest tokens with which the turn can run.
    max_generated_tokens : int
        The most tokens that one turn may generate.
    """
    left = limit - drawn
    if left < needed_tokens:
        return 0
    remaining = budget - drawn
    share = min(
        int(remaining * DRAW_FRACTION), MAX_TURNS_PER_DRAW * max_generated_tokens
    )
    return min(left, max(needed_tokens, max_generated_tokens, share))
