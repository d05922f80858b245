"""Refused turns during a log outage log the cause of the refusal."""

from types import SimpleNamespace

import pytest
from loguru import logger

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.gateway.peer_coordinator import PeerCoordinator
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.rate import TokenBucket
from memory_log import TURN_TOKENS, MemoryLog
from test_offline_allowances import Group, turns_until_refused


@pytest.fixture
def lines():
    lines = []
    sink = logger.add(lines.append, level="INFO", format="{message} {extra}")
    yield lines
    logger.remove(sink)


def entry(name, domain):
    return DaemonEntry(
        name=name, incarnation=name, domain=domain, address="127.0.0.1:1"
    )


@pytest.fixture
def peer_coordinator(monkeypatch):
    """A coordinator in domain a with the peers a-2 and b-1; only a-2 responds."""
    clock = ManualClock()
    peer_coordinator = PeerCoordinator(entry("a-1", "a"), None, None, clock, None)

    async def respond(one, call, seconds=0.0):
        if one.domain != "a":
            raise PeerUnavailable(one.name)
        return SimpleNamespace(spent=0, drawn=0, fullHistory=True)

    monkeypatch.setattr(peer_coordinator.mesh, "call", respond)
    for one in (entry("a-2", "a"), entry("b-1", "b")):
        peer_coordinator.daemon_registry.entries[one.name] = one
        peer_coordinator.load_exchange.last_contact[one.incarnation] = clock.monotonic()
    return peer_coordinator


class TestOfflineQueries:
    async def test_exceeding_the_query_limit_is_logged(self, peer_coordinator, lines):
        peer_coordinator.offline_query_limiter = TokenBucket(
            peer_coordinator.clock, 1.0, 3.0
        )
        assert peer_coordinator.offline_query_limiter.take_now(2)
        assert await peer_coordinator.query_offline_usage("p7") is None
        assert "Not querying 2 daemons" in lines[-1]
        assert "p7" in lines[-1]

    async def test_domains_that_may_also_spend_are_logged(
        self, peer_coordinator, lines
    ):
        one = entry("c-1", "c")
        peer_coordinator.daemon_registry.entries[one.name] = one
        peer_coordinator.load_exchange.last_contact[one.incarnation] = (
            peer_coordinator.clock.monotonic()
        )

        async def respond(one, call, seconds=0.0):
            if one.domain == "b":
                raise PeerUnavailable(one.name)
            return SimpleNamespace(spent=0, drawn=0, fullHistory=True)

        peer_coordinator.mesh.call = respond
        assert await peer_coordinator.query_offline_usage("p7") is None
        assert "2 of 3 daemons responded, of the domains ['a', 'c']" in lines[-1]

    async def test_a_domain_lost_after_the_log_is_logged(self, peer_coordinator, lines):
        now = peer_coordinator.clock.monotonic()
        peer_coordinator.last_log_response_at = lambda: now - 3.0
        peer_coordinator.log.lost_at = now - 2.6
        assert await peer_coordinator.query_offline_usage("p7") is None
        assert (
            "Other domains became unreachable after the log outage began 2.6 s ago"
            in lines[-1]
        )


class TestOfflineShare:
    async def test_a_used_up_share_is_logged(self, lines):
        log = MemoryLog()
        log.up = False
        await turns_until_refused(Group(log, 2), 10 * TURN_TOKENS, TURN_TOKENS)
        assert any("The share without the log is used up" in line for line in lines)
