"""The waiting calls that are refused: their time is over, or they crash endpoints."""

import heapq
from collections.abc import Mapping

from eelgrasslock.exceptions import Ran
from eelgrasslock.scheduling.admission import (
    AdmissionControl,
    ExpiredCall,
    quarantine_refusal,
)
from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import WaitingCall


class CallExpiry:
    """Finds the waiting calls whose time is over or that were quarantined.

    Parameters
    ----------
    admission : AdmissionControl
        Says how long calls may wait, and how they are refused.
    quarantine : Quarantine
        Says which calls must be refused.

    Attributes
    ----------
    heap : list of (float, str)
        When calls expire, on the monotonic clock, and their ids; the next first.
    """

    def __init__(self, admission: AdmissionControl, quarantine: Quarantine) -> None:
        self.admission = admission
        self.quarantine = quarantine
        self.heap: list[tuple[float, str]] = []

    @property
    def next_at(self) -> float:
        """When the next call expires; there must be one."""
        return self.heap[0][0]

    def add(self, call: Call, now: float) -> None:
        """Add a call that waits."""
        heapq.heappush(self.heap, (self.admission.expires_at(call, now), call.id))

    def take_expired(
        self, waiting: Mapping[str, WaitingCall], now: float
    ) -> list[ExpiredCall]:
        """Return the calls that must be refused now."""
        expired: list[ExpiredCall] = []
        while self.heap and self.heap[0][0] <= now:
            _, call_id = heapq.heappop(self.heap)
            one = waiting.get(call_id)
            if one is not None:
                refusal = self.admission.expiry_refusal(one.call, now)
                expired.append(ExpiredCall(one.call, refusal))
        return expired + self._newly_quarantined(waiting)

    def _newly_quarantined(
        self, waiting: Mapping[str, WaitingCall]
    ) -> list[ExpiredCall]:
        if not self.quarantine.has_new_crashes:
            return []
        self.quarantine.has_new_crashes = False
        refused = []
        for one in waiting.values():
            if self.quarantine.refuses(one.call.digests):
                ran = Ran.UNKNOWN if one.call.excluded else Ran.NO
                refused.append(ExpiredCall(one.call, quarantine_refusal(ran)))
        return refused
