"""The circumstances of a run."""

import enum

from attrs import frozen


class FaultKind(enum.Enum):
    """What happens to one engine half-way through a run."""

    NONE = "none"
    LOST = "lost"
    SLOW = "slow"
    LEAVING = "leaving"


@frozen(kw_only=True)
class Scenario:
    """The circumstances of a run.

    Attributes
    ----------
    load : float
        Programs a second, over those at the knee.
    seconds : float
        How long programs arrive.
    daemons : int
        Daemons before the same endpoints.
    report_lag : float
        Seconds until a load report is heard.
    fault : FaultKind
        What happens half-way.
    """

    load: float = 1.0
    seconds: float = 600.0
    daemons: int = 1
    report_lag: float = 1.0
    fault: FaultKind = FaultKind.NONE
