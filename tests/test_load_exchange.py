"""Interval of the load exchange, and which daemons count as possibly live."""

import random
from types import SimpleNamespace

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.load_exchange import (
    EXCHANGES_PER_SECOND,
    INTERVAL_SECONDS,
    REGISTRATION_GRACE_SECONDS,
    LoadExchange,
)
from eelgrasslock.scheduling.calls import PeerLoad


def entry(name):
    return DaemonEntry(
        name=name, incarnation=f"{name}-x", domain="a", address="127.0.0.1:1"
    )


class SilentMesh:
    """Peers that never answer."""

    def __init__(self):
        self.callbacks = SimpleNamespace()

    async def heartbeat(self, one, beat):
        raise PeerUnavailable(one.name)


class Loads:
    """A scheduler without calls."""

    def peer_load(self):
        return PeerLoad(incarnation="", in_flight={})

    def observe_peer(self, load):
        """Ignore a load report."""

    def forget_peer(self, incarnation):
        """Ignore that a peer is gone."""


@pytest.fixture
def exchange():
    daemon_registry = DaemonRegistry(entry("a-0"), random.Random(1))
    return LoadExchange(SilentMesh(), daemon_registry, Loads(), ManualClock())


def register(exchange, *names):
    for name in names:
        exchange.daemon_registry.entries[name] = entry(name)


class TestInterval:
    def test_few_daemons_exchange_at_the_shortest_interval(self, exchange):
        register(exchange, "a-1", "a-2")
        assert exchange.interval() == INTERVAL_SECONDS

    @pytest.mark.parametrize("peers", [9, 81, 299])
    def test_exchange_rate_does_not_grow_with_the_fleet(self, exchange, peers):
        register(exchange, *(f"a-{number + 1}" for number in range(peers)))
        assert peers / exchange.interval() <= EXCHANGES_PER_SECOND


class TestMayHaveServed:
    """Selects the daemons to ask what was spent without the log."""

    async def test_daemon_registered_just_now(self, exchange):
        """With 82 daemons, its first heartbeat may take several seconds."""
        exchange.clock.advance(2 * REGISTRATION_GRACE_SECONDS)
        register(exchange, "a-1")
        await exchange.exchange()
        exchange.clock.advance(REGISTRATION_GRACE_SECONDS - 0.1)
        assert exchange.may_have_served(entry("a-1"), exchange.clock.monotonic())

    async def test_daemon_without_a_heartbeat_counts_as_gone_after_the_grace(
        self, exchange
    ):
        register(exchange, "a-1")
        await exchange.exchange()
        exchange.clock.advance(REGISTRATION_GRACE_SECONDS + 0.1)
        await exchange.exchange()
        assert not exchange.may_have_served(entry("a-1"), exchange.clock.monotonic())

    def test_daemon_before_the_first_exchange(self, exchange):
        assert exchange.may_have_served(entry("a-1"), exchange.clock.monotonic())

    async def test_daemon_counts_until_its_last_contact(self, exchange):
        register(exchange, "a-1")
        await exchange.exchange()
        now = exchange.clock.monotonic()
        exchange.last_contact["a-1-x"] = now
        assert exchange.may_have_served(entry("a-1"), now - 1.0)
        assert not exchange.may_have_served(entry("a-1"), now + 1.0)

    async def test_removed_entries_are_dropped(self, exchange):
        register(exchange, "a-1", "a-2")
        await exchange.exchange()
        del exchange.daemon_registry.entries["a-1"]
        await exchange.exchange()
        assert list(exchange.first_seen) == ["a-2-x"]
