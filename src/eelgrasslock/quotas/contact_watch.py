"""Notices soon that no other daemon is reached any more."""

# How old the last contact may be before another one is looked for, and for how long
# that may take.
_CONTACT_SECONDS = 0.3
_DOUBT_SECONDS = 0.2


class ContactWatch:
    """Remembers when another daemon last called or answered.

    An owner that is cut off alone would grant tokens to itself until its heartbeats
    are missed; while it grants, it therefore looks for others in between.
    """

    __slots__ = ("_contact_at", "_doubted_since")

    def __init__(self) -> None:
        self._contact_at = float("-inf")
        self._doubted_since = float("inf")

    def record(self, now: float) -> None:
        """Record a call or an answer of another daemon."""
        self._contact_at = now
        self._doubted_since = float("inf")

    def is_doubtful(self, now: float) -> bool:
        """Return whether another daemon has to be looked for."""
        if now <= self._contact_at + _CONTACT_SECONDS:
            return False
        self._doubted_since = min(self._doubted_since, now)
        return True

    def is_lost(self, now: float) -> bool:
        """Return whether none was found."""
        return now > self._doubted_since + _DOUBT_SECONDS
