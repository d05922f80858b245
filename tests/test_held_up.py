"""Daemons that are held up: frozen, or without a processor for a while."""

import asyncio
import socket
import time

import pytest

from eelgrasslock.http.pool import CONNECT_TIMEOUT_SECONDS, ConnectFailed
from eelgrasslock.peers.peer_mesh import CALL_TIMEOUT_SECONDS
from eelgrasslock.responses.response_timeouts import RESPONSE_TIMEOUT_SECONDS
from eelgrasslock.running_timeout import RunningTimeout, is_done_within
from hold_ups import running_seconds
from platform_fleet import LOOKUPS, POSTS, PlatformFleet, wait_until

HELD_UP_SECONDS = 0.5
LIMIT_SECONDS = 0.2


async def hold_up(task, seconds=HELD_UP_SECONDS):
    """Hold the process up once a task has begun, and return what it gives."""
    await asyncio.sleep(0)
    time.sleep(seconds)  # noqa: ASYNC251
    return await task


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


class TestTimeout:
    async def wait(self, limit, seconds):
        async with limit:
            await asyncio.sleep(seconds)

    async def test_time_in_which_the_loop_runs_counts(self):
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            await self.wait(RunningTimeout(LIMIT_SECONDS), 2.0)
        assert time.monotonic() - started_at >= LIMIT_SECONDS
        assert running_seconds(started_at) < 2 * LIMIT_SECONDS + 0.3

    async def test_time_in_which_it_is_held_up_does_not_count(self):
        limit = RunningTimeout(LIMIT_SECONDS)
        task = asyncio.create_task(self.wait(limit, HELD_UP_SECONDS + 0.05))
        await hold_up(task)
        assert limit.remaining_seconds > 0

    async def test_parts_of_the_work_share_the_time(self):
        limit = RunningTimeout(LIMIT_SECONDS)
        await self.wait(limit, 0.75 * LIMIT_SECONDS)
        with pytest.raises(TimeoutError):
            await self.wait(limit, 0.75 * LIMIT_SECONDS)

    async def test_time_that_is_used_up_leaves_none(self):
        limit = RunningTimeout(0.0)
        with pytest.raises(TimeoutError):
            await self.wait(limit, 0.5)

    async def test_a_task_that_ends_with_the_time_has_ended(self):
        ended = asyncio.get_running_loop().create_future()
        ended.set_result(None)
        assert await is_done_within(ended, 0.0)

    async def test_a_task_that_takes_longer_goes_on(self):
        task = asyncio.create_task(asyncio.sleep(0.1, "result"))
        assert not await is_done_within(task, 0.02)
        assert await task == "result"

    async def test_a_cancelled_task_stays_cancelled(self):
        task = asyncio.create_task(self.wait(RunningTimeout(1.0), 2.0))
        await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


class TestEndpoints:
    async def test_a_connection_that_opened_meanwhile_is_used(self, fleet):
        engine = await fleet.endpoint()
        connect = asyncio.create_task(fleet.pool.connect(engine.address))
        connection = await hold_up(connect)
        assert connection.reusable
        connection.close()

    async def test_an_address_that_takes_no_connection_is_given_up(self, fleet):
        """A listener whose queue is full answers no further connection."""
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            host, port = full.getsockname()
            waiting = [await fleet.pool.connect(f"{host}:{port}")]
            started_at = time.monotonic()
            with pytest.raises(ConnectFailed):
                waiting.append(await fleet.pool.connect(f"{host}:{port}"))
            assert time.monotonic() - started_at >= CONNECT_TIMEOUT_SECONDS
            waiting[0].close()

    async def test_a_sound_endpoint_is_not_taken_for_crashed(self, fleet):
        """A request that met this twice was refused for an hour."""
        engine = await fleet.endpoint()
        application = (await fleet.ready_daemon([engine])).application
        failures = application.failures
        record = application.endpoint_registry.entries[engine.id]
        assert await hold_up(failures.check(record)) is False

    async def test_a_request_that_may_be_sent_once_is_served(self, fleet, monkeypatch):
        """Its only endpoint had not been reached: it waited until its deadline."""
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        pool = daemon.application.pool
        connect = pool.connect

        async def connect_held_up(address):
            opening = asyncio.create_task(connect(address))
            is_endpoint = address == engine.address
            return await (hold_up(opening) if is_endpoint else opening)

        monkeypatch.setattr(pool, "connect", connect_held_up)
        status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST", b"x")
        assert status == 200

    async def test_an_answer_that_came_meanwhile_is_not_asked_for_again(self, fleet):
        engine = await fleet.endpoint(work_seconds=0.1)
        other = await fleet.endpoint(work_seconds=0.1)
        daemon = await fleet.ready_daemon([engine, other])
        call = asyncio.create_task(fleet.call(daemon, f"{LOOKUPS}x"))
        await wait_until(lambda: engine.runs or other.runs)
        status, _, _ = await hold_up(call, 2 * RESPONSE_TIMEOUT_SECONDS)
        assert status == 200
        assert len(engine.runs + other.runs) == 1


class TestPeers:
    async def test_a_peer_that_answered_is_not_dropped(self, fleet):
        one = (await fleet.daemon("a-1")).application.draw_keepers
        other = (await fleet.daemon("a-2")).application.draw_keepers
        entry = other.registry.own
        await wait_until(lambda: one.registry.find(entry.incarnation))
        asking = one._ask_one(entry, "program", None, False)
        assert await hold_up(asyncio.create_task(asking)) is not None
        assert CALL_TIMEOUT_SECONDS < HELD_UP_SECONDS


class TestLog:
    async def test_a_log_that_answered_is_not_lost(self, fleet):
        application = (await fleet.ready_daemon([])).application
        log = application.peer_coordinator.direct_log
        read = asyncio.create_task(log.changes("keyed.daemons", 0, 0.0, LIMIT_SECONDS))
        assert (await hold_up(read)).end > 0
