"""Members that join, and the state that they exchange."""

import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.log.records import (
    MEMBERS_STREAM,
)
from eelgrasslock.peers import membership as membership_module
from eelgrasslock.peers import peer_load_tracker
from eelgrasslock.scheduling.calls import PeerLoad
from fake_log import FakeLog
from member_fleet import Daemon, InterruptibleLog, fleet, shorten_intervals, until


@pytest.fixture
def log():
    return FakeLog(SystemClock())


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    shorten_intervals(monkeypatch)


class TestStart:
    async def test_pulls_the_members_from_a_seed_while_the_log_is_down(self, log):
        async with fleet("a1", "a2", log=log) as daemons:
            own_log = InterruptibleLog(log)
            own_log.own.down = True
            seeds = ["127.0.0.1:1", daemons["a1"].peers.address]
            fresh = await Daemon("a3", "a", own_log, seeds=seeds).start()
            await until(lambda: fresh.live_names() == {"a1", "a2"})
            own_log.own.down = False
            await until(lambda: "a3" in daemons["a1"].live_names())
            await fresh.stop()

    async def test_join_is_appended_again_before_retention(self, log, monkeypatch):
        monkeypatch.setattr(membership_module, "_REFRESH_SECONDS", 0.3)
        async with fleet("a1", log=log) as daemons:
            log.retention = 2
            first = log.streams[MEMBERS_STREAM][0].offset
            await until(lambda: log.streams[MEMBERS_STREAM][0].offset > first + 1)
            late = await Daemon("a2", "a", log).start()
            await until(lambda: late.live_names() == {"a1", "a2"})
            assert late.table.find(daemons["a1"].incarnation)
            await late.stop()


class TestGossip:
    async def test_load_reports_arrive_until_the_peer_is_gone(self, log, monkeypatch):
        monkeypatch.setattr(peer_load_tracker, "_EXPIRY_SECONDS", 3.0)
        async with fleet("a1", "a2", log=log) as daemons:
            reports, gone = {}, []
            one, other = daemons["a1"].membership, daemons["a2"].membership
            one.on_peer_load(lambda load: reports.update({load.incarnation: load}))
            one.on_peer_gone(gone.append)
            other.load_source = lambda: PeerLoad(
                incarnation="", in_flight={"e": 3}, waiting=2, open_breakers=("f",)
            )
            await until(lambda: reports and reports[other.incarnation].waiting == 2)
            load = reports[other.incarnation]
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
                daemon.peers.encode_config = lambda name=name: b"%d" % versions[name]
                daemon.peers.accept_config = lambda data, name=name: versions.update(
                    {name: max(versions[name], int(data))}
                )
            log.down = True
            versions["a2"] = 2
            await until(lambda: set(versions.values()) == {2}, 18.0)
