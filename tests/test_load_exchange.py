"""How often daemons exchange their loads, and whom they take for living."""

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
    """The scheduler's side, without calls."""

    def peer_load(self):
        return PeerLoad(incarnation="", in_flight={})

    def observe_peer(self, load):
        """Take a peer's word."""

    def forget_peer(self, incarnation):
        """Drop a peer."""


@pytest.fixture
def exchange():
    daemon_registry = DaemonRegistry(entry("a-0"), random.Random(1))
    return LoadExchange(SilentMesh(), daemon_registry, Loads(), ManualClock())


def enter(exchange, *names):
    for name in names:
        exchange.daemon_registry.entries[name] = entry(name)


class TestInterval:
    def test_few_daemons_exchange_at_the_shortest_interval(self, exchange):
        enter(exchange, "a-1", "a-2")
        assert exchange.interval() == INTERVAL_SECONDS

    @pytest.mark.parametrize("peers", [9, 81, 299])
    def test_the_work_does_not_grow_with_the_fleet(self, exchange, peers):
        enter(exchange, *(f"a-{number + 1}" for number in range(peers)))
        assert peers / exchange.interval() <= EXCHANGES_PER_SECOND


class TestLiving:
    """Whom a daemon asks what was spent without the log."""

    async def test_one_that_was_registered_just_now_may_live(self, exchange):
        """With 82 daemons it is heard for the first time after seconds."""
        exchange.clock.advance(2 * REGISTRATION_GRACE_SECONDS)
        enter(exchange, "a-1")
        await exchange.exchange()
        exchange.clock.advance(REGISTRATION_GRACE_SECONDS - 0.1)
        assert exchange.may_have_served(entry("a-1"), exchange.clock.monotonic())

    async def test_one_that_was_never_heard_is_taken_for_gone(self, exchange):
        enter(exchange, "a-1")
        await exchange.exchange()
        exchange.clock.advance(REGISTRATION_GRACE_SECONDS + 0.1)
        await exchange.exchange()
        assert not exchange.may_have_served(entry("a-1"), exchange.clock.monotonic())

    def test_one_that_no_exchange_has_met_yet_may_live(self, exchange):
        assert exchange.may_have_served(entry("a-1"), exchange.clock.monotonic())

    async def test_one_that_was_heard_lives_as_long_as_it_was(self, exchange):
        enter(exchange, "a-1")
        await exchange.exchange()
        now = exchange.clock.monotonic()
        exchange.last_contact["a-1-x"] = now
        assert exchange.may_have_served(entry("a-1"), now - 1.0)
        assert not exchange.may_have_served(entry("a-1"), now + 1.0)

    async def test_entries_that_left_are_forgotten(self, exchange):
        enter(exchange, "a-1", "a-2")
        await exchange.exchange()
        del exchange.daemon_registry.entries["a-1"]
        await exchange.exchange()
        assert list(exchange.first_seen) == ["a-2-x"]
