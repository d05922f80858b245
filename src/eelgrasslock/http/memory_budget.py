"""Decides which callers' connections end when memory is short.

Bytes count as they are received, not as they are declared. Answers that wait for
their readers count by what the connections on both sides may keep.
"""

from attrs import define, frozen

# A body in the process and what of it waits to be sent to an endpoint.
COPIES = 2
# The fields of a head that is not whole, as received and as parsed.
HEAD_COPIES = 4
CONNECTION_BYTES = 16_384
# What an answer keeps here and at the endpoint's connection while its reader waits.
BLOCKED_BYTES = 786_432
# Bodies up to this size are not ended for others' sake.
SMALL_BODY_BYTES = 262_144
STALLED_SECONDS = 1.0
# How far small bodies may go beyond the limit.
OVERDRAFT = 1.25
# How much more must be held before victims are sought again in vain.
SEARCH_STEP_BYTES = 1_048_576

Rank = tuple[int, float]


@define(eq=False)
class Holding:
    """What one connection holds.

    Attributes
    ----------
    progressed_at : float
        When something was received last, on the monotonic clock, in seconds.
    received : int
        The bytes received for requests that have not ended.
    request_bytes : int
        The bytes of them that belong to the request in progress, once it is whole.
    unsent : int
        The bytes of ended responses that are not sent.
    is_active : bool
        Whether a request is in progress.
    awaits_body : bool
        Whether it waits for the rest of its body.
    blocked_since : float or None
        Since when the caller reads too little.
    """

    progressed_at: float
    received: int = 0
    request_bytes: int = 0
    unsent: int = 0
    is_active: bool = False
    awaits_body: bool = False
    blocked_since: float | None = None

    @property
    def size(self) -> int:
        """The bytes that it counts for."""
        waiting = BLOCKED_BYTES if self.is_blocked else 0
        copies = COPIES if self.is_active else HEAD_COPIES
        return CONNECTION_BYTES + copies * self.received + self.unsent + waiting

    @property
    def is_blocked(self) -> bool:
        """Whether a request in progress waits for the caller to read."""
        return self.is_active and self.blocked_since is not None

    @property
    def ahead(self) -> int:
        """The bytes received after the request in progress."""
        if not self.is_active or self.awaits_body:
            return 0
        return self.received - self.request_bytes


@frozen
class Victim:
    """A connection to end.

    Attributes
    ----------
    holding : Holding
        What it holds.
    is_refused : bool
        Whether its request is refused as not run, since its body is not whole.
    """

    holding: Holding
    is_refused: bool


class MemoryBudget:
    """Adds up what connections hold, and chooses those that end.

    Parameters
    ----------
    limit : float
        How many bytes they may hold; infinite for no limit.

    Attributes
    ----------
    held : int
        How many bytes they hold.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.held = 0
        self._sizes: dict[Holding, int] = {}
        self._search_at = limit

    def update(self, holding: Holding) -> None:
        """Count a holding that is new or has changed."""
        size = holding.size
        self.held += size - self._sizes.get(holding, 0)
        self._sizes[holding] = size

    def remove(self, holding: Holding) -> None:
        """Forget a holding whose connection ends."""
        self.held -= self._sizes.pop(holding, 0)

    @property
    def holdings(self) -> list[Holding]:
        """All holdings."""
        return list(self._sizes)

    @property
    def is_search_due(self) -> bool:
        """Whether victims are to be sought."""
        return self.held > self._search_at

    def choose_victims(self, now: float) -> list[Victim]:
        """Remove the holdings that end, and return them.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        """
        is_overdrawn = self.held > OVERDRAFT * self.limit
        ranked = []
        for holding in self._sizes:
            rank = _rank(holding, now, is_overdrawn)
            if rank is not None:
                ranked.append((rank, id(holding), holding))
        victims = []
        for _, _, holding in sorted(ranked):
            if self.held <= self.limit:
                break
            self.remove(holding)
            victims.append(Victim(holding, holding.awaits_body))
        self._search_at = max(self.limit, self.held + SEARCH_STEP_BYTES)
        if self.held <= self.limit:
            self._search_at = self.limit
        return victims


def _rank(holding: Holding, now: float, is_overdrawn: bool) -> Rank | None:
    """Return the place of a connection among those that end, None for none."""
    is_coming = holding.awaits_body or (not holding.is_active and holding.received > 0)
    blocked_since = holding.blocked_since
    if is_coming and now - holding.progressed_at >= STALLED_SECONDS:
        return 0, holding.progressed_at
    if blocked_since is not None and now - blocked_since >= STALLED_SECONDS:
        return 1, blocked_since
    if is_coming and holding.received > SMALL_BODY_BYTES:
        return 2, holding.received
    if holding.ahead > 0:
        return 3, -holding.ahead
    if blocked_since is not None:
        return 4, blocked_since
    if not is_overdrawn:
        return None
    if is_coming:
        return 5, holding.received
    return None if holding.is_active else (6, holding.progressed_at)
