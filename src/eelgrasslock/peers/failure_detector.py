"""A failure detector that decides when a peer is suspect and when it may be retired."""

from attrs import define

_GRACE_SECONDS = 1.5
_MAX_GRACE_SECONDS = 60.0
_STABLE_SECONDS = 120.0
_MISSES_TO_RETIRE = 2


@define
class PeerHealth:
    """Heartbeat history of one peer.

    Attributes
    ----------
    misses : int
        Consecutive heartbeats without an answer, each tried over an existing
        connection and then over a new one.
    missed_since : float
        Time of the first of these misses, on the monotonic clock.
    last_contact_at : float
        When the peer last answered or sent a heartbeat, on the monotonic clock.
    flaps : int
        How often the peer answered again after it had been suspect.
    last_flap_at : float
        Time of the last flap, on the monotonic clock.
    incarnation : str
        The latest incarnation that joined.
    replaced : bool
        Whether another incarnation answered at the peer's address.
    """

    misses: int = 0
    missed_since: float = 0.0
    last_contact_at: float = 0.0
    flaps: int = 0
    last_flap_at: float = 0.0
    incarnation: str = ""
    replaced: bool = False


class FailureDetector:
    """Detects failed peers by missing heartbeats; does no I/O.

    A peer is suspect as soon as one heartbeat got no answer over two
    connections. It may be retired once it has missed heartbeats for the grace
    period and has sent none of its own for as long. The grace period doubles
    each time a suspect peer answers again (a flap), and is reset after a time
    without flaps.

    Parameters
    ----------
    grace_seconds : float
        Initial grace period: the least silence before a peer may be retired.
    """

    def __init__(self, grace_seconds: float = _GRACE_SECONDS) -> None:
        self.grace_seconds = grace_seconds
        self.peers: dict[str, PeerHealth] = {}

    def record_answer(self, peer: str, now: float) -> None:
        """Record that a peer answered a heartbeat of this daemon."""
        health = self._health(peer)
        health.last_contact_at = now
        if health.misses:
            health.flaps = 1 if self._is_stable(health, now) else health.flaps + 1
            health.last_flap_at = now
        health.misses = 0

    def record_contact(self, peer: str, now: float) -> None:
        """Record that a peer is alive, such as by a heartbeat of its own."""
        self._health(peer).last_contact_at = now

    def record_miss(self, peer: str, now: float) -> None:
        """Record that neither the existing nor a new connection gave an answer."""
        health = self._health(peer)
        if not health.misses:
            health.missed_since = now
        health.misses += 1

    def record_replacement(self, peer: str, now: float) -> None:
        """Record that another incarnation answers at the peer's address."""
        self.record_miss(peer, now)
        self.peers[peer].replaced = True

    def record_retirement(self, peer: str, now: float) -> None:
        """Record that a peer was retired as silent; a return counts as a flap."""
        health = self._health(peer)
        health.flaps = 1 if self._is_stable(health, now) else health.flaps + 1
        health.last_flap_at = now

    def record_join(self, peer: str, incarnation: str) -> None:
        """Record a peer's join; a new incarnation starts without misses."""
        health = self._health(peer)
        if health.incarnation != incarnation:
            health.incarnation = incarnation
            health.misses = 0
            health.replaced = False

    def forget(self, peer: str) -> None:
        """Delete the history of a peer."""
        self.peers.pop(peer, None)

    def is_suspect(self, peer: str) -> bool:
        """Return whether the last heartbeat to a peer got no answer."""
        health = self.peers.get(peer)
        return health is not None and health.misses > 0

    def suspects(self) -> set[str]:
        """Return the peers that are suspect."""
        return {peer for peer in self.peers if self.is_suspect(peer)}

    def grace(self, peer: str, now: float) -> float:
        """Return a peer's current grace period in seconds."""
        health = self._health(peer)
        if self._is_stable(health, now):
            return self.grace_seconds
        return min(_MAX_GRACE_SECONDS, self.grace_seconds * 2**health.flaps)

    def may_be_retired(self, peer: str, now: float, grace_factor: float = 1.0) -> bool:
        """Return whether a peer may be retired, once another peer confirms it.

        Parameters
        ----------
        peer : str
            The peer's key.
        now : float
            The time on the monotonic clock.
        grace_factor : float
            Multiplies the grace period, for peers of which less is known.
        """
        health = self._health(peer)
        if health.replaced:
            return True
        if health.misses < _MISSES_TO_RETIRE:
            return False
        grace = self.grace(peer, now) * grace_factor
        return now - max(health.missed_since, health.last_contact_at) >= grace

    def _health(self, peer: str) -> PeerHealth:
        return self.peers.setdefault(peer, PeerHealth())

    def _is_stable(self, health: PeerHealth, now: float) -> bool:
        return not health.flaps or now - health.last_flap_at > _STABLE_SECONDS
