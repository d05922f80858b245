"""What workspaces ask of a service lately, compared with what they usually ask.

A daemon sees a part of each workspace's requests, so that few requests prove
nothing: a workspace is judged only from a minimum count on.
"""

import math
from collections import OrderedDict

from attrs import define, field, frozen

RECENT_SECONDS = 2.5
USUAL_SECONDS = 60.0
# What a workspace asks beyond the limit counts with this weight in its usual demand,
# so that it is learnt late.
EXCESS_LEARNING_WEIGHT = 0.25
# Multiple of its usual demand, or of an equal share, from which a workspace is beyond.
EXCESS_RATIO = 2.0
MIN_RECENT_REQUESTS = 5.0
MIN_HISTORY_SECONDS = 4.0
# Workspaces that were silent for longer do not count for an equal share.
ACTIVE_SECONDS = 10.0
REVIEW_SECONDS = 0.2
MAX_TURNS_PER_PROGRAM = 20.0
MAX_WORKSPACES = 8_000


@define
class DecayedCount:
    """A count that decays exponentially.

    Attributes
    ----------
    time_constant : float
        The time in which it falls to 1/e, in seconds.
    value : float
        The count at the time of its last change.
    updated_at : float
        That time on the monotonic clock, in seconds.
    """

    time_constant: float
    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.value = self.read(now) + amount
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the count now."""
        return self.value * math.exp((self.updated_at - now) / self.time_constant)


@define
class WorkspaceCounts:
    """The requests of one workspace: lately, and over the time before."""

    recent: DecayedCount = field(factory=lambda: DecayedCount(RECENT_SECONDS))
    usual: DecayedCount = field(factory=lambda: DecayedCount(USUAL_SECONDS))


@frozen
class Excess:
    """The demand of a workspace that is beyond its share.

    Attributes
    ----------
    demand : float
        The requests a second that it sends.
    share : float
        The requests a second that it may send before others pay: its usual demand,
        or an equal share if that is more.
    """

    demand: float
    share: float


class WorkspaceDemand:
    """The demand of the workspaces of one service.

    Attributes
    ----------
    counts : OrderedDict of str to WorkspaceCounts
        The counts by workspace, the one that was silent the longest first.
    reviewed_rate : float
        The requests a second of all workspaces at the time of the excesses.
    """

    def __init__(self) -> None:
        self.counts: OrderedDict[str, WorkspaceCounts] = OrderedDict()
        self._total = DecayedCount(RECENT_SECONDS)
        self._requests = DecayedCount(USUAL_SECONDS)
        self._programs = DecayedCount(USUAL_SECONDS)
        self._since: float | None = None
        self.reviewed_rate = 0.0
        self._excesses: dict[str, Excess] = {}
        self._review_at = -math.inf

    def record(self, workspace: str, now: float, is_new: bool = False) -> None:
        """Record a request of a workspace, and whether it begins a program."""
        if self._since is None:
            self._since = now
        self._requests.add(1.0, now)
        if is_new:
            self._programs.add(1.0, now)
        self._count(workspace, 1.0, now)

    def record_refused(self, workspace: str, now: float) -> None:
        """Record that a recorded new program is refused.

        It counts with the requests that it would have sent, so that a workspace's
        demand is not taken for lower because its programs are refused.
        """
        programs = self._programs.read(now)
        turns = self._requests.read(now) / programs if programs >= 1.0 else 1.0
        later = min(turns, MAX_TURNS_PER_PROGRAM) - 1.0
        self._requests.add(-1.0, now)
        self._programs.add(-1.0, now)
        self._count(workspace, max(0.0, later), now)

    def _count(self, workspace: str, requests: float, now: float) -> None:
        counts = self.counts.setdefault(workspace, WorkspaceCounts())
        self.counts.move_to_end(workspace)
        if len(self.counts) > MAX_WORKSPACES:
            self.counts.popitem(last=False)
        is_beyond = workspace in self._excesses
        weight = EXCESS_LEARNING_WEIGHT if is_beyond else 1.0
        counts.recent.add(requests, now)
        counts.usual.add(requests * weight, now)
        self._total.add(requests, now)

    def rate(self, now: float) -> float:
        """Return the requests a second of all workspaces."""
        return self._total.read(now) / RECENT_SECONDS

    def excesses(self, now: float) -> dict[str, Excess]:
        """Return the workspaces that ask for more than their shares."""
        if now >= self._review_at:
            self._review_at = now + REVIEW_SECONDS
            self.reviewed_rate = self.rate(now)
            self._excesses = self._review(now)
        return self._excesses

    def _review(self, now: float) -> dict[str, Excess]:
        if self._since is None or now - self._since < MIN_HISTORY_SECONDS:
            return {}
        # The usual count has not had the time to fill up, shortly after the start.
        filled = 1.0 - math.exp((self._since - now) / USUAL_SECONDS)
        active = 0
        candidates = []
        for name, counts in reversed(self.counts.items()):
            if counts.recent.updated_at < now - ACTIVE_SECONDS:
                break
            active += 1
            recent = counts.recent.read(now)
            if recent >= MIN_RECENT_REQUESTS:
                usual_rate = counts.usual.read(now) / (USUAL_SECONDS * filled)
                candidates.append((name, recent / RECENT_SECONDS, usual_rate))
        equal_rate = self.reviewed_rate / max(1, active)
        excesses = {}
        for name, demand, usual_rate in candidates:
            share = max(usual_rate, equal_rate)
            if demand > EXCESS_RATIO * share:
                excesses[name] = Excess(demand, share)
        return excesses


def fair_refusal_share(
    refused: float, excess: Excess | None, excesses: list[Excess], total: float
) -> float:
    """Return the share of a workspace's new programs to refuse, from 0.0 to 1.0.

    The same number of programs is refused as if all workspaces paid alike. Those
    beyond their shares pay first, down to their shares; only then do all. This is
    weighted max-min fairness, with shares as weights.

    Parameters
    ----------
    refused : float
        The share of all new programs to refuse.
    excess : Excess or None
        The demand of the workspace, None if it is within its share.
    excesses : list of Excess
        The demands of all workspaces beyond their shares.
    total : float
        The requests a second of all workspaces.
    """
    others = max(0.0, total - sum(one.demand for one in excesses))
    kept = (1.0 - refused) * (others + sum(one.demand for one in excesses))
    at_shares = others + sum(one.share for one in excesses)
    if kept >= at_shares:
        if excess is None:
            return 0.0
        level = _level(kept - others, excesses)
    else:
        level = kept / at_shares
        if excess is None:
            return 1.0 - level
    return max(0.0, 1.0 - level * excess.share / excess.demand)


def _level(room: float, excesses: list[Excess]) -> float:
    """Return the multiple of their shares that workspaces get of a room, max-min."""
    pending = sorted(excesses, key=lambda one: one.demand / one.share)
    share_sum = sum(one.share for one in pending)
    for one in pending:
        level = room / share_sum
        if one.demand >= level * one.share:
            return level
        room -= one.demand
        share_sum -= one.share
    return math.inf
