import asyncio
import contextlib
import random

import capnp
import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.record_codec import readable_records
from eelgrasslock.log.records import (
    MEMBERS_STREAM,
    DomainChallenged,
    MemberRetired,
    new_id,
)
from eelgrasslock.peers import membership as membership_module
from eelgrasslock.peers import peer_loads, retirement
from eelgrasslock.peers.links import PeerLinks
from eelgrasslock.peers.membership import Membership
from eelgrasslock.peers.peer_link import LinkLost
from eelgrasslock.scheduling.calls import PeerLoad
from fake_link import Relay, daemon_settings
from fake_log import FakeLog

WAIT_SECONDS = 30.0


class Daemon:
    """The parts of a daemon that keep its membership."""

    def __init__(self, name, domain, log, address="127.0.0.1:0", seeds=()):
        clock, rng = SystemClock(), random.Random(name)
        settings = daemon_settings(name, domain, address, seeds=list(seeds))
        incarnation = f"{name}-{new_id()[:8]}"
        self.log = log
        self.writer = LogWriter(log, clock, rng, appends_per_second=100.0)
        self.tail = LogTail(log, clock, rng, poll_seconds=0.05)
        self.peers = PeerLinks(settings, incarnation, clock, rng)
        self.membership = Membership(
            settings, incarnation, self.writer, self.tail, self.peers, clock, rng
        )
        self.table = self.membership.table

    @property
    def incarnation(self):
        return self.membership.incarnation

    async def start(self):
        await self.peers.start()
        await self.writer.start()
        await self.tail.start()
        await self.membership.start()
        return self

    async def stop(self):
        await self.membership.stop()
        await self.tail.stop()
        await self.writer.stop()
        await self.peers.stop()

    def is_known(self):
        return self.membership.acquaintance.is_made

    def sees(self):
        return {one.name for one in self.table.live()}


class CutLog:
    """One daemon's way to the log, which can be cut."""

    def __init__(self, log):
        self.log = log
        self.own = FakeLog(SystemClock())
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def append(self, stream, data):
        await self.reachable.wait()
        log = self.own if self.own.down else self.log
        return await log.append(stream, data)

    async def read(self, stream, offset, limit):
        await self.reachable.wait()
        log = self.own if self.own.down else self.log
        return await log.read(stream, offset, limit)


async def until(condition, seconds=WAIT_SECONDS):
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def fleet(*names, log=None):
    """Daemons by name; the name's first letter is the domain."""
    log = log or FakeLog(SystemClock())
    async with capnp.kj_loop(), contextlib.AsyncExitStack() as stack:
        daemons = {}
        for name in names:
            daemon = daemons[name] = Daemon(name, name[0], CutLog(log))
            await daemon.start()
            stack.push_async_callback(daemon.stop)
        wanted = set(names)
        await until(lambda: all(one.sees() == wanted for one in daemons.values()))
        # A connection under way would escape being severed.
        await until(lambda: all(one.is_known() for one in daemons.values()))
        yield daemons


def retired_records(log):
    records = [
        record
        for entry in log.streams[MEMBERS_STREAM]
        for record in readable_records(entry.data)
    ]
    return [one for one in records if isinstance(one, MemberRetired)]


def retirements(log):
    return [one.reason for one in retired_records(log)]


def challenges(log):
    return [
        record
        for entry in log.streams[MEMBERS_STREAM]
        for record in readable_records(entry.data)
        if isinstance(record, DomainChallenged)
    ]


def retired_names(log, daemons):
    names = {one.incarnation: name for name, one in daemons.items()}
    return [names[one.incarnation] for one in retired_records(log)]


def sever(daemon, is_cut):
    """Cut a daemon's connections to some addresses, for good."""
    connect = daemon.peers._connect

    async def cut(address, expected):
        if is_cut(address):
            raise LinkLost("cut")
        return await connect(address, expected)

    daemon.peers._connect = cut
    for link in daemon.peers._links.values():
        link.close()


@pytest.fixture
def log():
    return FakeLog(SystemClock())


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(membership_module, "_TICK_SECONDS", 0.1)
    monkeypatch.setattr(membership_module, "_REJOIN_SECONDS", 0.5)


class TestRetirement:
    async def test_dead_member_is_retired_and_its_programs_move(self, log):
        async with fleet("a1", "a2", "a3", log=log) as daemons:
            dead = daemons["a1"].incarnation
            program = f"a~{dead}~0"
            await daemons["a1"].stop()
            rest = [daemons["a2"], daemons["a3"]]
            await until(lambda: all(one.table.is_retired(dead) for one in rest))
            first, second = (one.membership.owner(program) for one in rest)
            assert first == second
            assert first.name in ("a2", "a3")

    async def test_last_of_a_pair_retires_the_other(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            dead = daemons["a1"].incarnation
            await daemons["a1"].stop()
            await until(lambda: daemons["a2"].table.is_retired(dead))

    async def test_member_that_leaves_is_retired_by_its_own_record(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            await daemons["a1"].membership.leave()
            await until(lambda: daemons["a2"].sees() == {"a2"})
            assert retirements(log) == ["left"]
            assert daemons["a1"].sees() == {"a2"}

    async def test_lost_domain_is_adopted_by_another(self, log, monkeypatch):
        monkeypatch.setattr(retirement, "_FOREIGN_PATIENCE", 1.0)
        monkeypatch.setattr(retirement, "_ALONE_PATIENCE", 1.0)
        monkeypatch.setattr(retirement, "_ANSWER_SECONDS", 1.0)
        async with fleet("a1", "a2", "a3", "b1", "b2", log=log) as daemons:
            gone = [daemons[name] for name in ("a1", "a2", "a3")]
            for daemon in gone:
                await daemon.stop()
            await until(lambda: daemons["b1"].sees() == {"b1", "b2"})
            owner = daemons["b1"].membership.owner(f"a~{gone[0].incarnation}~0")
            assert owner.domain == "b"

    async def test_cut_off_domain_that_reaches_the_log_stays(self, log, monkeypatch):
        monkeypatch.setattr(retirement, "_FOREIGN_PATIENCE", 1.0)
        monkeypatch.setattr(retirement, "_ALONE_PATIENCE", 1.0)
        monkeypatch.setattr(retirement, "_ANSWER_SECONDS", 1.0)
        async with fleet("a1", "a2", "b1", "b2", log=log) as daemons:
            addresses = {
                domain: {daemons[name].peers.address for name in names}
                for domain, names in (("a", ("a1", "a2")), ("b", ("b1", "b2")))
            }
            for name, daemon in daemons.items():
                other = "b" if name[0] == "a" else "a"
                sever(daemon, addresses[other].__contains__)
            await until(lambda: len(challenges(log)) >= 3)
            assert retirements(log) == []

    @pytest.mark.parametrize("cut", ["one_way", "old_connections"])
    async def test_member_that_others_reach_stays(self, log, cut):
        async with capnp.kj_loop(), contextlib.AsyncExitStack() as stack:
            daemons = [Daemon(name, "a", log) for name in ("a1", "a2", "a3")]
            for daemon in daemons:
                await daemon.peers.start()
            relay = await Relay(daemons[0].peers.address).start()
            stack.push_async_callback(relay.stop)
            first, second, third = daemons
            connect = second.peers._connect

            async def through_relay(address, expected):
                if address == first.peers.address:
                    address = relay.address
                return await connect(address, expected)

            second.peers._connect = through_relay
            for daemon in daemons:
                await daemon.writer.start()
                await daemon.tail.start()
                await daemon.membership.start()
                stack.push_async_callback(daemon.stop)
            await until(lambda: first.incarnation in second.peers._links)
            health = second.membership.watch.detector.peers
            relay.deaf = cut == "one_way"
            relay.freeze()
            if cut == "one_way":
                await until(lambda: health["a/a1"].misses > 3)
                assert second.membership.suspects() == {first.incarnation}
            else:
                await until(lambda: relay.accepted > 1)
                assert second.membership.suspects() == set()
            assert retirements(log) == []
            assert third.membership.suspects() == set()

    async def test_member_cut_off_from_all_is_the_one_retired(self, log):
        async with fleet("a1", "a2", "a3", log=log) as daemons:
            lonely, *others = daemons.values()
            cut = lonely.peers.address
            for daemon in daemons.values():
                sever(
                    daemon,
                    lambda address, own=daemon: cut in (address, own.peers.address),
                )
            await until(lambda: retirements(log))
            await until(lambda: lonely.membership.retired)
            await until(lambda: all(one.sees() == {"a2", "a3"} for one in others))
            assert set(retired_names(log, daemons)) == {"a1"}

    async def test_member_that_a_third_reaches_stays(self, log):
        async with fleet("a1", "a2", "a3", log=log) as daemons:
            first, second, third = daemons.values()
            pair = {first.peers.address, second.peers.address}
            for daemon in (first, second):
                sever(daemon, pair.__contains__)
            health = second.membership.watch.detector.peers
            await until(lambda: "a/a1" in health and health["a/a1"].misses > 8)
            assert retirements(log) == []
            assert third.membership.suspects() == set()
            assert second.membership.suspects() == {first.incarnation}


class TestOwnRetirement:
    async def test_retired_member_stops_owning_and_is_told(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            told = asyncio.Event()
            one, other = daemons["a1"].membership, daemons["a2"].membership
            one.on_retired(told.set)
            member = other.table.find(one.incarnation)
            await other.retirement.retire([member], "silent")
            await asyncio.wait_for(told.wait(), WAIT_SECONDS)
            assert one.owner(f"a~{one.incarnation}~0").name == "a2"
            await daemons["a1"].stop()
            again = await Daemon("a1", "a", log, daemons["a1"].peers.address).start()
            await until(lambda: daemons["a2"].sees() == {"a1", "a2"})
            assert daemons["a2"].table.find(again.incarnation)
            assert retirements(log) == ["silent"]
            await again.stop()

    @pytest.mark.parametrize("how", ["down", "hangs"])
    async def test_learns_of_it_from_a_peer_while_the_log_is_cut(self, log, how):
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


class TestStart:
    async def test_learns_the_members_from_a_seed_while_the_log_is_down(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            own_log = CutLog(log)
            own_log.own.down = True
            seeds = ["127.0.0.1:1", daemons["a1"].peers.address]
            fresh = await Daemon("a3", "a", own_log, seeds=seeds).start()
            await until(lambda: fresh.sees() == {"a1", "a2"})
            own_log.own.down = False
            await until(lambda: "a3" in daemons["a1"].sees())
            await fresh.stop()

    async def test_join_is_appended_again_before_retention(self, log, monkeypatch):
        monkeypatch.setattr(membership_module, "_REFRESH_SECONDS", 0.3)
        async with fleet("a1", log=log) as daemons:
            log.retention = 2
            first = log.streams[MEMBERS_STREAM][0].offset
            await until(lambda: log.streams[MEMBERS_STREAM][0].offset > first + 1)
            late = await Daemon("a2", "a", log).start()
            await until(lambda: late.sees() == {"a1", "a2"})
            assert late.table.find(daemons["a1"].incarnation)
            await late.stop()


class TestGossip:
    async def test_loads_are_heard_until_the_peer_is_gone(self, log, monkeypatch):
        monkeypatch.setattr(peer_loads, "_KEPT_SECONDS", 3.0)
        async with fleet("a1", "a2", log=log) as daemons:
            heard, gone = {}, []
            one, other = daemons["a1"].membership, daemons["a2"].membership
            one.on_peer_load(lambda load: heard.update({load.incarnation: load}))
            one.on_peer_gone(gone.append)
            other.load_source = lambda: PeerLoad(
                incarnation="", in_flight={"e": 3}, waiting=2, open_breakers=("f",)
            )
            await until(lambda: heard and heard[other.incarnation].waiting == 2)
            load = heard[other.incarnation]
            assert (load.in_flight, load.open_breakers) == ({"e": 3}, ("f",))
            log.down = True
            await daemons["a2"].stop()
            await until(lambda: gone == [other.incarnation])
            assert not daemons["a1"].table.is_retired(other.incarnation)

    async def test_newer_configuration_spreads_over_domains(self, log):
        names = ("a1", "a2", "a3", "b1", "b2", "b3")
        async with fleet(*names, log=log) as daemons:
            versions = dict.fromkeys(names, 1)
            for name, daemon in daemons.items():
                daemon.peers.config_version = lambda name=name: versions[name]
                daemon.peers.config_offer = lambda name=name: b"%d" % versions[name]
                daemon.peers.config_accept = lambda data, name=name: versions.update(
                    {name: max(versions[name], int(data))}
                )
            log.down = True
            versions["a2"] = 2
            await until(lambda: set(versions.values()) == {2}, 18.0)
