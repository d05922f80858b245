"""Requests that end the engines that run them, at several daemons."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from conversation_fleet import ConversationFleet
from crashing_requests import (
    BODILESS,
    HEARTBEAT_SECONDS,
    POISON,
    TURN_HEADERS,
    TURN_PATH,
    CrashingFleet,
)
from eelgrasslock_standins.platform_engine import PlatformEngineStandin
from link_faults import Cut
from platform_fleet import LOOKUPS, POSTS, wait_until
from test_stranded_daemons import StrandedFleet

CALM_SECONDS = 8.0
REPLACED_SECONDS = 16.0
SILENT_SECONDS = 0.5
CALLS = 6
PROBE_SECONDS = 1.1


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
        await fleet.start(count=1)
        bystander = await fleet.endpoint(service="models", events=1)
        let_crash(fleet, body=POISON)
        beside = [
            asyncio.create_task(fleet.stop_beside_crashes(bystander)),
            asyncio.create_task(fleet.use_turns()),
        ]
        await fleet.send_for(CALM_SECONDS, f"{LOOKUPS}x", "POST", POISON)
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        fleet.check()

    async def test_copies_sent_at_once_count(self, fleet):
        """Each pair ended two endpoints at once, as a broken network does."""
        await fleet.start(count=1)
        let_crash(fleet, body=POISON)
        pairs = [
            fleet.send_for(CALM_SECONDS, f"{LOOKUPS}x", "POST", POISON)
            for _ in range(2)
        ]
        await asyncio.gather(*pairs)
        fleet.check()

    async def test_an_endpoint_that_restarts_at_once_has_crashed(self, fleet):
        """It takes connections again before the lost one is looked into."""
        fleet.return_seconds = 0.0
        await fleet.start(count=1)
        let_crash(fleet, body=POISON)
        await fleet.send_for(CALM_SECONDS, f"{LOOKUPS}x", "POST", POISON)
        fleet.check()


class TestCutOff:
    async def test_a_daemon_without_peers_and_log_remembers(self, fleet):
        await fleet.start()
        alone = fleet.daemons[0]
        alone.faults.refusing = "silent"
        await alone.application.mesh.stop()
        fleet.daemons = [alone]
        let_crash(fleet, body=POISON)
        await fleet.send_for(CALM_SECONDS, f"{LOOKUPS}x", "POST", POISON)
        fleet.check()


class TestUnseenEnds:
    """Ends that no connection shows to the request that caused them."""

    async def send_lookups(self, fleet, **headers):
        let_crash(fleet, body=POISON)
        path = f"{LOOKUPS}x"
        await fleet.send_for(CALM_SECONDS, path, "POST", POISON, **headers)
        fleet.check()

    async def test_a_deadline_just_after_a_crash_does_not_hide_it(self, fleet):
        """The request timed out while its lost connection was looked into."""
        await fleet.start(crash_seconds=0.1)
        await self.send_lookups(fleet, Deadline_Ms=130)

    async def test_a_silent_endpoint_that_is_removed_has_crashed(self, fleet):
        fleet.removal_seconds = SILENT_SECONDS
        await fleet.start(crashes_silently=True)
        await self.send_lookups(fleet)

    async def test_a_silent_endpoint_that_starts_again_has_crashed(self, fleet):
        await fleet.start(crashes_silently=True)
        await self.send_lookups(fleet)

    async def test_callers_that_leave_hide_no_silent_crash(self, fleet):
        fleet.removal_seconds = SILENT_SECONDS
        await fleet.start(crashes_silently=True)
        await self.send_lookups(fleet, Deadline_Ms=300)


class TestEndpointsThatGoOn:
    """Requests that no end of an endpoint can be put down to."""

    @pytest.fixture
    async def quarantine(self, fleet):
        await fleet.start(count=1, work_seconds=0.7)
        return fleet.daemons[0].application.scheduler.quarantine

    async def run_all_while(self, fleet, change):
        calls = [fleet.send_to_next(f"{LOOKUPS}{one}") for one in range(CALLS)]
        calls = [asyncio.create_task(one) for one in calls]
        await wait_until(lambda: sum(len(one.runs) for one in fleet.engines) == CALLS)
        for engine in fleet.engines[1:]:
            change(engine)
        await asyncio.gather(*calls)

    async def end_one(self, fleet):
        """Return a call, and the endpoint that it ended without a sign."""
        for engine in fleet.engines:
            engine.crashes_silently = True
        fleet.return_seconds = 60.0
        let_crash(fleet, target=BODILESS)
        call = asyncio.create_task(fleet.send_to_next(BODILESS))
        await wait_until(fleet.has_ends)
        (ended,) = [one for one in fleet.engines if one.crashed_at]
        return call, ended

    async def test_one_that_is_removed_and_goes_on_has_not_crashed(
        self, fleet, quarantine
    ):
        await self.run_all_while(fleet, fleet.unregister)
        assert fleet.statuses == [200] * CALLS
        assert not quarantine.suspects()

    @pytest.mark.parametrize("service", ["nowhere", "desk"])
    async def test_one_whose_address_another_entry_names_has_not_crashed(
        self, fleet, quarantine, service
    ):
        """The requests that it ran were taken for the cause of its end."""
        calls = [fleet.send_to_next(f"{LOOKUPS}{one}") for one in range(CALLS)]
        calls = [asyncio.create_task(one) for one in calls]
        await wait_until(lambda: sum(len(one.runs) for one in fleet.engines) == CALLS)
        for engine in fleet.engines:
            other = SimpleNamespace(id=f"x-{engine.id}", address=engine.address)
            fleet.register(other, service, born=round(time.time() * 1_000))
        entries = fleet.daemons[0].application.endpoint_registry.entries
        await wait_until(lambda: len(entries) == 2 * len(fleet.engines))
        await asyncio.sleep(0.1)
        assert not quarantine.suspects()
        await asyncio.gather(*calls)
        assert fleet.statuses == [200] * CALLS
        await asyncio.sleep(PROBE_SECONDS)
        assert not quarantine.suspects()

    async def test_a_removed_one_whose_address_another_one_has_has_crashed(
        self, fleet, quarantine
    ):
        """The new one answered the check, and passed for the former."""
        call, ended = await self.end_one(fleet)
        new = PlatformEngineStandin(id="i-new", address=ended.address)
        await new.start()
        fleet.unregister(ended)
        await wait_until(quarantine.suspects)
        await call
        await new.stop()

    async def test_one_whose_address_a_new_one_has_has_crashed(self, fleet, quarantine):
        """It is found at once, before the registration of the former goes."""
        call, ended = await self.end_one(fleet)
        new = SimpleNamespace(id="i-new", address=ended.address)
        fleet.register(new, born=round(time.time() * 1_000))
        await wait_until(quarantine.suspects)
        await call


class TestStrandedDaemon:
    async def test_what_peers_run_for_it_is_quarantined(self, fleet):
        """Its peers see the crashes, of the request as its caller sent it."""
        stranded = await StrandedFleet(fleet).start()
        daemon = stranded.daemons[0]
        await stranded.strand(daemon, cut=Cut.REFUSE)
        for desk in stranded.desks:
            desk.crashes_on = POISON
        statuses = []
        for _ in range(6):
            statuses.append((await fleet.call(daemon, f"{POSTS}x", "POST", POISON))[0])
            await asyncio.sleep(HEARTBEAT_SECONDS)
        assert sum(len(desk.crashed_at) for desk in stranded.desks) <= 3, statuses
        assert statuses[-1] == 503


class TestConversations:
    async def test_an_input_is_recognised_after_another_turn(self, fleet):
        """Its whole chain, which the engine gets, differs each time."""
        talks = ConversationFleet(fleet)
        await talks.start(daemons=1)
        (daemon,) = talks.daemons
        dispatcher = daemon.application.dispatcher
        acquire, digests = dispatcher.acquire, []

        async def record(call):
            digests.append(call.digest)
            return await acquire(call)

        dispatcher.acquire = record
        for first in (b"a", b"b"):
            said = await talks.say(daemon, first, Program_Id="p")
            await talks.say(daemon, POISON, said, Program_Id="p")
        assert len(set(digests)) == 3
        assert digests[1] == digests[3]


class TestUnreadableTopic:
    async def test_a_daemon_does_not_wait_for_the_records_for_ever(
        self, fleet, monkeypatch
    ):
        monkeypatch.setattr(
            "eelgrasslock.registry.log_followers.MAX_CRASH_WAIT_SECONDS", 0.4
        )
        fleet.store.newest["keyed.crashes"] = None
        endpoint = await fleet.endpoint()
        daemon = await fleet.ready_daemon([endpoint])
        assert not daemon.application.is_ready()
        await wait_until(daemon.application.is_ready)
