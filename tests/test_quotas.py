"""The decisions about quotas, one by one, and three daemons that share one."""

import asyncio
import json

import pytest

from eelgrasslock.quotas.contact_watch import ContactWatch
from eelgrasslock.quotas.lease_bucket import LeaseBucket
from eelgrasslock.quotas.quota_share import (
    QuotaBounds,
    QuotaShare,
    heard_factor,
    quota_share,
)
from eelgrasslock.quotas.workspace_demand import ArrivalRate, HeldTokens
from platform_fleet import LOOKUPS, POSTS, PlatformFleet, wait_until
from test_stranded_daemons import StrandedFleet
from test_workspaces import KEY, OTHER_KEY, with_tenants

BOUNDS = QuotaBounds(window_seconds=5.0, overage=0.1, slack=20.0)
RATE = 9
TENANTS = [
    {"name": "one", "apiKeys": [KEY], "ratePerS": RATE, "burst": 6},
    {"name": "two", "apiKeys": [OTHER_KEY]},
]


class TestShares:
    @pytest.mark.parametrize("daemons", [1, 2, 3, 7, 21, 107])
    def test_two_sides_of_a_cut_have_no_more_than_the_whole(self, daemons):
        for heard in range(daemons + 1):
            both = heard_factor(heard, daemons) + heard_factor(daemons - heard, daemons)
            assert both <= 1.0 + 1e-9

    def test_a_few_silent_daemons_do_not_matter(self):
        assert heard_factor(17, 21) == 1.0
        assert heard_factor(1, 21) == 0.0

    def test_all_domains_and_late_use_stay_within_the_bound(self):
        for rate, burst in [(1, 0), (2, 4), (60, 60), (1_000, 5)]:
            share = quota_share(rate, burst, 3, 1.0, BOUNDS)
            late = BOUNDS.window_seconds + BOUNDS.lease_seconds
            most = 3 * (share.per_second * late + share.capacity)
            assert most <= 1.1 * (rate * 5.0 + burst) + 20.0

    def test_without_overage_the_rate_makes_up_for_late_use(self):
        bounds = QuotaBounds(window_seconds=5.0, overage=0.0, slack=0.0)
        share = quota_share(100, 0, 1, 1.0, bounds)
        assert share.per_second * (5.0 + bounds.lease_seconds) <= 500.0 + 1e-9

    def test_an_owner_that_hears_of_nobody_has_nothing(self):
        assert quota_share(60, 60, 3, 0.0, BOUNDS).capacity == 0


class TestBuckets:
    def bucket(self, since=0.0, **more):
        return LeaseBucket(
            QuotaShare(per_second=10.0, capacity=8.0, **more), since, 100.0
        )

    def test_a_new_owner_begins_empty_and_a_lasting_one_full(self):
        assert self.bucket(since=100.0).lease(3, 0, 100.0).count == 0
        assert self.bucket().lease(9, 0, 100.0).count == 8

    def test_a_new_owner_has_its_part_of_the_slack(self):
        bucket = self.bucket(since=100.0, first_tokens=2.0)
        assert bucket.lease(3, 0, 100.0).count == 2

    def test_extra_tokens_come_from_half_of_the_rest(self):
        assert self.bucket().lease(2, 9, 100.0).count == 2 + 3
        assert self.bucket().lease(9, 9, 100.0).count == 8

    def test_those_who_come_in_vain_are_told_later_times(self):
        bucket = self.bucket(since=100.0)
        waits = [bucket.lease(1, 0, 100.0).wait_seconds for _ in range(6)]
        assert waits[:3] == pytest.approx([0.1, 0.2, 0.3])
        assert max(waits) == pytest.approx(0.4)

    def test_a_lower_limit_clips_what_is_left(self):
        bucket = self.bucket()
        bucket.lease(1, 0, 100.0)
        bucket.set_share(QuotaShare(per_second=1.0, capacity=2.0), 100.0)
        assert bucket.lease(9, 0, 100.0).count == 2


class TestHeldTokens:
    def test_tokens_expire(self):
        held = HeldTokens()
        held.add(2, 5.0)
        assert held.take(4.0) == 5.0
        assert held.take(5.0) is None

    def test_a_token_that_is_given_back_is_used_first(self):
        held = HeldTokens()
        held.add(1, 6.0)
        held.give_back(5.0)
        assert [held.take(4.0), held.take(4.0)] == [5.0, 6.0]

    def test_arrivals_of_late_are_counted(self):
        rate = ArrivalRate(0.5)
        for at in (10.0, 10.1, 10.2, 10.6):
            rate.record(at)
        assert (rate.recent(10.7), rate.recent(11.1), rate.recent(12.0)) == (3, 1, 0)


class TestContact:
    def test_a_daemon_that_finds_nobody_is_alone_soon(self):
        watch = ContactWatch()
        watch.record(10.0)
        assert not watch.is_doubtful(10.2)
        assert watch.is_doubtful(10.4)
        assert not watch.is_lost(10.5)
        assert watch.is_lost(10.7)
        watch.record(10.8)
        assert not watch.is_lost(10.9)

    def test_a_pause_without_grants_is_no_loss(self):
        watch = ContactWatch()
        watch.record(10.0)
        assert watch.is_doubtful(90.0)
        assert not watch.is_lost(90.0)


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


class TestThreeDaemons:
    async def start(self, fleet, **limits):
        stranded = await StrandedFleet(fleet).start()
        document = with_tenants(version=2, tenants=TENANTS, **limits)
        fleet.configure_raw(json.dumps(document).encode())
        for daemon in stranded.daemons:
            routing = daemon.application.routing
            await wait_until(lambda routing=routing: routing.current.version == 2)
        await asyncio.sleep(0.7)
        return stranded

    async def ask(self, fleet, daemons, count, key=KEY, path=LOOKUPS):
        method = "POST" if path == POSTS else "GET"
        calls = [
            fleet.call(
                daemons[number % len(daemons)],
                f"{path}x",
                method,
                Authorization=f"Token {key}",
            )
            for number in range(count)
        ]
        return [(status, head) for status, head, _ in await asyncio.gather(*calls)]

    async def test_together_they_serve_the_quota_and_no_more(self, fleet):
        stranded = await self.start(fleet)
        answers = await self.ask(fleet, stranded.daemons, 60)
        served = sum(status == 200 for status, _ in answers)
        assert 4 <= served <= 6 + 1.1 * RATE
        refusals = [head for status, head in answers if status == 429]
        assert len(refusals) == 60 - served
        # The daemons of a test draw the same jitter.
        one = [head for status, head in answers[::3] if status == 429]
        times = {dict(head.headers)["Retry-After"] for head in one}
        assert len(times) > len(one) / 2
        runs = sum(len(desk.runs) for desk in stranded.desks)
        assert runs == served

    async def test_one_daemon_gets_the_tokens_of_all_domains(self, fleet):
        stranded = await self.start(fleet)
        answers = await self.ask(fleet, stranded.daemons[:1], 5)
        assert [status for status, _ in answers] == [200] * 5
        metrics = stranded.daemons[0].application.metrics.text().decode()
        assert 'eelgrasslock_quota_tokens_total{action="leased"}' in metrics

    async def test_a_workspace_without_a_limit_is_not_held(self, fleet):
        stranded = await self.start(fleet)
        answers = await self.ask(fleet, stranded.daemons, 60, OTHER_KEY)
        assert {status for status, _ in answers} == {200}

    async def test_the_token_of_a_request_that_did_not_run_is_given_back(self, fleet):
        stranded = await self.start(fleet)
        daemon = stranded.daemons[0]
        controller = daemon.application.shared.quotas
        given_back = []
        controller.give_back = given_back.append
        for desk in stranded.desks:
            fleet.unregister(desk)
        registry = daemon.application.endpoint_registry
        await wait_until(lambda: len(registry.entries) == 4)
        status, _, _ = await fleet.call(
            daemon, f"{LOOKUPS}x", Deadline_Ms="300", Authorization=f"Token {KEY}"
        )
        assert status == 503
        assert [one.workspace for one in given_back] == ["one"]
