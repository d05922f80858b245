"""Endpoints that leave must get no request once the drain bound has passed.

The log acknowledges that an endpoint leaves; from the drain bound on, no request
may reach it. Each test delays the news at its worst moment.
"""

import asyncio
import time

import pytest

from hold_ups import running_seconds
from platform_fleet import LOOKUPS, PlatformFleet, wait_until

DRAIN_SECONDS = 2.0
STABLE_WINDOW_SECONDS = 3.0
CONFIGURATION_SECONDS = 2.0


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


async def seconds_until_removed(daemon, endpoint, since):
    """Return how long after `since` a daemon stops using an endpoint."""
    entries = daemon.application.endpoint_registry.entries
    await wait_until(lambda: endpoint.id not in entries or entries[endpoint.id].leaving)
    return running_seconds(since)


class TestRemovalAfterAnOutage:
    # The removal ended the first read after a silent outage and passed for an entry
    # that had expired in the outage, which was over for three seconds.
    async def test_a_removal_in_a_calm_log_gets_no_grace_period(self, fleet):
        leaving = await fleet.endpoint()
        staying = await fleet.endpoint()
        daemon = await fleet.ready_daemon([leaving, staying])
        follower = daemon.application.followers.endpoints
        await self.hang_two_reads(daemon, follower)
        await asyncio.sleep(STABLE_WINDOW_SECONDS)
        fleet.unregister(leaving)
        removed_at = time.monotonic()
        seconds = await seconds_until_removed(daemon, leaving, removed_at)
        assert seconds < DRAIN_SECONDS
        assert (await fleet.call(daemon, f"{LOOKUPS}x"))[0] == 200

    async def hang_two_reads(self, daemon, follower):
        """Keep the log silent for one read and until just after the next is sent."""
        sent_at = follower.read_sent_at
        await wait_until(lambda: follower.read_sent_at != sent_at)
        daemon.faults.refusing = "silent"
        for _ in range(2):
            sent_at = follower.read_sent_at
            await wait_until(lambda at=sent_at: follower.read_sent_at != at)
        await asyncio.sleep(0.05)
        daemon.faults.refusing = ""


async def lose_one_answer(daemon, follower):
    """Leave the daemon's next read without an answer, as a silent connection does."""
    sent_at = follower.read_sent_at
    await wait_until(lambda: follower.read_sent_at != sent_at)
    await asyncio.sleep(0.1)
    sent_at = follower.read_sent_at
    daemon.faults.refusing = "silent"
    await wait_until(lambda: follower.read_sent_at != sent_at)
    await asyncio.sleep(0.05)
    daemon.faults.refusing = ""


class TestLostAnswers:
    # A read that waits for a record was given up after 2.1 s.
    @pytest.mark.parametrize("state", ["draining", "gone"])
    async def test_an_endpoint_leaves_while_a_read_gets_no_answer(self, fleet, state):
        leaving = await fleet.endpoint()
        staying = await fleet.endpoint()
        daemon = await fleet.ready_daemon([leaving, staying])
        await lose_one_answer(daemon, daemon.application.followers.endpoints)
        if state == "gone":
            fleet.unregister(leaving)
        else:
            fleet.register(leaving, state=state)
        left_at = time.monotonic()
        assert await seconds_until_removed(daemon, leaving, left_at) < DRAIN_SECONDS

    async def test_a_configuration_comes_while_a_read_gets_no_answer(self, fleet):
        endpoint = await fleet.endpoint()
        daemon = await fleet.ready_daemon([endpoint])
        application = daemon.application
        await lose_one_answer(daemon, application.followers.configuration)
        fleet.configure(version=2)
        changed_at = time.monotonic()
        await wait_until(lambda: application.routing.current.version == 2)
        assert running_seconds(changed_at) < CONFIGURATION_SECONDS


class TestConnecting:
    # The endpoint was looked up before the connection was opened, and not after.
    @pytest.mark.parametrize("state", ["draining", "gone", "restarted"])
    async def test_an_endpoint_leaves_while_a_connection_is_opened(
        self, fleet, monkeypatch, state
    ):
        leaving = await fleet.endpoint()
        staying = await fleet.endpoint()
        fleet.unregister(staying)
        daemon = await fleet.ready_daemon([leaving])
        entries = daemon.application.endpoint_registry.entries
        pool = daemon.application.pool
        acquire = pool.acquire

        async def acquire_late(address, *arguments):
            connection = await acquire(address, *arguments)
            if address == leaving.address:
                before = entries.get(leaving.id)
                fleet.register(staying)
                leave(fleet, leaving, state)
                await wait_until(lambda: entries.get(leaving.id) != before)
            return connection

        monkeypatch.setattr(pool, "acquire", acquire_late)
        assert (await fleet.call(daemon, f"{LOOKUPS}x"))[0] == 200
        assert not leaving.runs
        assert len(staying.runs) == 1


def leave(fleet, endpoint, state):
    """Register that an endpoint drains, is gone, or runs under its id anew."""
    if state == "gone":
        fleet.unregister(endpoint)
    elif state == "restarted":
        fleet.register(endpoint, state="draining", born=2)
    else:
        fleet.register(endpoint, state=state)


class TestOldViews:
    """A view whose age passes its bound is not used before the log was read again."""

    @pytest.fixture
    async def daemon(self, fleet, monkeypatch):
        self.leaving = await fleet.endpoint()
        self.staying = await fleet.endpoint()
        daemon = await fleet.ready_daemon([self.leaving, self.staying])
        self.held = asyncio.Event()
        self.topics = set()
        self.hold_reads(daemon.application.platform.log, monkeypatch)
        return daemon

    def hold_reads(self, log, monkeypatch):
        """Let reads of `topics` end only once `held` is set.

        Each test holds the one whose age it looks at, so that no request waits for
        another view.
        """
        changes = log.changes

        async def changes_later(topic, *arguments):
            result = await changes(topic, *arguments)
            if topic in self.topics:
                await self.held.wait()
            return result

        monkeypatch.setattr(log, "changes", changes_later)

    async def grow_old(self, follower):
        await wait_until(lambda: follower.age() > follower.schedule.max_age_seconds)

    async def test_a_request_waits_for_the_news_that_its_endpoint_left(
        self, fleet, daemon
    ):
        self.topics.add("keyed.servers")
        fleet.unregister(self.leaving)
        fleet.unregister(self.staying)
        another = await fleet.endpoint()
        await self.grow_old(daemon.application.followers.endpoints)
        call = asyncio.create_task(fleet.call(daemon, f"{LOOKUPS}x"))
        await asyncio.sleep(0.3)
        assert not call.done()
        self.held.set()
        assert (await call)[0] == 200
        endpoints = (self.leaving, self.staying, another)
        # One that was removed while a call waited for it is asked at its health path.
        lookups = [
            [run for run in one.runs if run.target.startswith(LOOKUPS)]
            for one in endpoints
        ]
        assert [len(runs) for runs in lookups] == [0, 0, 1]

    async def test_a_request_waits_for_the_news_of_its_route(self, fleet, daemon):
        self.topics.add("keyed.op")
        fleet.configure(version=2, routes=[])
        await self.grow_old(daemon.application.followers.configuration)
        call = asyncio.create_task(fleet.call(daemon, f"{LOOKUPS}x"))
        await asyncio.sleep(0.3)
        assert not call.done()
        self.held.set()
        assert (await call)[0] == 404

    async def test_requests_are_served_on_old_views_while_the_log_is_lost(
        self, fleet, daemon
    ):
        daemon.faults.refusing = "silent"
        for follower in daemon.application.followers.all[:2]:
            await self.grow_old(follower)
        async with asyncio.timeout(1.0):
            assert (await fleet.call(daemon, f"{LOOKUPS}x"))[0] == 200
