"""Whether to read a partition before the first append to it.

Answers the pattern of programs whose turns meet many daemons: a daemon that
appends to a partition in which others have drawn is told that the end has
moved, reads, and appends again, which are three calls where reading first
needs two. In a partition that nobody has used yet, the append alone does.
"""

APPEND_CALLS = 1
CONFLICTED_APPEND_CALLS = 3
READ_FIRST_CALLS = 2
LEARNING_RATE = 0.1


class ReadFirstPolicy:
    """Learns how often others had used a partition before this daemon.

    Attributes
    ----------
    used_share : float
        The share of first contacts that met others' records, lately.
    """

    def __init__(self) -> None:
        self.used_share = 0.5

    @property
    def should_read_first(self) -> bool:
        """Whether reading first is expected to need fewer calls."""
        again = self.used_share * (CONFLICTED_APPEND_CALLS - APPEND_CALLS)
        return APPEND_CALLS + again > READ_FIRST_CALLS

    def observe(self, used: bool) -> None:
        """Note whether others had used a partition before the first contact."""
        self.used_share += LEARNING_RATE * (used - self.used_share)
