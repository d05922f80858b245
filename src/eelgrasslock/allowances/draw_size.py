"""How much of a program's budget a daemon draws at a time.

Answers the pattern of programs whose lines of turns meet several daemons: a
draw takes a third of what is left, so that a program that keeps to one daemon
needs few draws and goes on through an outage of the log, while several
daemons together leave some of it for one more.
"""

DRAW_SHARE = 1 / 3
MAX_TURNS_PER_DRAW = 4


def tokens_to_draw(
    budget: int, drawn: int, needed_tokens: int, max_generated_tokens: int
) -> int:
    """Return how many tokens to draw, 0 if the budget can't give what is needed.

    Parameters
    ----------
    budget : int
        The program's budget.
    drawn : int
        What all daemons have drawn.
    needed : int
        The least that helps.
    worst : int
        The most that one turn uses.
    """
    free = budget - drawn
    if free < needed_tokens:
        return 0
    share = min(int(free * DRAW_SHARE), MAX_TURNS_PER_DRAW * max_generated_tokens)
    return max(needed_tokens, min(max_generated_tokens, free), share)
