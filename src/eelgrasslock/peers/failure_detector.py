"""When a peer is suspect, and when it may be retired."""

from attrs import define

_GRACE_SECONDS = 1.5
_MAX_GRACE_SECONDS = 60.0
_STABLE_SECONDS = 120.0
_MISSES_TO_RETIRE = 2


@define
class PeerHealth:
    """What is known of one peer's answers.

    Attributes
    ----------
    misses : int
        Heartbeats in a row without an answer, each over an old connection and
        then a fresh one.
    missed_since : float
        When the first of them failed.
    last_contact_at : float
        When the peer last gave a sign of life, by its own heartbeats too.
    flaps : int
        How often it came back after having been suspect.
    last_flap_at : float
        When it last did.
    incarnation : str
        The latest that joined.
    replaced : bool
        Whether another incarnation answered at its address.
    """

    misses: int = 0
    missed_since: float = 0.0
    last_contact_at: float = 0.0
    flaps: int = 0
    last_flap_at: float = 0.0
    incarnation: str = ""
    replaced: bool = False


class FailureDetector:
    """Judges peers by their silence, without I/O.

    A peer is suspect as soon as one heartbeat went unanswered over two
    connections. It may be retired once misses have gone on for the grace
    time and the peer's own heartbeats have stopped for that long as well. The
    grace doubles each time a suspect peer comes back, until it has been calm.

    Parameters
    ----------
    grace_seconds : float
        The least silence before a peer may be retired.
    """

    def __init__(self, grace_seconds: float = _GRACE_SECONDS) -> None:
        self.grace_seconds = grace_seconds
        self.peers: dict[str, PeerHealth] = {}

    def record_answer(self, peer: str, now: float) -> None:
        """Note that a peer answered our heartbeat."""
        health = self._health(peer)
        health.last_contact_at = now
        if health.misses:
            health.flaps = 1 if self._is_stable(health, now) else health.flaps + 1
            health.last_flap_at = now
        health.misses = 0

    def record_contact(self, peer: str, now: float) -> None:
        """Note that a peer sent a heartbeat of its own."""
        self._health(peer).last_contact_at = now

    def record_miss(self, peer: str, now: float) -> None:
        """Note that neither the old nor a fresh connection gave an answer."""
        health = self._health(peer)
        if not health.misses:
            health.missed_since = now
        health.misses += 1

    def record_replacement(self, peer: str, now: float) -> None:
        """Note that another incarnation answers at the peer's address."""
        self.record_miss(peer, now)
        self.peers[peer].replaced = True

    def record_retirement(self, peer: str, now: float) -> None:
        """Note that a peer was retired for its silence; its return is a flap."""
        health = self._health(peer)
        health.flaps = 1 if self._is_stable(health, now) else health.flaps + 1
        health.last_flap_at = now

    def record_join(self, peer: str, incarnation: str) -> None:
        """Note that a peer has joined; a new incarnation starts unblamed."""
        health = self._health(peer)
        if health.incarnation != incarnation:
            health.incarnation = incarnation
            health.misses = 0
            health.replaced = False

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer."""
        self.peers.pop(peer, None)

    def is_suspect(self, peer: str) -> bool:
        """Return whether the peer's last heartbeat went unanswered."""
        health = self.peers.get(peer)
        return health is not None and health.misses > 0

    def suspects(self) -> set[str]:
        """Return the peers that are suspect."""
        return {peer for peer in self.peers if self.is_suspect(peer)}

    def grace(self, peer: str, now: float) -> float:
        """Return the silence, in seconds, before the peer may be retired."""
        health = self._health(peer)
        if self._is_stable(health, now):
            return self.grace_seconds
        return min(_MAX_GRACE_SECONDS, self.grace_seconds * 2**health.flaps)

    def may_be_retired(self, peer: str, now: float, grace_factor: float = 1.0) -> bool:
        """Return whether the peer may be retired, once confirmed.

        Parameters
        ----------
        peer : str
            The peer.
        now : float
            On the monotonic clock.
        patience : float
            Stretches the grace, where less is known.
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
