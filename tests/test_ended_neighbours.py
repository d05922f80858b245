"""Endpoints that end together are not taken for a broken network."""

import random

import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.exchanges.attempt_result import AttemptOutcome
from eelgrasslock.failures.failure_classifier import FailureClassifier
from eelgrasslock.failures.link_monitor import LinkMonitor
from eelgrasslock.http.pool import ConnectFailed
from eelgrasslock.registry.endpoint_registry import EndpointRecord, EndpointRegistry

DOMAINS = "abc"
ENDPOINTS = 12


class ReachedPool:
    """Takes connections to all addresses but those of ended endpoints."""

    def __init__(self):
        self.ended = set()
        self.idle = {}

    async def connect(self, address):
        if address in self.ended:
            raise ConnectFailed("refused", was_refused=True)
        return object()

    async def acquire(self, address, max_idle_seconds):
        return await self.connect(address)

    def release(self, address, connection, keep_alive_seconds):
        pass

    def drop(self, address):
        pass


@pytest.fixture
def records():
    return [
        EndpointRecord(
            id=f"i-{number}",
            service="desk",
            address=f"10.0.0.{number}:80",
            domain=DOMAINS[number % len(DOMAINS)],
            slots=4,
        )
        for number in range(ENDPOINTS)
    ]


@pytest.fixture
def pool():
    return ReachedPool()


@pytest.fixture
async def links(records, pool):
    registry = EndpointRegistry(SystemClock(), 4.0)
    for record in records:
        registry.put(record)
    monitor = LinkMonitor(registry, pool, SystemClock(), random.Random(1))
    yield monitor
    await monitor.stop()


@pytest.fixture
def ended(pool):
    return []


@pytest.fixture
async def failures(links, pool, ended):
    classifier = FailureClassifier(
        pool,
        links.endpoint_registry,
        links,
        SystemClock(),
        probe=None,
        on_crash=lambda record, ended_at: ended.append(record.id),
        on_silence=lambda record, ended_at: None,
        has_calls=lambda endpoint: False,
        on_alive=lambda record, asked_at: None,
    )
    yield classifier
    await classifier.stop()


class TestLinks:
    async def test_several_ended_endpoints_are_not_lost_links(
        self, links, records, pool
    ):
        """No new connection was opened meanwhile, since kept ones were at hand."""
        for record in records[:6]:
            pool.ended.add(record.address)
            links.record_failed(record)
        await links.wait_until_verified()
        assert not links.is_lost

    async def test_links_are_lost_if_others_are_out_of_reach_too(
        self, links, records, pool
    ):
        pool.ended = {one.address for one in records}
        for record in records[:3]:
            links.record_failed(record)
        await links.wait_until_verified()
        assert links.is_lost


class TestEndsBesideEnds:
    async def test_a_neighbour_that_has_ended_too_hides_no_end(
        self, failures, records, pool, ended
    ):
        """One neighbour was asked, which was down, too."""
        first, second, other = (records[number] for number in (0, 3, 1))
        pool.ended = {first.address, second.address, other.address}
        failures.record_unreachable(other)
        assert await failures.classify(first) is AttemptOutcome.CRASHED
        assert ended == [first.id]

    async def test_a_domain_that_is_out_of_reach_has_not_ended(
        self, failures, records, pool, ended
    ):
        near = [one for one in records if one.domain == records[0].domain]
        pool.ended = {one.address for one in near}
        failures.record_unreachable(near[1])
        assert await failures.classify(near[0]) is AttemptOutcome.BROKEN
        assert not ended
