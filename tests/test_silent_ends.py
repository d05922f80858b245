"""Requests that end engines which fall silent, where nobody sees the end."""

import asyncio

import pytest

from crashing_requests import POISON, TURN_HEADERS, TURN_PATH, CrashingFleet
from platform_fleet import LOOKUPS

LAPSE_SECONDS = 2.5
RETURN_SECONDS = 0.5
CALM_SECONDS = 18.0
REPLACED_SECONDS = 24.0
REPLACE_SECONDS = 1.6


@pytest.fixture
async def fleet():
    async with CrashingFleet() as one:
        one.removal_seconds = LAPSE_SECONDS
        one.return_seconds = RETURN_SECONDS
        yield one


async def start(fleet, service, **shape):
    await fleet.start(service=service, crashes_silently=True, **shape)
    for engine in fleet.engines:
        engine.crashes_on = POISON


async def send_turns(fleet, seconds):
    await fleet.send_for(seconds, TURN_PATH, "POST", POISON, **TURN_HEADERS)
    fleet.check()


async def send_lookups(fleet, seconds):
    await fleet.send_for(seconds, f"{LOOKUPS}x", "POST", POISON)
    fleet.check()


async def send_turns_one_by_one(fleet, seconds):
    await fleet.send_one_by_one(seconds, TURN_PATH, "POST", POISON, **TURN_HEADERS)
    fleet.check()


async def send_while_replaced(fleet, send):
    replacing = asyncio.create_task(fleet.replace_abruptly(REPLACE_SECONDS))
    try:
        await send(fleet, REPLACED_SECONDS)
    finally:
        await fleet.stop_replacing(replacing)


class TestReplacedDaemons:
    """The daemon that waited for the silent engine was gone before its entry."""

    async def test_turns(self, fleet):
        """Eleven of eleven tries ended an engine."""
        await start(fleet, "models", events=8, event_seconds=0.02)
        await send_while_replaced(fleet, send_turns_one_by_one)

    async def test_lookups(self, fleet):
        await start(fleet, "desk")
        await send_while_replaced(fleet, send_lookups)

    async def test_turns_at_engines_that_stand_still(self, fleet):
        await start(fleet, "models", events=8, keeps_port=True)
        await send_while_replaced(fleet, send_turns_one_by_one)


class TestEnginesThatStandStill:
    """An engine that takes connections and answers nothing was taken for sound."""

    async def test_turns(self, fleet):
        await start(fleet, "models", events=8, keeps_port=True)
        await send_turns(fleet, CALM_SECONDS)

    async def test_lookups(self, fleet):
        await start(fleet, "desk", keeps_port=True)
        await send_lookups(fleet, CALM_SECONDS)


class TestTheDaemonThatWaits:
    async def test_it_is_replaced_before_the_end_is_known(self, fleet):
        """Eleven of eleven tries ended an engine."""
        fleet.removal_seconds = 2.0
        await start(fleet, "models", events=8, event_seconds=0.02)
        for _ in range(9):
            daemon = fleet.daemons[0]
            fleet.next_daemon = -1
            turn = asyncio.create_task(
                fleet.send_to_next(TURN_PATH, "POST", POISON, **TURN_HEADERS)
            )
            await asyncio.sleep(1.3)
            await fleet.replace_at_once(daemon)
            await turn
            await asyncio.sleep(1.4)
        fleet.check()
