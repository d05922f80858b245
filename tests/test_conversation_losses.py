"""Turns are known after daemons, connections and the log are lost."""

import asyncio

import pytest

from conversation_fleet import (
    TALKS,
    ConversationFleet,
    forget,
    refuse,
    talk_route,
)
from eelgrasslock.conversations import (
    history_finder,
)
from eelgrasslock_standins.platform_engine import Fault
from platform_fleet import PlatformFleet, wait_until


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield ConversationFleet(one)


class TestLoss:
    async def test_the_daemon_that_served_it_is_gone(self, fleet):
        await fleet.start()
        said = await fleet.say_all([b"a", b"b", b"c", b"d"])
        await fleet.kill(fleet.daemons[0])
        await fleet.say_all([b"e"], said)

    async def test_all_daemons_are_gone(self, fleet):
        await fleet.start()
        said = await fleet.say_all([b"a", b"b", b"c"])
        for daemon in list(fleet.daemons):
            await fleet.kill(daemon)
        await fleet.add_daemon()
        await fleet.say_all([b"d", b"e"], said)

    async def test_what_is_in_memory_is_only_a_cache(self, fleet):
        await fleet.start()
        said = await fleet.say_all([b"a", b"b", b"c"])
        for number in range(3):
            forget(fleet)
            said = await fleet.say(fleet.daemons[number], b"d", said)
            assert said.is_whole

    async def test_a_turn_is_in_the_log_before_its_end(self, fleet):
        await fleet.start(event_seconds=0.01)
        daemon = fleet.daemons[0]
        daemon.faults.slow_seconds = 0.3
        task = asyncio.ensure_future(fleet.say(daemon, b"a"))
        engine_runs = lambda: [run for one in fleet.engines for run in one.runs]
        await wait_until(lambda: any(run.finished for run in engine_runs()))
        await asyncio.sleep(0.1)
        assert not task.done()
        said = await task
        assert said.is_whole

    async def test_events_do_not_wait_for_the_log(self, fleet):
        await fleet.start(event_seconds=0.01)
        refuse(fleet, "silent")
        request = fleet.fleet.request(f"{TALKS}x", "POST", b"a")
        connection = await fleet.fleet.connect(fleet.daemons[0])
        await connection.send(request)
        received = b""
        async with asyncio.timeout(0.3):
            while received.count(b"\n\n") < 3:
                received += await connection.read()
        connection.close()


class TestOutages:
    async def test_a_turn_ends_once_the_log_is_back(self, fleet):
        await fleet.start()
        refuse(fleet, "busy")
        task = asyncio.ensure_future(fleet.say(fleet.daemons[0], b"a"))
        await asyncio.sleep(0.5)
        assert not task.done()
        refuse(fleet, "")
        said = await task
        assert said.is_whole
        await fleet.say_all([b"b"], said)

    async def test_a_turn_that_is_not_stored_has_no_end(self, fleet):
        await fleet.start()
        refuse(fleet, "reset")
        said = await fleet.say(fleet.daemons[0], b"a", Deadline_Ms=600)
        assert said.status == 200
        assert not said.is_whole

    async def test_turns_are_refused_while_they_could_not_end(self, fleet):
        await fleet.start()
        refuse(fleet, "silent")
        await fleet.say(fleet.daemons[0], b"a", Deadline_Ms=1_200)
        for _ in range(4):
            refused = await fleet.say(fleet.daemons[0], b"b")
            assert refused.status == 503
            assert refused.id not in fleet.bodies()
            await asyncio.sleep(0.2)

    async def test_turns_are_served_soon_after_an_outage(self, fleet):
        await fleet.start()
        refuse(fleet, "silent")
        await fleet.say(fleet.daemons[0], b"a", Deadline_Ms=1_200)
        assert (await fleet.say(fleet.daemons[0], b"a")).status == 503
        refuse(fleet, "")
        await asyncio.sleep(1.2)
        said = await fleet.say(fleet.daemons[0], b"b")
        assert said.is_whole
        assert (await fleet.say(fleet.daemons[0], b"c", said)).is_whole

    @pytest.mark.parametrize("how", ["busy", "many", "reset", "silent"])
    async def test_a_daemon_without_the_log_stores_through_a_peer(self, fleet, how):
        await fleet.start()
        said = await fleet.say(fleet.daemons[0], b"a")
        fleet.daemons[1].faults.refusing = how
        said = await fleet.say(fleet.daemons[1], b"b", said)
        assert said.is_whole
        forget(fleet)
        await fleet.say_all([b"c"], said)

    @pytest.mark.parametrize("fault", ["lose_answers", "late_answers"])
    async def test_answers_of_the_log_are_lost(self, fleet, fault):
        await fleet.start()
        said = await fleet.say(fleet.daemons[0], b"a")
        for daemon in fleet.daemons:
            setattr(daemon.faults, fault, 2)
        said = await fleet.say(fleet.daemons[1], b"b", said)
        assert said.is_whole
        for daemon in fleet.daemons:
            setattr(daemon.faults, fault, 0)
        await asyncio.sleep(0.3)
        forget(fleet)
        await fleet.say_all([b"c", b"d"], said)


class TestUnknownTurns:
    async def test_a_turn_that_never_was_is_not_found(self, fleet):
        await fleet.start()
        never = await fleet.say(fleet.daemons[0], b"a")
        never.id = "never"
        said = await fleet.say(fleet.daemons[1], b"b", never)
        assert said.status == 404
        assert said.id not in fleet.bodies()

    async def test_unknown_is_not_absent(self, fleet):
        await fleet.start()
        said = await fleet.say(fleet.daemons[0], b"a")
        forget(fleet)
        refuse(fleet, "busy")
        later = await fleet.say(fleet.daemons[1], b"b", said)
        assert later.status == 503
        assert later.id not in fleet.bodies()
        refuse(fleet, "")
        await asyncio.sleep(0.8)
        await fleet.say_all([b"c"], said)

    async def test_a_turn_that_broke_off_is_none(self, fleet):
        await fleet.start(engines=1)
        fleet.engines[0].faults.append(Fault.TRUNCATED)
        broken = await fleet.say(fleet.daemons[0], b"a")
        assert not broken.is_whole
        assert (await fleet.say(fleet.daemons[1], b"b", broken)).status == 404

    async def test_a_turn_that_failed_is_none(self, fleet):
        await fleet.start(engines=1)
        fleet.engines[0].faults.append(Fault.ERROR)
        failed = await fleet.say(fleet.daemons[0], b"a")
        assert failed.status == 500
        assert (await fleet.say(fleet.daemons[1], b"b", failed)).status == 404

    async def test_a_turn_is_kept_for_its_retention(self, fleet, monkeypatch):
        margin = "RETENTION_MARGIN_SECONDS"
        monkeypatch.setattr(history_finder, margin, 0.0)
        await fleet.start(routes=[talk_route(retentionS=1.0)])
        said = await fleet.say(fleet.daemons[0], b"a")
        later = await fleet.say(fleet.daemons[1], b"b", said)
        await asyncio.sleep(1.05)
        assert (await fleet.say(fleet.daemons[2], b"c", said)).status == 404
        later = await fleet.say(fleet.daemons[2], b"c", later)
        assert later.is_whole or later.status == 404

    async def test_a_bad_id_is_refused(self, fleet):
        await fleet.start(daemons=1)
        said = await fleet.say(fleet.daemons[0], b"a", Previous_Turn="x" * 300)
        assert said.status == 400

    async def test_a_conversation_over_the_limit_is_refused(self, fleet):
        await fleet.start()
        said = await fleet.say_all([b"a" * 1_400_000, b"b" * 1_400_000])
        later = await fleet.say(fleet.daemons[2], b"c" * 1_400_000, said)
        assert later.status == 413
        assert later.id not in fleet.bodies()
        await fleet.say_all([b"d"], said)
