"""The requests of one workspace at this daemon, and the tokens that it holds."""

import asyncio
from collections import deque

from attrs import define, field, frozen

from eelgrasslock.quotas.lease_bucket import LeaseBucket


@frozen(kw_only=True)
class QuotaToken:
    """The right to run one request.

    Attributes
    ----------
    workspace : str
        Whose request.
    expires_at : float
        Until when it may be used by another request, on the monotonic clock.
    """

    workspace: str
    expires_at: float


@define(eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes
    ----------
    since : float
        When it came.
    token : Future of QuotaToken
        Its token, or the refusal.
    """

    since: float
    token: asyncio.Future[QuotaToken]


class HeldTokens:
    """Tokens that were leased and not used yet."""

    def __init__(self) -> None:
        self._expiries: deque[float] = deque()

    def add(self, count: int, expires_at: float) -> None:
        """Add tokens that expire after all others."""
        self._expiries.extend([expires_at] * count)

    def give_back(self, expires_at: float) -> None:
        """Add a token that was not used; it expires first."""
        self._expiries.appendleft(expires_at)

    def take(self, now: float) -> float | None:
        """Use a token and return when it would have expired, None without any."""
        while self._expiries:
            expires_at = self._expiries.popleft()
            if expires_at > now:
                return expires_at
        return None

    def __len__(self) -> int:
        """Return the number of tokens, with those that have expired since."""
        return len(self._expiries)


class ArrivalRate:
    """Counts the requests of the last short while."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._slot = 0
        self._counts = (0, 0)

    def record(self, now: float) -> None:
        """Count a request."""
        self._turn(now)
        self._counts = (self._counts[0], self._counts[1] + 1)

    def recent(self, now: float) -> int:
        """Return the requests of the last slot or of this one, whichever has more."""
        self._turn(now)
        return max(self._counts)

    def _turn(self, now: float) -> None:
        slot = int(now / self.seconds)
        passed = slot - self._slot
        if passed:
            self._counts = (self._counts[1] if passed == 1 else 0, 0)
        self._slot = slot


@define(eq=False)
class WorkspaceDemand:
    """What this daemon knows of one workspace while it sends requests.

    Attributes
    ----------
    name : str
        The workspace's name.
    arrivals : ArrivalRate
        Its requests of late.
    held : HeldTokens
        Its tokens.
    waiting : deque of Waiter
        The requests that wait for tokens.
    empty_until : dict of str to float
        Until when the owners of domains need not be asked, by domain.
    answered_at : float
        When an owner last answered.
    used_at : float
        When a request last came.
    alone : LeaseBucket or None
        This daemon's own part, for the time in which it reaches no owner.
    is_asking : bool
        Whether a call to owners is under way.
    """

    name: str
    arrivals: ArrivalRate
    held: HeldTokens = field(factory=HeldTokens)
    waiting: deque[Waiter] = field(factory=deque)
    empty_until: dict[str, float] = field(factory=dict)
    answered_at: float = float("-inf")
    used_at: float = 0.0
    alone: LeaseBucket | None = None
    is_asking: bool = False

    def serve_waiting(self, now: float) -> None:
        """Give the tokens to those who wait, in their order."""
        self.drop_gone()
        while self.waiting:
            expires_at = self.held.take(now)
            if expires_at is None:
                return
            token = QuotaToken(workspace=self.name, expires_at=expires_at)
            self.waiting.popleft().token.set_result(token)
            self.drop_gone()

    def drop_gone(self) -> None:
        """Drop those at the head whose callers have left."""
        while self.waiting and self.waiting[0].token.done():
            self.waiting.popleft()

    def is_idle(self, since: float) -> bool:
        """Return whether no request has come since a time and none waits."""
        return not self.is_asking and not self.waiting and self.used_at < since
