"""Quarantine of requests that crash the endpoints that run them."""

import time
from collections import OrderedDict
from collections.abc import Callable, Sequence

from eelgrasslock.scheduling.crash_evidence import (
    MAX_REPORTED_SUSPECTS,
    CrashEvidence,
)

CRASHES_TO_QUARANTINE = 2
# Two ends may have had another cause, four hardly; the users allow three more after
# the third end, and several daemons may try a request at once.
FIRST_HOLD_SECONDS = 30.0
LAST_TRIAL_CRASHES = 4
SUSPECT_EXPIRY_SECONDS = 3_600.0
# An end beside fresh successes does not speak against what they have in common.
CONTRADICTION_SECONDS = 2.0
# Up to so many ends, a wide digest is not held against callers known to be sound.
MAX_EXEMPT_CRASHES = 4
KNOWN_SOUND_SECONDS = 600.0
_MAX_KNOWN_SOUND = 2_000


def _ignore_change(digest: str) -> None:
    """Do nothing."""


class Quarantine:
    """Decides from the ends of endpoints which requests are refused, and how long.

    A request has several digests, the narrowest first: it, its body, its caller, its
    target, its path. All calls in flight on an endpoint that crashes become suspects.
    A suspect runs one at a time, as the only suspect on its endpoint: its success
    clears all of its digests. Two ends that are not put down to others hold a digest
    back for a while, each further end for twice as long.

    Parameters
    ----------
    now : callable
        Returns the time on the monotonic clock, in seconds.

    Attributes
    ----------
    stagger : float
        By which share of its time this daemon holds requests back for longer, so that
        not all daemons try one at once.
    evidence : CrashEvidence
        The ends by digest, as all daemons saw them.
    newest_at : dict of str to float
        When this daemon learned of the newest end of a digest, on the monotonic clock.
    succeeded_at : OrderedDict of str to float
        When requests with a digest last completed, the oldest one first.
    on_change : callable
        Called with a digest whose crashes must be recorded or cleared in the log.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.stagger = 0.0
        self.evidence = CrashEvidence()
        self.newest_at: dict[str, float] = {}
        self.succeeded_at: OrderedDict[str, float] = OrderedDict()
        self.configured_digests: frozenset[str] = frozenset()
        self.operator_digests: set[str] = set()
        self.has_new_crashes = False
        self.on_change: Callable[[str], None] = _ignore_change

    # --- what happened ----------------------------------------------------------

    def record_crash(self, digests: Sequence[str], now: float, end: str = "") -> None:
        """Record the digests that were in flight on an endpoint that crashed.

        Parameters
        ----------
        digests : sequence of str
            Those of all calls.
        now : float
            The time on the monotonic clock, in seconds.
        end : str
            Names the end, alike at all daemons that see it; empty if unknown.
        """
        since = now - CONTRADICTION_SECONDS
        never = float("-inf")
        counted = [
            one
            for one in dict.fromkeys(digests)
            if one and self.succeeded_at.get(one, never) <= since
        ]
        self.has_new_crashes = True
        self.evidence.add(counted, end, now)
        for digest in counted:
            self.newest_at[digest] = self.now()
            self.on_change(digest)

    def record_success(self, *digests: str) -> dict[str, set[str]]:
        """Clear the digests of a request that has completed.

        Returns
        -------
        dict of str to set of str
            The ends that no longer count, by digest.
        """
        cleared: dict[str, set[str]] = {}
        for digest in digests:
            self.succeeded_at[digest] = self.now()
            self.succeeded_at.move_to_end(digest)
            if self.evidence.crash_count(digest):
                cleared[digest] = self.evidence.ends_of(digest)
                self._clear(digest)
        while len(self.succeeded_at) > _MAX_KNOWN_SOUND:
            self.succeeded_at.popitem(last=False)
        return cleared

    def revoke_success(
        self, digests: Sequence[str], cleared: dict[str, set[str]], now: float
    ) -> None:
        """Let the ends before a success count again: its endpoint ended by it."""
        for digest in digests:
            self.succeeded_at.pop(digest, None)
        for digest, ends in cleared.items():
            for end in sorted(ends):
                self.record_crash([digest], now, end)

    def update_peer(self, incarnation: str, digests: tuple[str, ...]) -> None:
        """Record the crashes that a peer reports, one entry for each crash."""
        before = {one: self.crash_count(one) for one in set(digests)}
        self.evidence.update_peer(incarnation, digests)
        for digest, crashes in before.items():
            self._note_learned(digest, crashes)

    def remove_peer(self, incarnation: str) -> None:
        """Note that a peer has departed; the crashes that it saw are kept."""
        self.evidence.remove_peer(incarnation)

    def load_record(
        self, incarnation: str, digest: str, crashes: int, ends: tuple[str, ...] = ()
    ) -> None:
        """Take the crashes that the log holds of another daemon; 0 clears them."""
        before = self.crash_count(digest)
        self.evidence.load_record(incarnation, digest, crashes, ends)
        self._note_learned(digest, before)

    def _note_learned(self, digest: str, crashes_before: int) -> None:
        if self.crash_count(digest) > crashes_before:
            self.has_new_crashes = True
            self.newest_at[digest] = self.now()

    def forget_own(self, digest: str) -> None:
        """Clear what this daemon saw: the request has completed at another one."""
        self.evidence.forget_own(digest)

    def release(self, digest: str) -> None:
        """Clear a digest at an operator's request."""
        self.operator_digests.discard(digest)
        self._clear(digest)

    def _clear(self, digest: str) -> None:
        self.evidence.clear(digest)
        self.newest_at.pop(digest, None)
        self.on_change(digest)

    # --- what follows -----------------------------------------------------------

    def crash_count(self, digest: str) -> int:
        """Return the number of ends at which a digest was in flight."""
        return self.evidence.crash_count(digest)

    def crashes_by(self, author: str, digest: str) -> int:
        """Return the number of crashes that one other daemon has counted."""
        return self.evidence.crashes_by(author, digest)

    def own_ends(self, digest: str) -> tuple[str, ...]:
        """Return the names of the ends that this daemon saw, the first one first."""
        return tuple(self.evidence.own.get(digest, ()))

    def is_suspect(self, *digests: str) -> bool:
        """Return whether a request may run only as the sole suspect on an endpoint."""
        return any(
            self.evidence.unexplained_count(one)
            or self.crash_count(one) >= CRASHES_TO_QUARANTINE
            for one in digests
        )

    def is_quarantined(self, digest: str) -> bool:
        """Return whether requests with a digest are refused now."""
        if digest in self.configured_digests or digest in self.operator_digests:
            return True
        return self.held_until(digest) > self.now()

    def refuses(self, digests: Sequence[str]) -> bool:
        """Return whether a request must be refused, given its digests.

        One that is known to be sound by a narrower digest is not refused for what
        others did with its target, unless that had many ends.
        """
        return any(
            self.is_quarantined(one) and not self._is_exempt(one, digests[:width])
            for width, one in enumerate(digests)
        )

    def held_until(self, digest: str) -> float:
        """Return until when the ends of a digest hold it back, in monotonic seconds."""
        crashes = self._held_crashes(digest)
        if crashes < CRASHES_TO_QUARANTINE:
            return float("-inf")
        seconds = hold_seconds(crashes) * (1.0 + self.stagger)
        return self.newest_at.get(digest, self.now()) + seconds

    def _held_crashes(self, digest: str) -> int:
        """Return the ends that hold a digest back.

        One that others don't explain makes those suspicious that they do explain.
        """
        crashes = self.crash_count(digest)
        unexplained = self.evidence.unexplained_count(digest)
        if unexplained and crashes > CRASHES_TO_QUARANTINE:
            return crashes
        return unexplained

    def suspects(self) -> set[str]:
        """Return the digests of which a crash is known."""
        return self.evidence.digests()

    def suspects_to_report(self, now: float) -> tuple[str, ...]:
        """Return this daemon's suspects, one entry for each crash, the worst last."""
        own = self.evidence.own
        for digest in list(own):
            if now - max(own[digest].values()) > SUSPECT_EXPIRY_SECONDS:
                self.evidence.forget_own(digest)
                self.on_change(digest)
        self.newest_at = {
            one: at for one, at in self.newest_at.items() if self.crash_count(one)
        }
        reported: list[str] = []
        for digest in sorted(own, key=lambda one: len(own[one])):
            reported += [digest] * len(own[digest])
        return tuple(reported[-MAX_REPORTED_SUSPECTS:])

    def _is_exempt(self, digest: str, narrower: Sequence[str]) -> bool:
        if digest in self.configured_digests or digest in self.operator_digests:
            return False
        if self.evidence.unexplained_count(digest) > MAX_EXEMPT_CRASHES:
            return False
        since = self.now() - KNOWN_SOUND_SECONDS
        return any(
            self.succeeded_at.get(one, since) > since and not self.crash_count(one)
            for one in narrower
        )


def hold_seconds(crashes: int) -> float:
    """Return for how long so many ends hold a digest back, in seconds."""
    if crashes >= LAST_TRIAL_CRASHES:
        return SUSPECT_EXPIRY_SECONDS
    return FIRST_HOLD_SECONDS * 2.0 ** (crashes - CRASHES_TO_QUARANTINE)
