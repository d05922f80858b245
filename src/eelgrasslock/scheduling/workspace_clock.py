"""Fair order of waiting calls: how far each workspace is ahead of its share."""

import math

MAX_LAG_SECONDS = 10.0
# How much later the calls of workspaces of lower priority are ranked.
LOWER_PRIORITY_SECONDS = 1.0
_PRUNE_SECONDS = 0.5


class WorkspaceClock:
    """Ranks calls by the time at which an equal share of the slots would run them.

    Each call moves the time of its workspace on by its predicted run time at the
    workspace's share, never behind the clock. So a workspace with many calls lags
    behind those with few. One without waiting calls begins anew: it neither keeps a
    right to slots that it left unused, nor pays for slots that were free. The lag is
    bounded, so that each call's turn comes.

    Attributes
    ----------
    busy_until : dict of str to float
        When the share of each workspace would have run all its calls, on the
        monotonic clock, in seconds.
    """

    def __init__(self) -> None:
        self.busy_until: dict[str, float] = {}
        self._prune_at = -math.inf

    def lag(
        self, workspace: str, seconds: float, has_waiting: bool, now: float
    ) -> float:
        """Charge a call to its workspace, and return the seconds that it lags.

        Parameters
        ----------
        workspace : str
            The workspace.
        seconds : float
            The predicted time that the workspace's share takes to run the call.
        has_waiting : bool
            Whether other calls of the workspace wait.
        now : float
            Time on the monotonic clock, in seconds.
        """
        self._prune(now)
        begin = now
        if has_waiting:
            begin = max(now, self.busy_until.get(workspace, now))
        self.busy_until[workspace] = min(begin + seconds, now + MAX_LAG_SECONDS)
        return begin - now

    def _prune(self, now: float) -> None:
        if now < self._prune_at:
            return
        self._prune_at = now + _PRUNE_SECONDS
        idle = [name for name, until in self.busy_until.items() if until <= now]
        for name in idle:
            del self.busy_until[name]
