"""Each refusal of a turn without the log leaves a line that tells its cause."""

from types import SimpleNamespace

import pytest
from loguru import logger

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.gateway.peering import Peering
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.rate import TokenBucket
from memory_log import WORST, MemoryLog
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
def peering(monkeypatch):
    """A daemon of domain a that hears of a-2 and b-1; only a-2 answers."""
    clock = ManualClock()
    peering = Peering(entry("a-1", "a"), None, None, clock, None)

    async def ask(one, call, seconds=0.0):
        if one.domain != "a":
            raise PeerUnavailable(one.name)
        return SimpleNamespace(spent=0, drawn=0)

    monkeypatch.setattr(peering.mesh, "call", ask)
    for one in (entry("a-2", "a"), entry("b-1", "b")):
        peering.daemon_registry.entries[one.name] = one
        peering.loads.last_contact[one.incarnation] = clock.monotonic()
    return peering


class TestQuestions:
    async def test_too_many_questions_are_told(self, peering, lines):
        peering.offline_asks = TokenBucket(peering.clock, 1.0, 3.0)
        assert peering.offline_asks.take_now(2)
        assert await peering.ask_offline("p7") is None
        assert "2 daemons are not asked" in lines[-1]
        assert "p7" in lines[-1]

    async def test_domains_that_may_spend_as_well_are_told(self, peering, lines):
        one = entry("c-1", "c")
        peering.daemon_registry.entries[one.name] = one
        peering.loads.last_contact[one.incarnation] = peering.clock.monotonic()

        async def ask(one, call, seconds=0.0):
            if one.domain == "b":
                raise PeerUnavailable(one.name)
            return SimpleNamespace(spent=0, drawn=0)

        peering.mesh.call = ask
        assert await peering.ask_offline("p7") is None
        assert "2 of 3 daemons answered, of the domains ['a', 'c']" in lines[-1]

    async def test_a_domain_that_went_after_the_log_is_told(self, peering, lines):
        now = peering.clock.monotonic()
        peering.log_answered_at = lambda: now - 3.0
        peering.log.lost_at = now - 2.6
        assert await peering.ask_offline("p7") is None
        assert "Other domains went after the log was lost, 2.6 s ago" in lines[-1]


class TestShares:
    async def test_a_share_that_is_used_up_is_told(self, lines):
        log = MemoryLog()
        log.up = False
        await turns_until_refused(Group(log, 2), 10 * WORST, WORST)
        assert any("The share without the log is used up" in line for line in lines)
