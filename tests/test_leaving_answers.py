"""An engine that says in an answer that it leaves gets no request any more.

Its entry may still read that it is ready, and the log may be away.
"""

import asyncio

import pytest

from eelgrasslock_standins.platform_engine import Fault
from platform_fleet import LOOKUPS, POSTS, SLOTS, PlatformFleet, wait_until


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


async def send(fleet, daemon, count, path=LOOKUPS):
    method = "GET" if path == LOOKUPS else "POST"
    calls = [fleet.call(daemon, f"{path}x", method) for _ in range(count)]
    return [status for status, _, _ in await asyncio.gather(*calls)]


async def hear_that_it_leaves(fleet, daemon, endpoint):
    """Send requests until the daemon has passed on an answer of a leaving endpoint."""
    endpoint.leaving = "1"
    before = len(endpoint.runs)
    async with asyncio.timeout(5.0):
        while len(endpoint.runs) == before:
            await send(fleet, daemon, 6)
    return len(endpoint.runs)


class TestLeavingByAnswer:
    # Nothing read the header: the entry alone decided.
    @pytest.mark.parametrize("refusing", ["", "silent"])
    async def test_it_gets_nothing_more_while_its_entry_says_ready(
        self, fleet, refusing
    ):
        leaving, staying = await fleet.endpoint(), await fleet.endpoint()
        daemon = await fleet.ready_daemon([leaving, staying])
        daemon.faults.refusing = refusing
        runs = await hear_that_it_leaves(fleet, daemon, leaving)
        for _ in range(10):
            assert await send(fleet, daemon, 4) == [200] * 4
        fleet.register(leaving, slots=SLOTS + 1)
        assert await send(fleet, daemon, 10) == [200] * 10
        assert len(leaving.runs) == runs

    async def test_a_request_that_waited_goes_elsewhere(self, fleet):
        leaving = await fleet.endpoint(work_seconds=0.2, leaving="1")
        daemon = await fleet.ready_daemon([leaving])
        table = daemon.application.scheduler.endpoint_table
        state = table.states[leaving.id]
        slots = state.settings.batch_limit
        calls = asyncio.create_task(send(fleet, daemon, slots + 4, POSTS))
        await wait_until(lambda: len(leaving.runs) == slots)
        staying = await fleet.endpoint()
        assert await calls == [200] * (slots + 4)
        assert len(leaving.runs) == slots
        assert len(staying.runs) == 4

    async def test_its_restart_ends_it(self, fleet):
        endpoint, other = await fleet.endpoint(), await fleet.endpoint()
        daemon = await fleet.ready_daemon([endpoint, other])
        runs = await hear_that_it_leaves(fleet, daemon, endpoint)
        endpoint.leaving = ""
        fleet.register(endpoint, born=2)
        entries = daemon.application.endpoint_registry.entries
        await wait_until(lambda: entries[endpoint.id].started_at_ms == 2)
        fleet.unregister(other)
        await wait_until(lambda: other.id not in entries)
        assert await send(fleet, daemon, 3) == [200] * 3
        assert len(endpoint.runs) == runs + 3

    async def test_all_leave_and_one_comes(self, fleet):
        endpoints = [await fleet.endpoint(leaving="1") for _ in range(2)]
        daemon = await fleet.ready_daemon(endpoints)
        for _ in range(2):
            assert await send(fleet, daemon, 1) == [200]
        async with asyncio.timeout(0.5):
            status, head, body = await fleet.call(daemon, f"{LOOKUPS}x")
        assert status == 503
        assert b'"ran": "no"' in body
        assert float(dict(head.headers)["Retry-After"]) > 0
        coming = await fleet.endpoint()
        entries = daemon.application.endpoint_registry.entries
        await wait_until(lambda: coming.id in entries)
        assert await send(fleet, daemon, 1) == [200]
        assert [len(one.runs) for one in endpoints] == [1, 1]

    @pytest.mark.parametrize("value", ["0", "", "yes", "1 1"])
    async def test_a_value_that_is_no_word_of_leaving(self, fleet, value):
        endpoint = await fleet.endpoint(leaving=value)
        daemon = await fleet.ready_daemon([endpoint])
        assert await send(fleet, daemon, 3) == [200] * 3

    async def test_an_unsigned_answer_is_not_believed(self, fleet):
        endpoint = await fleet.endpoint(leaving="1")
        endpoint.faults.append(Fault.FULL)
        daemon = await fleet.ready_daemon([endpoint])
        await send(fleet, daemon, 1)
        assert daemon.application.endpoint_registry.find_usable(endpoint.id)

    async def test_callers_do_not_get_the_header(self, fleet):
        endpoint = await fleet.endpoint(leaving="1")
        daemon = await fleet.ready_daemon([endpoint])
        _, head, _ = await fleet.call(daemon, f"{LOOKUPS}x")
        assert "server-leaving" not in {name.lower() for name, _ in head.headers}
