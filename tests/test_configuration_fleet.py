"""The configuration in a fleet of real processes, under failures."""

import time

import pytest

from deployment import OPERATOR_KEY, Deployment
from processes import Processes, eventually

EVERYWHERE_SECONDS = 18.0
HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}


@pytest.fixture
async def processes(tmp_path):
    async with Processes(tmp_path) as running:
        yield running


async def in_force(fleet, daemon):
    answer = await fleet.call("GET", "/operator/config", None, HEADERS, daemon)
    return answer.body


async def publish(fleet, number, daemon=0):
    """Publish a configuration that differs by one limit."""
    replaced = (await in_force(fleet, daemon))["id"]
    text = fleet.configuration({"call_seconds": 30.0 + number})
    answer = await fleet.publish(text, replaced, daemon)
    assert answer.status == 200, answer.data
    return answer.body["version"]


async def everywhere(fleet, version, daemons):
    """Wait until a version is in force at all of these daemons."""

    async def reached():
        versions = [(await in_force(fleet, one))["version"] for one in daemons]
        return all(one >= version for one in versions)

    await eventually(reached, EVERYWHERE_SECONDS)


class TestSpread:
    async def test_in_force_everywhere_in_seconds(self, processes, record_property):
        fleet = await Deployment(processes, ["a", "a", "b", "b", "c"]).start()
        spread = []
        for number in range(5):
            version = await publish(fleet, number, daemon=number)
            published = time.monotonic()
            await everywhere(fleet, version, range(5))
            spread.append(time.monotonic() - published)
        record_property("spread_seconds", spread)
        print(f"configuration spread: {max(spread):.2f} s at most of 5 publishes")


class TestFailures:
    async def test_a_frozen_daemon_catches_up_and_never_goes_back(self, processes):
        fleet = await Deployment(processes, ["a", "b"]).start()
        await fleet.freeze(1)
        version = await publish(fleet, 1)
        await fleet.thaw(1)
        await everywhere(fleet, version, [0, 1])
        assert (await in_force(fleet, 1))["version"] == version

    async def test_a_fresh_daemon_after_retention_publishes(self, processes):
        fleet = await Deployment(processes, ["a", "b"]).start()
        versions = [await publish(fleet, number) for number in range(6)]
        # As many as the stream of members needs; the first version is dropped.
        await processes.control(fleet.log, retention_entries=4)
        assert await fleet.daemons[1].terminate() == 0
        fleet.daemons[1] = await fleet.start_daemon(1)
        await processes.wait_ready(fleet.daemons[1])
        assert (await in_force(fleet, 1))["version"] == versions[-1]
        version = await publish(fleet, 9, daemon=1)
        assert version == versions[-1] + 1
        await everywhere(fleet, version, [0, 1])

    async def test_a_publish_whose_answers_are_lost_counts_once(self, processes):
        fleet = await Deployment(processes, ["a", "b"]).start()
        await processes.control(fleet.log, lose_answers=2)
        version = await publish(fleet, 1)
        assert version == 2
        await everywhere(fleet, version, [0, 1])
