"""Which peers a daemon sends heartbeats to."""

from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.programs.ownership import rendezvous_order

_RELAYS_PER_DOMAIN = 2
_MIN_INTERVAL_SECONDS = 1.0
_MAX_HEARTBEATS_PER_SECOND = 4.0


def heartbeat_targets(own: MemberJoined, table: MemberTable) -> list[MemberJoined]:
    """Return the peers that a daemon sends heartbeats to.

    These are all members of its own domain. Hashing names two relays of this
    domain for each other domain, and two members there that they talk to; so
    nobody elects them, and each daemon that reads the table agrees.

    Parameters
    ----------
    own : MemberJoined
        The daemon.
    table : MemberTable
        The members.
    """
    domain = table.live(own.domain)
    peers = [one for one in domain if one.incarnation != own.incarnation]
    for other in table.domains():
        if other != own.domain and _is_relay(own, other, domain):
            peers.extend(relay_targets(own.domain, other, table))
    return peers


def relay_targets(origin: str, domain: str, table: MemberTable) -> list[MemberJoined]:
    """Return the members of a domain that another domain's relays talk to."""
    return rendezvous_order(f"target|{origin}|{domain}", table.live(domain))[
        :_RELAYS_PER_DOMAIN
    ]


def heartbeat_interval(peers: int) -> float:
    """Return seconds between heartbeats to one peer.

    It grows with their number, so that a daemon's traffic is bounded. A dead
    peer is noticed no later for it, since as many others try it.
    """
    return max(_MIN_INTERVAL_SECONDS, peers / _MAX_HEARTBEATS_PER_SECOND)


def _is_relay(own: MemberJoined, other: str, domain: list[MemberJoined]) -> bool:
    relays = rendezvous_order(f"relay|{own.domain}|{other}", domain)[
        :_RELAYS_PER_DOMAIN
    ]
    return any(relay.incarnation == own.incarnation for relay in relays)
