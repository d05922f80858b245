"""How much of a workspace's quota the daemons of one failure domain may grant."""

import math

from attrs import frozen

# Of the overage that is allowed, for tokens that are used after they were granted.
_LEASE_SHARE = 0.4
_MAX_LEASE_SECONDS = 0.25
_MIN_LEASE_SECONDS = 0.05
# The share of a domain's daemons that must be heard of for any of its part, and
# for all of it: two sides of a cut never have more than the whole together.
_NONE_HEARD = 0.2
_ENOUGH_HEARD = 0.8
# Parts of the slack: what may come at once beyond the burst, and what the new owners
# of all domains may grant before any token is due.
_BURST_SLACK = 0.33
_NEW_OWNER_SLACK = 0.125


@frozen(kw_only=True)
class QuotaBounds:
    """What is allowed beyond quotas.

    Attributes
    ----------
    window_seconds : float
        The time in which requests are counted.
    overage : float
        The part of a quota that may be exceeded in such a time.
    slack : float
        The requests beyond that.
    """

    window_seconds: float
    overage: float
    slack: float

    @property
    def lease_seconds(self) -> float:
        """How long a token may be used after it was asked for."""
        seconds = _LEASE_SHARE * self.overage * self.window_seconds
        return min(_MAX_LEASE_SECONDS, max(_MIN_LEASE_SECONDS, seconds))

    @property
    def rate_factor(self) -> float:
        """The part of the rate that may be granted, as tokens are used later."""
        window = self.window_seconds
        return min(1.0, (1.0 + self.overage) * window / (window + self.lease_seconds))

    @property
    def spare_seconds(self) -> float:
        """The time whose requests may come at once beyond the burst."""
        return max(0.0, self.overage * self.window_seconds - self.lease_seconds) / 2


@frozen(kw_only=True)
class QuotaShare:
    """The token bucket of one domain.

    Attributes
    ----------
    per_second : float
        The rate of tokens.
    capacity : float
        The tokens that it can hold.
    first_tokens : float
        The tokens that a new owner may grant at once.
    """

    per_second: float
    capacity: float
    first_tokens: float = 0.0


def heard_factor(heard: int, daemons: int) -> float:
    """Return the part of a domain's share that its owner may grant.

    Parameters
    ----------
    heard : int
        The daemons of the domain of which it hears, with itself.
    daemons : int
        The registered daemons of the domain.
    """
    heard_share = heard / daemons
    factor = (heard_share - _NONE_HEARD) / (_ENOUGH_HEARD - _NONE_HEARD)
    return min(1.0, max(0.0, factor))


def quota_share(
    per_second: float, burst: float, domains: int, heard: float, bounds: QuotaBounds
) -> QuotaShare:
    """Return the bucket of one of several domains; `heard` is its `heard_factor`."""
    burst += per_second * bounds.spare_seconds + _BURST_SLACK * bounds.slack
    return QuotaShare(
        per_second=heard * bounds.rate_factor * per_second / domains,
        capacity=max(1, math.ceil(burst / domains)) if heard else 0.0,
        first_tokens=_NEW_OWNER_SLACK * bounds.slack / domains,
    )
