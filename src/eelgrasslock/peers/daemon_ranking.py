"""Which daemons are responsible for a key, such as an endpoint or a stream."""

from collections.abc import Callable

import xxhash

from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.load_exchange import LoadExchange

SILENCE_SECONDS = 3.0


class DaemonRanking:
    """Ranks the daemons for each key by rendezvous hashing.

    All daemons with the same view of the fleet name the same one, without a word
    between them, and a daemon that goes moves only its own keys.

    Parameters
    ----------
    load_exchange : LoadExchange
        Knows the registered daemons and which of them are silent.
    monotonic : callable
        Returns the time on the monotonic clock, in seconds.
    """

    def __init__(
        self, load_exchange: LoadExchange, monotonic: Callable[[], float]
    ) -> None:
        self.load_exchange = load_exchange
        self.registry = load_exchange.daemon_registry
        self.monotonic = monotonic

    def ranked(self, key: str) -> list[DaemonEntry]:
        """Return all registered daemons, the one that is responsible first."""
        entries = [*self.registry.entries.values(), self.registry.own]
        return sorted(entries, key=lambda entry: _weight(key, entry.name))

    def ranked_in(self, domain: str, key: str) -> list[DaemonEntry]:
        """Return the registered daemons of a domain, the responsible one first."""
        entries = self.daemons_in(domain)
        return sorted(entries, key=lambda entry: _weight(key, entry.name))

    def daemons_in(self, domain: str) -> list[DaemonEntry]:
        """Return the registered daemons of a domain."""
        entries = [*self.registry.entries.values(), self.registry.own]
        return [one for one in entries if one.domain == domain]

    def domains(self) -> list[str]:
        """Return the domains of the registered daemons, the own one first."""
        own = self.registry.own.domain
        others = {one.domain for one in self.registry.entries.values()} - {own}
        return [own, *sorted(others)]

    def is_heard_of(self, entry: DaemonEntry) -> bool:
        """Return whether a daemon's heartbeats still come, or may come yet."""
        silence = max(SILENCE_SECONDS, 3 * self.load_exchange.interval())
        return self.is_heard_of_within(entry, silence)

    def is_heard_of_within(self, entry: DaemonEntry, seconds: float) -> bool:
        """Return whether a daemon's last heartbeat is as young, or may come yet."""
        since = self.monotonic() - seconds
        return self.load_exchange.may_have_served(entry, since)

    def daemon_count(self) -> int:
        """Return the number of registered daemons, including this one."""
        return 1 + len(self.registry.entries)

    def reachable_share(self) -> float:
        """Return the share of the daemons whose domains are not silent as a whole.

        A domain without any live daemon may be cut off, with an owner of its own.
        """
        live = self.load_exchange.live_peers
        entries = list(self.registry.entries.values())
        domains = {one.domain for one in entries if one.incarnation in live}
        domains.add(self.registry.own.domain)
        reachable = 1 + sum(one.domain in domains for one in entries)
        return reachable / (1 + len(entries))


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\n{name}".encode())
