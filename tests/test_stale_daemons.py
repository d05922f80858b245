"""A daemon whose view of the endpoints is late, while a second version joins."""

import asyncio

import pytest
from attrs import evolve

from platform_fleet import PlatformFleet, wait_until
from test_stream_versions import FEWEST_STREAMS, WINDOW_SECONDS, VersionFleet, leave

HELD_SECONDS = 60.0


class HeldLog:
    """A log whose followers get no news; what asks for none is answered.

    `held`: an event that is set once the follower waits.
    """

    def __init__(self, log):
        self.log = log
        self.held = asyncio.Event()

    async def changes(self, topic, offset, wait_seconds, answer_seconds):
        if wait_seconds:
            self.held.set()
            await asyncio.sleep(HELD_SECONDS)
        return await self.log.changes(topic, offset, wait_seconds, answer_seconds)


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


async def settled_fleet(fleet):
    """Return three daemons that have known one version for a while."""
    versions = await VersionFleet(fleet).start(versions=["v1"])
    for daemon in versions.daemons:
        daemon.application.shared.version_watch.window_seconds = WINDOW_SECONDS
    await wait_until(lambda: all(only_version(one) for one in versions.daemons))
    return versions


def only_version(daemon):
    return daemon.application.shared.version_watch.only_version("models")


async def second_version(versions, daemons):
    """Let engines of a second version join, and daemons see them."""
    joined = [await versions.add_engine("v1.1") for _ in range(2)]
    registries = [one.application.endpoint_registry for one in daemons]
    await wait_until(
        lambda: all(one.id in some.entries for one in joined for some in registries)
    )


async def hold(daemon):
    """Keep a daemon's view of the endpoints as it is, and let it count as current."""
    follower = daemon.application.followers.endpoints
    follower.log = HeldLog(follower.log)
    await follower.log.held.wait()
    follower.schedule = evolve(follower.schedule, max_age_seconds=HELD_SECONDS)


class TestLateView:
    """Guards against streams that go on at another version at a daemon out of step."""

    @pytest.mark.parametrize("refusing", ["", "busy", "silent", "reset"])
    async def test_no_stream_crosses(self, fleet, refusing):
        versions = await settled_fleet(fleet)
        *others, stale = versions.daemons
        await hold(stale)
        await second_version(versions, others)
        await leave(stale, "cut_off")
        streams = await versions.begin(3 * FEWEST_STREAMS, others)
        for one in others:
            await leave(one, "stopped")
        stale.faults.refusing = refusing
        assert only_version(stale) == "v1"
        await versions.take_up(streams, [stale])
        assert not versions.crossed(streams)


class TestOneVersion:
    async def test_a_stream_goes_on_where_the_store_answers(self, fleet):
        versions = await settled_fleet(fleet)
        streams = await versions.begin(FEWEST_STREAMS, versions.daemons[:1])
        for one in versions.daemons[:2]:
            await leave(one, "stopped")
        await versions.take_up(streams, versions.daemons[2:])
        assert len(versions.went_on(streams)) == FEWEST_STREAMS
