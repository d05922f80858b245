"""Endpoints that name a limit of requests a second, for all daemons together."""

import asyncio
import itertools

import pytest

from platform_fleet import LOOKUPS, PlatformFleet

WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.6


def most_in_window(arrivals):
    """Return the most arrivals in any window, each of which starts with one."""
    return max(
        (
            sum(start <= time < start + WINDOW_SECONDS for time in arrivals)
            for start in arrivals
        ),
        default=0,
    )


def allowed(per_second):
    """Return how many requests a window may hold by the users' rule."""
    return 1.5 * WINDOW_SECONDS * per_second + 5


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


class TestSumOverDaemons:
    # Nobody read the header, and no daemon counted what the others sent.
    @pytest.mark.parametrize("daemon_count", [1, 3])
    async def test_an_endpoint_gets_no_more_than_it_named(self, fleet, daemon_count):
        limited = await fleet.endpoint(limit="5.0")
        free = await fleet.endpoint(work_seconds=0.1)
        daemons = [
            await fleet.ready_daemon([limited, free], name=f"a-{number}")
            for number in range(daemon_count)
        ]
        for daemon, number in itertools.product(daemons, range(8)):
            await fleet.call(daemon, f"{LOOKUPS}{number}")
        await asyncio.sleep(TOLD_SECONDS)
        told = len(limited.runs)
        statuses = await self.send_many(fleet, daemons, seconds=5.0, per_second=30)
        arrivals = [run.arrived_at for run in limited.runs[told:]]
        assert most_in_window(arrivals) <= allowed(5.0)
        assert len(arrivals) >= 0.6 * 5.0 * 5.0
        assert statuses.count(200) == len(statuses)

    async def send_many(self, fleet, daemons, seconds, per_second):
        """Send lookups through the daemons in turn; return their statuses."""
        calls = []
        for number in range(int(seconds * per_second)):
            daemon = daemons[number % len(daemons)]
            call = fleet.call(daemon, f"{LOOKUPS}more-{number}")
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(1 / per_second)
        return [status for status, _, _ in await asyncio.gather(*calls)]
