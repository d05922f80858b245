"""Quotas over all daemons, in a model of many of them under faults.

No sliding window may hold more requests than the bound; what is asked below the
quota must be served.
"""

import os

import pytest

from quota_model import DOMAINS, QuotaFleet, Traffic, bound, most_in_window

SEEDS = [int(one) for one in os.environ.get("EELGRASSLOCK_SEEDS", "1,2,3").split(",")]
# Workspaces below their quota, far beyond it, small and large, with and without burst.
LIMITS = {"large": (60, 60), "hot": (40, 20), "small": (2, 4), "flat": (10, 0)}
ASKED = {"large": 38, "hot": 160, "small": 1.2, "flat": 6}
BELOW = ("large", "small", "flat")


async def started(seed, daemons=21, asked=ASKED):
    fleet = QuotaFleet(seed, daemons)
    fleet.configure(**LIMITS)
    await fleet.run(10.0, 0)
    fleet.traffic = {name: Traffic(rate) for name, rate in asked.items()}
    return fleet


def refused_share(fleet, names=BELOW):
    """Return the share of the requests of some workspaces that were refused."""
    refused = sum(len(fleet.traffic[name].refused) for name in names)
    taken = sum(len(fleet.traffic[name].taken) for name in names)
    return refused / (refused + taken)


def excess(fleet, since=0.0):
    """Return how far the bound was exceeded at most; below 0 if it never was."""
    worst = {
        name: most_in_window([at for at in one.taken if at >= since])
        - bound(*LIMITS[name])
        for name, one in fleet.traffic.items()
    }
    return max(worst.values())


async def finish(fleet, record, share):
    shares = {name: round(refused_share(fleet, [name]), 4) for name in fleet.traffic}
    print(f"{record}: excess {excess(fleet):.1f}, refused {shares}")
    assert excess(fleet) <= 0
    assert refused_share(fleet) <= share
    await fleet.stop()


@pytest.mark.parametrize("seed", SEEDS)
class TestQuotaModel:
    async def test_a_calm_fleet_uses_what_it_has(self, seed):
        fleet = await started(seed)
        await fleet.run(15.0, 0)
        assert len(fleet.traffic["hot"].taken) >= 0.9 * 40 * 15
        await finish(fleet, "calm", 0.005)

    async def test_all_callers_come_to_one_domain(self, seed):
        fleet = await started(seed)
        for one in fleet.traffic.values():
            one.domains = ("a",)
        await fleet.run(15.0, 0)
        await finish(fleet, "one domain", 0.01)

    async def test_a_cut_domain_uses_its_part_only(self, seed):
        fleet = await started(seed)
        await fleet.run(3.0, 0)
        fleet.cut_domain = "b"
        await fleet.run(8.0, 0)
        fleet.cut_domain = ""
        await fleet.run(6.0, 0)
        await finish(fleet, "cut domain", 0.05)

    async def test_owners_that_are_cut_off_alone(self, seed):
        fleet = await started(seed)
        await fleet.run(3.0, 0)
        fleet.cut_daemons = {fleet.first_owner("hot", one) for one in DOMAINS}
        await fleet.run(6.0, 0)
        fleet.cut_daemons = set()
        await fleet.run(6.0, 0)
        await finish(fleet, "cut owners", 0.1)

    async def test_a_flood_comes_to_owners_that_are_cut_off_alone(self, seed):
        fleet = await started(seed, 63, {"hot": 160})
        await fleet.run(5.0, 0)
        fleet.cut_daemons = {fleet.first_owner("hot", one) for one in DOMAINS}
        for name in fleet.cut_daemons:
            fleet.flood[name] = ("hot", 100)
        await fleet.run(8.0, 0)
        print(f"flood: excess {excess(fleet):.1f}")
        assert excess(fleet) <= 0
        await fleet.stop()

    async def test_owners_die_and_come_back(self, seed):
        fleet = await started(seed)
        await fleet.run(3.0, 0)
        names = {fleet.first_owner(one, domain) for one in LIMITS for domain in "ab"}
        for name in names:
            await fleet.kill(name)
        await fleet.run(4.0, 0)
        for name in names:
            fleet.restart(name)
        await fleet.run(8.0, 0)
        await finish(fleet, "dead owners", 0.1)

    async def test_all_daemons_die_at_once(self, seed):
        fleet = await started(seed)
        await fleet.run(4.0, 0)
        for name in list(fleet.daemons):
            await fleet.kill(name)
            fleet.restart(name)
        await fleet.run(8.0, 0)
        await finish(fleet, "all dead", 0.1)

    async def test_owners_freeze_and_wake(self, seed):
        fleet = await started(seed)
        await fleet.run(3.0, 0)
        frozen = [fleet.daemons[fleet.first_owner("hot", one)] for one in DOMAINS]
        for daemon in frozen:
            daemon.frozen = True
        await fleet.run(4.0, 0)
        for daemon in frozen:
            daemon.frozen = False
        await fleet.run(6.0, 0)
        await finish(fleet, "frozen owners", 0.1)

    async def test_daemons_are_added_and_all_are_replaced_in_turn(self, seed):
        fleet = await started(seed)
        for number in range(21, 30):
            fleet.start_daemon(f"d-{number}", DOMAINS[number % 3], 0)
            await fleet.run(0.3, 0)
        for name in list(fleet.daemons):
            await fleet.kill(name)
            await fleet.run(0.2, 0)
            fleet.restart(name)
        await finish(fleet, "replaced", 0.1)

    async def test_a_lower_limit_binds_a_window_later(self, seed):
        fleet = await started(seed)
        await fleet.run(6.0, 0)
        fleet.configure(**{**LIMITS, "hot": (8, 4)})
        changed_at = fleet.clock.monotonic()
        await fleet.run(10.0, 0)
        times = [one for one in fleet.traffic["hot"].taken if one >= changed_at]
        assert most_in_window(times) <= bound(8, 4)
        await finish(fleet, "lower limit", 0.01)

    async def test_calls_are_few_while_requests_are_many(self, seed):
        fleet = await started(seed, 9, {"large": 200})
        fleet.configure(large=(300, 60))
        for daemon in fleet.daemons.values():
            daemon.calls = 0
        await fleet.run(10.0, 0)
        calls = sum(one.calls for one in fleet.daemons.values())
        requests = len(fleet.traffic["large"].taken)
        print(f"calls: {calls} for {requests} requests")
        assert not fleet.traffic["large"].refused
        assert calls <= 0.4 * requests
        await fleet.stop()
