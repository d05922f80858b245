"""A daemon without links to the endpoints serves its callers through its peers."""

import asyncio
import time

import pytest

from link_faults import Cut, LinkFaults
from platform_fleet import LOOKUPS, POSTS, PlatformFleet, wait_until

EVENTS = 6
DETECTION_SECONDS = 1.5
CUTS = [Cut.HANG, Cut.REFUSE, Cut.RESET, Cut.OLD_LIVE]


class StrandedFleet:
    """Daemons of which some can lose their links to all endpoints."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.daemons = []
        self.faults = {}

    async def start(self, daemons=3, **shape):
        self.engines = [await self.endpoint("models", n, **shape) for n in range(4)]
        self.desks = [await self.endpoint("desk", n) for n in range(4)]
        every = self.engines + self.desks
        for number in range(daemons):
            domain = "abc"[number % 3]
            daemon = await self.fleet.ready_daemon(
                every, name=f"{domain}-{number}", domain=domain
            )
            self.daemons.append(daemon)
            self.faults[daemon] = LinkFaults(daemon, every)
        peers = [one.application.load_exchange.live_peers for one in self.daemons]
        await wait_until(lambda: all(len(one) == daemons - 1 for one in peers))
        return self

    async def endpoint(self, service, number, **shape):
        entry = {"zone": "abc"[number % 3]}
        shape = {"events": EVENTS, **shape} if service == "models" else {}
        return await self.fleet.endpoint(service, entry=entry, **shape)

    async def strand(self, *daemons, cut=Cut.REFUSE):
        """Cut daemons off while requests come, until they know of it."""
        for daemon in daemons:
            await self.call(daemon, LOOKUPS)
            self.faults[daemon].begin(cut)
        ends_at = time.monotonic() + DETECTION_SECONDS
        while time.monotonic() < ends_at:
            calls = [self.call(daemon, LOOKUPS) for daemon in daemons]
            await asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)

    async def call(self, daemon, path, **headers):
        method = "GET" if path == LOOKUPS else "POST"
        status, _, _ = await self.fleet.call(daemon, f"{path}x", method, **headers)
        return status


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


@pytest.fixture
async def stranded(fleet):
    return await StrandedFleet(fleet).start()


class TestServedThroughPeers:
    # A daemon sent requests over its own links to the endpoints alone.
    @pytest.mark.parametrize("cut", CUTS)
    async def test_a_daemon_without_links_serves_all_kinds(self, stranded, cut):
        daemon = stranded.daemons[0]
        await stranded.strand(daemon, cut=cut)
        for path in (LOOKUPS, POSTS):
            statuses = [await stranded.call(daemon, path) for _ in range(10)]
            assert statuses == [200] * 10
        for number in range(10):
            status, body = await stranded.fleet.turn(daemon, f"p{number}")
            assert status == 200
            assert body.count(b"\n\n") == EVENTS

    async def test_two_of_three_daemons_are_stranded(self, stranded):
        cut = stranded.daemons[:2]
        await stranded.strand(*cut)
        for daemon in cut:
            statuses = [await stranded.call(daemon, LOOKUPS) for _ in range(10)]
            assert statuses == [200] * 10


class TestAfterTheEnd:
    # The breakers of all endpoints stayed open for seconds after a cut.
    async def test_a_daemon_goes_back_to_its_own_links(self, stranded):
        daemon = stranded.daemons[0]
        await stranded.strand(daemon)
        stranded.faults[daemon].end()
        ends_at = time.monotonic() + 1.0
        while time.monotonic() < ends_at:
            assert await stranded.call(daemon, LOOKUPS) == 200
        connections = sum(len(one) for one in daemon.application.pool.idle.values())
        assert stranded.faults[daemon].opened
        assert connections >= 1
