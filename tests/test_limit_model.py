"""Limits that engines name, in a model of many daemons under random faults.

Each window of 4 s must hold no more requests than the users' rule allows, and the
limits must be used: fair shares would hold the first and fail the second.
"""

import os
import random

import pytest

from limit_model import DOMAINS, LimitFleet

SEEDS = [int(one) for one in os.environ.get("EELGRASSLOCK_SEEDS", "1,2,3").split(",")]
LIMIT = 9.0


def limit_all(fleet, per_second=LIMIT, share=1.0):
    engines = list(fleet.engines.values())
    for engine in engines[: round(share * len(engines))]:
        fleet.set_limit(engine, per_second)


def served_since(fleet, since):
    times = [at for one in fleet.engines.values() for at, _ in one.arrivals]
    return sum(at >= since for at in times)


class TestCalmFleet:
    @pytest.mark.parametrize(
        ("daemons", "engines", "skew"), [(10, 6, 0.0), (10, 6, 0.9), (82, 12, 0.9)]
    )
    async def test_a_whole_limited_service_serves_what_it_may(
        self, daemons, engines, skew
    ):
        fleet = LimitFleet(1, daemons, engines, skew)
        await fleet.run(4.0, 3 * LIMIT * engines)
        limit_all(fleet)
        await fleet.run(4.0, 1.5 * LIMIT * engines)
        since = fleet.clock.monotonic()
        await fleet.run(8.0, 1.5 * LIMIT * engines)
        assert max(fleet.excess().values()) <= 0
        assert served_since(fleet, since) >= 0.85 * 8.0 * LIMIT * engines
        await fleet.stop()

    async def test_work_moves_to_engines_with_room(self):
        fleet = LimitFleet(2, 10, 6)
        await fleet.run(4.0, 80)
        limit_all(fleet, share=0.5)
        await fleet.run(12.0, 80)
        assert max(fleet.excess().values()) <= 0
        refused = sum(len(one.refusals) for one in fleet.daemons.values())
        assert refused <= 0.01 * fleet.number
        await fleet.stop()

    async def test_a_refusal_says_when_to_come_back(self):
        fleet = LimitFleet(3, 10, 3)
        await fleet.run(3.0, 60)
        limit_all(fleet, 2.0)
        await fleet.run(8.0, 60)
        refusals = [one for daemon in fleet.daemons.values() for one in daemon.refusals]
        late = [refusal for at, refusal in refusals if at > 1_008.0]
        assert late
        assert {one.status for one in late} == {429}
        assert all(0.1 <= one.retry_after <= 10.0 for one in late)
        assert max(fleet.excess().values()) <= 0
        await fleet.stop()


class TestChangingLimits:
    async def test_a_limit_that_falls_holds_and_one_that_ends_is_forgotten(self):
        fleet = LimitFleet(4, 10, 4)
        await fleet.run(3.0, 120)
        limit_all(fleet, 20.0)
        await fleet.run(6.0, 120)
        limit_all(fleet, 4.0)
        await fleet.run(8.0, 120)
        assert max(fleet.excess().values()) <= 0
        for engine in fleet.engines.values():
            engine.limit = None
        await fleet.run(3.0, 40)
        since = fleet.clock.monotonic()
        number = fleet.number
        await fleet.run(5.0, 40)
        assert served_since(fleet, since) >= 0.95 * (fleet.number - number)
        await fleet.stop()

    async def test_a_limit_that_cant_be_read_any_more_still_holds(self):
        fleet = LimitFleet(5, 10, 4)
        await fleet.run(3.0, 120)
        limit_all(fleet, 6.0)
        await fleet.run(4.0, 120)
        fleet.unreadable |= fleet.engines.keys()
        await fleet.run(8.0, 120)
        assert max(fleet.excess().values()) <= 0
        await fleet.stop()

    async def test_the_end_of_a_limit_of_nothing_is_noticed(self):
        fleet = LimitFleet(6, 10, 2)
        await fleet.run(3.0, 40)
        limit_all(fleet, 0.0)
        await fleet.run(8.0, 40)
        assert max(fleet.excess().values()) <= 0
        for engine in fleet.engines.values():
            engine.limit = None
        await fleet.run(6.0, 40)
        since = fleet.clock.monotonic()
        await fleet.run(4.0, 40)
        assert served_since(fleet, since) >= 0.9 * 4.0 * 40
        await fleet.stop()


class TestFaults:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(("daemons", "engines"), [(10, 6), (82, 10)])
    async def test_limits_hold_under_random_faults(self, seed, daemons, engines):
        rng = random.Random(seed)
        fleet = LimitFleet(seed, daemons, engines, skew=0.8)
        load = rng.uniform(1.0, 3.0) * LIMIT * engines
        await fleet.run(3.0, load)
        limit_all(fleet, rng.uniform(2.0, 15.0), share=rng.uniform(0.5, 1.0))
        await fleet.run(2.0, load)
        faults = [restart, restart_owner, cut_domain, cut_daemons, freeze_loads, burst]
        for _ in range(4 if daemons > 20 else 8):
            await rng.choice(faults)(fleet, rng, load)
            await fleet.run(rng.uniform(0.5, 3.0), load)
            assert max(fleet.excess().values()) <= 0
        await fleet.stop()


async def restart(fleet, rng, load):
    await fleet.restart(rng.choice(list(fleet.daemons)), rng.uniform(0.3, 2.0), load)


async def restart_owner(fleet, rng, load):
    """Restart the daemon that grants the requests to an engine."""
    daemon = next(iter(fleet.daemons.values()))
    engine = rng.choice(list(fleet.engines))
    owner = daemon.controller.owners.ranked(engine)[0].name
    await fleet.restart(owner, rng.uniform(0.3, 2.0), load)


async def cut_domain(fleet, rng, load):
    fleet.cut_domain = rng.choice(DOMAINS)
    cut = [one for one in fleet.daemons.values() if one.domain == fleet.cut_domain]
    await run_cut(fleet, cut, rng, load)
    fleet.cut_domain = ""


async def cut_daemons(fleet, rng, load):
    cut = rng.sample(list(fleet.daemons.values()), len(fleet.daemons) // 5)
    fleet.cut_daemons = {one.name for one in cut}
    await run_cut(fleet, cut, rng, load)
    fleet.cut_daemons = set()


async def run_cut(fleet, cut, rng, load):
    for _ in range(rng.randint(1, 3)):
        for daemon in cut:
            fleet.excuse(daemon)
        await fleet.run(rng.uniform(0.5, 2.0), load)
    for daemon in cut:
        fleet.excuse(daemon)


async def freeze_loads(fleet, rng, load):
    """Let no heartbeat pass for a while: peers are away, calls still reach them."""
    for daemon in fleet.daemons.values():
        daemon.next_exchange_at = fleet.clock.monotonic() + 4.0
    await fleet.run(3.0, load)


async def burst(fleet, rng, load):
    await fleet.run(2.0, 3 * load)
