"""Streams of several versions, in a model of many daemons under random faults.

No stream may go on at another version than its own, and at least half as many must
go on as new ones begin: a fleet that resumes nothing would hold the first alone.
"""

import os
import random

import pytest

from stream_model import DOMAINS, StreamFleet

SEEDS = [int(one) for one in os.environ.get("EELGRASSLOCK_SEEDS", "1,2,3").split(",")]
STREAMS_PER_SECOND = 40


async def release(fleet, rng):
    """Replace some of the engines by others of a new version."""
    fleet.version += 1
    old = [one for one in fleet.engines.values() if one.registered]
    for engine in rng.sample(old, rng.randint(1, len(old))):
        fleet.add_engine()
        await fleet.run(rng.uniform(0.1, 0.6), STREAMS_PER_SECOND)
        engine.registered = False
        await fleet.run(rng.uniform(0.0, 0.4), STREAMS_PER_SECOND)
        if rng.random() < 0.5:
            engine.alive = False


async def begin_release(fleet, rng):
    """Start two engines of a new version and break all streams at once."""
    fleet.version += 1
    for _ in range(2):
        fleet.add_engine()
    await fleet.run(rng.uniform(0.05, 0.8), STREAMS_PER_SECOND)
    await kill(fleet, rng)


async def kill(fleet, rng):
    """Kill some daemons, and start them again after a second."""
    names = rng.sample(list(fleet.daemons), max(1, int(0.4 * len(fleet.daemons))))
    for name in names:
        await fleet.daemons[name].stop()
    await fleet.run(1.0, STREAMS_PER_SECOND)
    for name in names:
        daemon = fleet.daemons[name]
        run = int(daemon.entry.incarnation.rpartition("-")[2]) + 1
        fleet.start_daemon(name, daemon.domain, run)


async def add_daemons(fleet, rng):
    count = len(fleet.daemons)
    for number in range(count, count + max(2, count // 5)):
        fleet.start_daemon(f"d-{number}", DOMAINS[number % 3], 0)


async def cut_domain(fleet, rng):
    fleet.cut_domain = rng.choice(DOMAINS)
    cut = [one for one in fleet.daemons.values() if one.domain == fleet.cut_domain]
    if rng.random() < 0.5:
        fleet.without_store |= {one.name for one in cut}
    await disturbed(fleet, cut, rng)
    fleet.cut_domain = ""


async def cut_daemons(fleet, rng):
    cut = rng.sample(list(fleet.daemons.values()), max(1, len(fleet.daemons) // 5))
    fleet.cut_daemons = {one.name for one in cut}
    if rng.random() < 0.5:
        fleet.without_store |= fleet.cut_daemons
    await disturbed(fleet, cut, rng)
    fleet.cut_daemons = set()


async def cut_store(fleet, rng):
    share = rng.choice([0.2, 1.0])
    cut = rng.sample(list(fleet.daemons.values()), int(share * len(fleet.daemons)))
    fleet.without_store = {one.name for one in cut}
    await disturbed(fleet, cut, rng)


async def disturbed(fleet, daemons, rng):
    for _ in range(rng.randint(1, 4)):
        fleet.disturb(daemons)
        await fleet.run(rng.uniform(0.5, 2.0), STREAMS_PER_SECOND)
        if rng.random() < 0.3:
            await release(fleet, rng)
    fleet.disturb(daemons)
    fleet.without_store = set()


class TestFaults:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("daemons", [3, 10, 82])
    async def test_no_stream_crosses_versions(self, seed, daemons):
        rng = random.Random(seed)
        fleet = StreamFleet(seed, daemons)
        await fleet.run(rng.choice([2.0, 12.0]), STREAMS_PER_SECOND)
        faults = [release, kill, begin_release, add_daemons, cut_domain]
        faults += [cut_daemons, cut_store]
        for _ in range(5 if daemons > 20 else 10):
            await rng.choice(faults)(fleet, rng)
            await fleet.run(rng.uniform(0.5, 4.0), STREAMS_PER_SECOND)
        await fleet.run(10.0, 0)
        assert not fleet.crossed()
        assert fleet.keeps_enough()
        await fleet.stop()


class TestOneVersion:
    async def test_a_calm_fleet_tells_nobody_and_resumes_all(self):
        fleet = StreamFleet(1, 10)
        await fleet.run(10.0, STREAMS_PER_SECOND)
        told = fleet.told
        await fleet.run(5.0, STREAMS_PER_SECOND)
        await fleet.run(10.0, 0)
        resumed, went_on = fleet.counts()
        assert fleet.told == told
        assert went_on == resumed > 100
        await fleet.stop()

    async def test_a_fleet_that_was_killed_resumes_streams_of_its_one_version(self):
        fleet = StreamFleet(2, 10)
        await fleet.run(10.0, STREAMS_PER_SECOND)
        await kill(fleet, random.Random(2))
        await fleet.run(1.0, STREAMS_PER_SECOND)
        await fleet.run(5.0, STREAMS_PER_SECOND)
        await fleet.run(10.0, 0)
        resumed, went_on = fleet.counts()
        assert went_on >= 0.95 * resumed > 100
        await fleet.stop()
