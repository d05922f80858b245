"""Retirement of members that fail, and how members learn of their own."""

import asyncio
import contextlib

import capnp
import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.peers import retirement
from fake_log import FakeLog
from member_fleet import (
    WAIT_SECONDS,
    Daemon,
    block_connections,
    challenges,
    fleet,
    retired_names,
    retirements,
    shorten_intervals,
    until,
)
from peer_helpers import TCPProxy


@pytest.fixture
def log():
    return FakeLog(SystemClock())


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    shorten_intervals(monkeypatch)


class TestRetirement:
    async def test_dead_member_is_retired_and_its_programs_get_a_new_owner(self, log):
        async with fleet("a1", "a2", "a3", log=log) as daemons:
            dead = daemons["a1"].incarnation
            program = f"a~{dead}~0"
            await daemons["a1"].stop()
            rest = [daemons["a2"], daemons["a3"]]
            await until(lambda: all(one.table.is_retired(dead) for one in rest))
            first, second = (one.membership.owner(program) for one in rest)
            assert first == second
            assert first.name in ("a2", "a3")

    async def test_remaining_member_of_a_pair_retires_the_other(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            dead = daemons["a1"].incarnation
            await daemons["a1"].stop()
            await until(lambda: daemons["a2"].table.is_retired(dead))

    async def test_member_that_leaves_is_retired_by_its_own_record(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            await daemons["a1"].membership.leave()
            await until(lambda: daemons["a2"].live_names() == {"a2"})
            assert retirements(log) == ["left"]
            assert daemons["a1"].live_names() == {"a2"}

    async def test_programs_of_a_lost_domain_move_to_another_domain(
        self, log, monkeypatch
    ):
        monkeypatch.setattr(retirement, "_OTHER_DOMAIN_GRACE_FACTOR", 1.0)
        monkeypatch.setattr(retirement, "_UNCONFIRMED_GRACE_FACTOR", 1.0)
        monkeypatch.setattr(retirement, "_CHALLENGE_SECONDS", 1.0)
        async with fleet("a1", "a2", "a3", "b1", "b2", log=log) as daemons:
            gone = [daemons[name] for name in ("a1", "a2", "a3")]
            for daemon in gone:
                await daemon.stop()
            await until(lambda: daemons["b1"].live_names() == {"b1", "b2"})
            owner = daemons["b1"].membership.owner(f"a~{gone[0].incarnation}~0")
            assert owner.domain == "b"

    async def test_cut_off_domain_that_reaches_the_log_is_not_retired(
        self, log, monkeypatch
    ):
        monkeypatch.setattr(retirement, "_OTHER_DOMAIN_GRACE_FACTOR", 1.0)
        monkeypatch.setattr(retirement, "_UNCONFIRMED_GRACE_FACTOR", 1.0)
        monkeypatch.setattr(retirement, "_CHALLENGE_SECONDS", 1.0)
        async with fleet("a1", "a2", "b1", "b2", log=log) as daemons:
            addresses = {
                domain: {daemons[name].peers.address for name in names}
                for domain, names in (("a", ("a1", "a2")), ("b", ("b1", "b2")))
            }
            for name, daemon in daemons.items():
                other = "b" if name[0] == "a" else "a"
                block_connections(daemon, addresses[other].__contains__)
            await until(lambda: len(challenges(log)) >= 3)
            assert retirements(log) == []

    @pytest.mark.parametrize("cut", ["one_way", "old_connections"])
    async def test_member_that_others_reach_is_not_retired(self, log, cut):
        async with capnp.kj_loop(), contextlib.AsyncExitStack() as stack:
            daemons = [Daemon(name, "a", log) for name in ("a1", "a2", "a3")]
            for daemon in daemons:
                await daemon.peers.start()
            proxy = await TCPProxy(daemons[0].peers.address).start()
            stack.push_async_callback(proxy.stop)
            first, second, third = daemons
            connect = second.peers._connect

            async def through_proxy(address, expected):
                if address == first.peers.address:
                    address = proxy.address
                return await connect(address, expected)

            second.peers._connect = through_proxy
            for daemon in daemons:
                await daemon.writer.start()
                await daemon.tail.start()
                await daemon.membership.start()
                stack.push_async_callback(daemon.stop)
            await until(lambda: first.incarnation in second.peers._connections)
            health = second.membership.monitor.detector.peers
            proxy.freeze_new = cut == "one_way"
            proxy.freeze()
            if cut == "one_way":
                await until(lambda: health["a/a1"].misses > 3)
                assert second.membership.suspects() == {first.incarnation}
            else:
                await until(lambda: proxy.accepted > 1)
                assert second.membership.suspects() == set()
            assert retirements(log) == []
            assert third.membership.suspects() == set()

    async def test_member_cut_off_from_all_others_is_retired(self, log):
        async with fleet("a1", "a2", "a3", log=log) as daemons:
            isolated, *others = daemons.values()
            cut = isolated.peers.address
            for daemon in daemons.values():
                block_connections(
                    daemon,
                    lambda address, own=daemon: cut in (address, own.peers.address),
                )
            await until(lambda: retirements(log))
            await until(lambda: isolated.membership.retired)
            await until(lambda: all(one.live_names() == {"a2", "a3"} for one in others))
            assert set(retired_names(log, daemons)) == {"a1"}

    async def test_member_that_a_third_reaches_is_not_retired(self, log):
        async with fleet("a1", "a2", "a3", log=log) as daemons:
            first, second, third = daemons.values()
            pair = {first.peers.address, second.peers.address}
            for daemon in (first, second):
                block_connections(daemon, pair.__contains__)
            health = second.membership.monitor.detector.peers
            await until(lambda: "a/a1" in health and health["a/a1"].misses > 8)
            assert retirements(log) == []
            assert third.membership.suspects() == set()
            assert second.membership.suspects() == {first.incarnation}


class TestOwnRetirement:
    async def test_retired_member_owns_nothing_and_calls_back(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            called = asyncio.Event()
            one, other = daemons["a1"].membership, daemons["a2"].membership
            one.on_retired(called.set)
            member = other.table.find(one.incarnation)
            await other.retirement.retire([member], "silent")
            await asyncio.wait_for(called.wait(), WAIT_SECONDS)
            assert one.owner(f"a~{one.incarnation}~0").name == "a2"
            await daemons["a1"].stop()
            again = await Daemon("a1", "a", log, daemons["a1"].peers.address).start()
            await until(lambda: daemons["a2"].table.find(again.incarnation))
            assert daemons["a2"].live_names() == {"a1", "a2"}
            assert daemons["a2"].table.is_retired(member.incarnation)
            assert retirements(log) == ["silent"]
            await again.stop()

    @pytest.mark.parametrize("how", ["down", "hangs"])
    async def test_learns_of_it_from_a_peer_without_the_log(self, log, how):
        async with fleet("a1", "a2", "a3", log=log) as daemons:
            old = daemons["a1"].incarnation
            daemons["a1"].log.own.down = how == "down"
            if how == "hangs":
                daemons["a1"].log.reachable.clear()
            member = daemons["a2"].table.find(old)
            await daemons["a2"].membership.retirement.retire([member], "silent")
            await until(lambda: daemons["a1"].membership.retired)
            assert how == "hangs" or daemons["a1"].log.own.down

    @pytest.mark.parametrize("others", [[], ["a2"]])
    async def test_restart_at_the_same_address_replaces_at_once(self, log, others):
        async with fleet("a1", *others, log=log) as daemons:
            old = daemons["a1"].incarnation
            address = daemons["a1"].peers.address
            await daemons["a1"].stop()
            again = await Daemon("a1", "a", log, address).start()
            await until(lambda: again.table.is_retired(old))
            await until(lambda: again.table.find(again.incarnation))
            assert set(retirements(log)) == {"replaced"}
            await again.stop()
