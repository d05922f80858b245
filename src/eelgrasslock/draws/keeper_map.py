"""Which daemons keep the draws without the log of which programs."""

import xxhash
from attrs import define

from eelgrasslock.clock import Clock
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry


@define(kw_only=True)
class Keepers:
    """The keepers of some programs, as one daemon sees the fleet.

    Attributes
    ----------
    domain : str
        Their failure domain.
    others : list of DaemonEntry
        The keepers without this daemon.
    has_own : bool
        Whether this daemon is one.
    joining : int
        How many have joined whose registrations were not read yet.
    """

    domain: str
    others: list[DaemonEntry]
    has_own: bool
    joining: int = 0

    @property
    def count(self) -> int:
        """The number of keepers."""
        return len(self.others) + self.has_own + self.joining

    @property
    def majority(self) -> int:
        """How many must take a draw."""
        return majority_of(self.count)

    @property
    def reading_quorum(self) -> int:
        """How many together know all draws that a majority has taken."""
        return self.count - self.majority + 1


def majority_of(count: int) -> int:
    """Return how many of a number of keepers must take a draw."""
    return count // 2 + 1


class KeeperMap:
    """Names the keepers of each program by rendezvous hashing of failure domains.

    Parameters
    ----------
    registry : DaemonRegistry
        The registered daemons.
    clock : Clock
        The time.
    retention_seconds : float
        How long a domain keeps its programs after its last daemon has left.
    """

    def __init__(
        self, registry: DaemonRegistry, clock: Clock, retention_seconds: float
    ) -> None:
        self.registry = registry
        self.clock = clock
        self.retention_seconds = retention_seconds
        self._domains_seen_at: dict[str, float] = {}
        self._joined_at: dict[tuple[str, str], float] = {}

    def keepers(self, program: str) -> Keepers:
        """Return the keepers of a program."""
        domains = self._domains()
        return self.keepers_in(max(domains, key=lambda one: _weight(program, one)))

    def keepers_in(self, domain: str) -> Keepers:
        """Return the daemons of a domain."""
        entries = self.registry.entries.values()
        others = [entry for entry in entries if entry.domain == domain]
        has_own = self.registry.own.domain == domain
        registered = {one.name for one in others}
        joining = [
            name
            for name, joined_domain in self._joined_at
            if joined_domain == domain and name not in registered
        ]
        return Keepers(
            domain=domain, others=others, has_own=has_own, joining=len(joining)
        )

    def own_keepers(self) -> Keepers:
        """Return the daemons of this daemon's domain."""
        return self.keepers_in(self.registry.own.domain)

    def note_joined(self, name: str, domain: str) -> None:
        """Count a daemon of a domain whose registration may not be read yet."""
        self._joined_at[name, domain] = self.clock.monotonic()

    def update(self) -> None:
        """Note which domains have daemons, and drop what is past."""
        self._domains()
        oldest = self.clock.monotonic() - self.retention_seconds
        joined_at = self._joined_at
        self._joined_at = {one: at for one, at in joined_at.items() if at >= oldest}

    def _domains(self) -> list[str]:
        """Return the domains of the daemons, also of those that left of late.

        A domain whose only daemon restarts keeps its programs.
        """
        now = self.clock.monotonic()
        seen_at = self._domains_seen_at
        seen_at[self.registry.own.domain] = now
        for entry in self.registry.entries.values():
            seen_at[entry.domain] = now
        for (_, domain), at in self._joined_at.items():
            seen_at[domain] = max(at, seen_at.get(domain, at))
        oldest = now - self.retention_seconds
        self._domains_seen_at = {one: at for one, at in seen_at.items() if at >= oldest}
        return sorted(self._domains_seen_at)


def _weight(program: str, domain: str) -> int:
    return xxhash.xxh64_intdigest(f"{program}\n{domain}".encode())
