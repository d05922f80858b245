"""Endpoints that name a limit of requests a second, for all daemons together."""

import asyncio
import itertools

import pytest

from eelgrasslock_standins.platform_engine import Fault
from platform_fleet import LOOKUPS, POSTS, PlatformFleet

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


async def send_many(fleet, daemons, seconds, per_second):
    """Send requests through the daemons in turn; return status and head of each."""
    calls = []
    for number in range(int(seconds * per_second)):
        daemon = daemons[number % len(daemons)]
        call = fleet.call(daemon, f"{POSTS}more-{number}", "POST", b"x")
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_second)
    return [(status, head) for status, head, _ in await asyncio.gather(*calls)]


async def tell_all(fleet, daemons):
    """Let all daemons pass on answers that name the limits; wait until it counts."""
    for daemon, number in itertools.product(daemons, range(8)):
        await fleet.call(daemon, f"{POSTS}{number}", "POST", b"x")
    await asyncio.sleep(TOLD_SECONDS)


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
        await tell_all(fleet, daemons)
        told = len(limited.runs)
        appends = fleet.store.calls.get("log-append", 0)
        answers = await send_many(fleet, daemons, seconds=5.0, per_second=30)
        arrivals = [run.arrived_at for run in limited.runs[told:]]
        assert most_in_window(arrivals) <= allowed(5.0)
        assert len(arrivals) >= 0.6 * 5.0 * 5.0
        assert {status for status, _ in answers} == {200}
        assert fleet.store.calls.get("log-append", 0) == appends

    async def test_requests_that_it_declines_and_their_retries_count(self, fleet):
        limited = await fleet.endpoint(limit="5.0")
        free = await fleet.endpoint(work_seconds=0.1)
        daemon = await fleet.ready_daemon([limited, free])
        await tell_all(fleet, [daemon])
        told = len(limited.runs)
        limited.faults.extend([Fault.NONE, Fault.FULL] * 200)
        await send_many(fleet, [daemon], seconds=5.0, per_second=30)
        arrivals = [run.arrived_at for run in limited.runs[told:]]
        assert any(not run.ran for run in limited.runs[told:])
        assert most_in_window(arrivals) <= allowed(5.0)
        assert daemon.application.shared.limits.table.per_second(limited.id) == 5.0

    async def test_another_daemon_grants_once_the_owner_is_gone(self, fleet):
        limited = await fleet.endpoint(limit="5.0")
        daemons = [
            await fleet.ready_daemon([limited], name=f"a-{number}")
            for number in range(3)
        ]
        await tell_all(fleet, daemons)
        owners = daemons[0].application.shared.limits.owners
        name = owners.ranked(limited.id)[0].name
        owner = next(one for one in daemons if one.application.settings.name == name)
        await owner.application.stop()
        others = [one for one in daemons if one is not owner]
        await asyncio.sleep(TOLD_SECONDS)
        told = len(limited.runs)
        answers = await send_many(fleet, others, seconds=5.0, per_second=5)
        arrivals = [run.arrived_at for run in limited.runs[told:]]
        assert most_in_window(arrivals) <= allowed(5.0)
        assert [status for status, _ in answers].count(200) >= 0.6 * len(answers)


class TestWholeService:
    async def test_what_has_no_room_is_refused_and_has_not_run(self, fleet):
        limited = await fleet.endpoint(limit="2.0")
        daemon = await fleet.ready_daemon([limited])
        await tell_all(fleet, [daemon])
        answers = await send_many(fleet, [daemon], seconds=2.0, per_second=20)
        refused = [head for status, head in answers if status == 429]
        assert {status for status, _ in answers} == {200, 429}
        assert all(0.1 <= float(head.header("retry-after")) < 20 for head in refused)
        ran = set(limited.ids())
        assert not ran & {head.header("request-id") for head in refused}

    async def test_lookups_get_the_tokens_that_there_are(self, fleet):
        limited = await fleet.endpoint(limit="4.0")
        daemon = await fleet.ready_daemon([limited])
        await tell_all(fleet, [daemon])
        calls = []
        for number in range(12):
            calls.append(asyncio.create_task(fleet.call(daemon, f"{LOOKUPS}{number}")))
            await asyncio.sleep(0.25)
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        assert statuses.count(200) >= 9

    async def test_all_is_sent_again_once_the_limit_has_ended(self, fleet):
        limited = await fleet.endpoint(limit="2.0")
        daemon = await fleet.ready_daemon([limited])
        await tell_all(fleet, [daemon])
        limited.limit = ""
        await send_many(fleet, [daemon], seconds=2.0, per_second=5)
        answers = await send_many(fleet, [daemon], seconds=1.0, per_second=20)
        assert {status for status, _ in answers} == {200}

    # A refusal of a retry said that the request had not run.
    async def test_a_request_that_may_have_run_is_not_said_not_to_have(self, fleet):
        limited = await fleet.endpoint(limit="5.0")
        daemon = await fleet.ready_daemon([limited])
        await tell_all(fleet, [daemon])
        limited.faults.append(Fault.LOST)
        status, _, _ = await fleet.call(daemon, f"{LOOKUPS}lost")
        assert limited.runs[-1].ran
        assert status in (502, 504)
