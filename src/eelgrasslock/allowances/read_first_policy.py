"""Decides whether to read a partition before the first append to it.

The turns of a program may reach many daemons. A daemon whose first append goes
to a partition in which others have drawn gets a conflict, reads, and appends
again: three calls, where reading first needs two. In a partition without
records, the append alone suffices.
"""

APPEND_CALLS = 1
CONFLICTED_APPEND_CALLS = 3
READ_FIRST_CALLS = 2
LEARNING_RATE = 0.1


class ReadFirstPolicy:
    """Estimates how often a partition already has records of other daemons.

    Attributes
    ----------
    used_share : float
        Moving average of the share of first accesses that found records of
        others.
    """

    def __init__(self) -> None:
        self.used_share = 0.5

    @property
    def should_read_first(self) -> bool:
        """Whether reading first is expected to need fewer calls."""
        conflict_calls = self.used_share * (CONFLICTED_APPEND_CALLS - APPEND_CALLS)
        return APPEND_CALLS + conflict_calls > READ_FIRST_CALLS

    def observe(self, used: bool) -> None:
        """Record whether the first access to a partition found records of others."""
        self.used_share += LEARNING_RATE * (used - self.used_share)
