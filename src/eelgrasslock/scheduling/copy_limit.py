"""How many calls like a given one may be in flight at once."""

from collections import Counter

from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.lost_calls import LostCalls
from eelgrasslock.scheduling.quarantine import CRASHES_TO_QUARANTINE, Quarantine


class CopyLimit:
    """Counts the calls in flight, so that not many crash endpoints at once.

    Parameters
    ----------
    quarantine : Quarantine
        Says which digests are suspect: of these, one call is in flight at most.
    lost_calls : LostCalls
        The calls of which it is not known yet whether they ended their endpoint.

    Attributes
    ----------
    in_flight : Counter of str
        The calls in flight by digest.
    """

    def __init__(self, quarantine: Quarantine, lost_calls: LostCalls) -> None:
        self.quarantine = quarantine
        self.lost_calls = lost_calls
        self.in_flight: Counter[str] = Counter()

    def record_started(self, call: Call) -> None:
        """Record that a call is in flight."""
        self.in_flight.update(call.digests)

    def record_finished(self, call: Call) -> None:
        """Record that a call is no longer in flight."""
        for digest in call.digests:
            if self.in_flight[digest] > 1:
                self.in_flight[digest] -= 1
            else:
                self.in_flight.pop(digest, None)

    def has_enough(self, call: Call) -> bool:
        """Return whether calls like it may crash as many endpoints already."""
        copies = self.in_flight[call.digest]
        if call.limits_copies and copies >= CRASHES_TO_QUARANTINE:
            return True
        return any(self._has_enough_of(one) for one in call.digests)

    def _has_enough_of(self, digest: str) -> bool:
        in_doubt = self.lost_calls.in_doubt[digest]
        if in_doubt >= CRASHES_TO_QUARANTINE:
            return True
        copies = self.in_flight[digest] + in_doubt
        return copies > 0 and self.quarantine.is_suspect(digest)
