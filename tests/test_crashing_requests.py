"""Requests that end the engines that run them, at several daemons."""

import asyncio

import pytest

from crashing_requests import (
    BODILESS,
    POISON,
    TURN_HEADERS,
    TURN_PATH,
    CrashingFleet,
)
from platform_fleet import LOOKUPS

CALM_SECONDS = 9.0
REPLACED_SECONDS = 16.0


@pytest.fixture
async def fleet():
    async with CrashingFleet() as one:
        yield one


def let_crash(fleet, body=b"", target=""):
    for engine in fleet.engines:
        engine.crashes_on = body
        engine.crashes_on_target = target


class TestLookups:
    async def test_a_lookup_without_a_body_is_quarantined(self, fleet):
        await fleet.start()
        let_crash(fleet, target=BODILESS)
        await fleet.send_for(CALM_SECONDS, BODILESS)
        fleet.check()

    async def test_a_lookup_with_a_body_is_quarantined(self, fleet):
        await fleet.start()
        let_crash(fleet, body=POISON)
        await fleet.send_for(CALM_SECONDS, f"{LOOKUPS}x", "POST", POISON)
        fleet.check()

    async def test_independent_equal_lookups_run_at_once(self, fleet):
        await fleet.start(count=1, work_seconds=0.5)
        calls = [fleet.send_to_next(f"{LOOKUPS}same") for _ in range(6)]
        async with asyncio.timeout(1.2):
            await asyncio.gather(*calls)
        assert fleet.statuses == [200] * 6


class TestReplacedDaemons:
    async def test_daemons_replaced_one_by_one_remember(self, fleet):
        """Sixteen engines ended, ten of them late."""
        await fleet.start(service="models", events=8, event_seconds=0.02)
        let_crash(fleet, body=POISON)
        replacing = asyncio.create_task(fleet.replace_in_turn())
        await fleet.send_for(
            REPLACED_SECONDS, TURN_PATH, "POST", POISON, **TURN_HEADERS
        )
        await fleet.stop_replacing(replacing)
        fleet.check()

    async def test_daemons_that_were_all_killed_remember(self, fleet):
        await fleet.start(service="models", events=8, event_seconds=0.02)
        let_crash(fleet, body=POISON)
        for _ in range(5):
            await fleet.send_for(1.8, TURN_PATH, "POST", POISON, **TURN_HEADERS)
            await fleet.kill_all()
        await fleet.send_for(1.8, TURN_PATH, "POST", POISON, **TURN_HEADERS)
        fleet.check()


class TestOtherEnds:
    async def test_a_crash_beside_another_endpoint_that_stops_counts(self, fleet):
        """Two endpoints unreachable at once were taken for a broken network."""
        await fleet.start()
        let_crash(fleet, body=POISON)
        bystander = await fleet.endpoint()

        async def stop_beside():
            ends = 0
            while True:
                await asyncio.sleep(0.002)
                if len(fleet.ends() if fleet.has_ends() else ()) > ends:
                    ends = len(fleet.ends())
                    await bystander.stop()
                    await asyncio.sleep(0.4)
                    await bystander.start()

        async def use_bystander():
            while True:
                await fleet.send_to_next(f"{LOOKUPS}y{fleet.next_daemon}")
                await asyncio.sleep(0.01)

        beside = [asyncio.create_task(one()) for one in (stop_beside, use_bystander)]
        await fleet.send_for(CALM_SECONDS, f"{LOOKUPS}x", "POST", POISON)
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        fleet.check()
