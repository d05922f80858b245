"""Two builds side by side keep versions of streams, limits of requests, and drains."""

import asyncio
import random
import time

import pytest

from platform_fleet import wait_until
from test_request_limits import allowed, most_in_window, send_many, tell_all
from test_stream_versions import VERSIONS, VersionFleet
from test_upgrades import SEEDS, builds, fleet, require, start_daemons

__all__ = ["builds", "fleet"]

LIMIT_PER_SECOND = 5.0
# drainMs of the users' sites, which the daemons have as their default.
DRAIN_SECONDS = 2.0
AFTER_DRAIN_SECONDS = 2.0
POSTS_PER_SECOND = 30


async def replace(daemon, source):
    await daemon.terminate()
    await daemon.start(source)


@pytest.fixture(
    params=[
        ("landed", "this"),
        ("this", "landed"),
        ("before", "this"),
        ("this", "before"),
    ],
    ids="-".join,
)
def pair(request):
    """Give the names of the build that runs and of the one that comes beside it."""
    return request.param


@pytest.fixture
def start(fleet, builds, tmp_path, pair, seed):
    """Give a function that starts daemons of a build, and replaces half of them."""
    old, new = pair
    require(builds, old, new)

    async def start():
        daemons = await start_daemons(fleet, tmp_path, builds[old])
        half = random.Random(seed).sample(daemons, len(daemons) // 2)
        await asyncio.gather(*(replace(one, builds[new]) for one in half))
        return daemons

    return start


@pytest.mark.parametrize("seed", SEEDS)
class TestSideBySide:
    async def test_streams_go_on_at_their_version(self, fleet, start):
        versions = VersionFleet(fleet)
        for version in VERSIONS:
            for _ in range(2):
                await versions.add_engine(version)
        versions.daemons = await start()
        streams = await versions.begin()
        await versions.take_up(streams)
        assert versions.crossed(streams) == []
        assert 2 * len(versions.went_on(streams)) >= len(streams)

    async def test_an_endpoint_gets_no_more_than_it_named(self, fleet, start):
        limited = await fleet.endpoint(limit=str(LIMIT_PER_SECOND))
        await fleet.endpoint(work_seconds=0.1)
        daemons = await start()
        await tell_all(fleet, daemons)
        told = len(limited.runs)
        answers = await send_many(fleet, daemons, 5.0, POSTS_PER_SECOND)
        arrivals = [run.arrived_at for run in limited.runs[told:]]
        assert most_in_window(arrivals) <= allowed(LIMIT_PER_SECOND)
        assert {status for status, _ in answers} == {200}

    async def test_a_draining_endpoint_gets_nothing_more(self, fleet, start):
        leaving = await fleet.endpoint()
        await fleet.endpoint(work_seconds=0.1)
        daemons = await start()
        seconds = 1.0 + DRAIN_SECONDS + AFTER_DRAIN_SECONDS
        sending = asyncio.create_task(
            send_many(fleet, daemons, seconds, POSTS_PER_SECOND)
        )
        await asyncio.sleep(1.0)
        await wait_until(lambda: leaving.runs)
        fleet.register(leaving, state="draining")
        drained_at = time.monotonic() + DRAIN_SECONDS
        answers = await sending
        assert [one.id for one in leaving.runs if one.arrived_at > drained_at] == []
        assert {status for status, _ in answers} == {200}
