"""Tests that a new member waits for peers that have not read its join record."""

import asyncio

import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers import join_barrier as join_barrier_module
from eelgrasslock.peers.join_barrier import JoinBarrier
from eelgrasslock.peers.member_table import MemberTable

OWN_OFFSET = 7


class Peers:
    """A peer that has read the `members` stream up to a given offset."""

    def __init__(self):
        self.table = MemberTable()
        self.table.offset = OWN_OFFSET
        self.offset = OWN_OFFSET - 1
        self.answers = True
        self.heartbeats = 0
        self.heartbeat_sent = asyncio.Semaphore(0)
        self.joined = asyncio.Event()
        self.join_barrier = JoinBarrier(
            self.table, lambda: [self.member], self.send_heartbeat, SystemClock()
        )
        self.member = MemberJoined(
            author="d1-x",
            time=0.0,
            incarnation="d1-x",
            name="d1",
            domain="a",
            peer_address="127.0.0.1:1",
            http_address="127.0.0.1:2",
        )

    async def send_heartbeat(self, member):
        self.heartbeats += 1
        self.heartbeat_sent.release()
        if self.answers:
            self.join_barrier.note_offset(member.incarnation, self.offset)
        return self.answers

    async def settle(self):
        async with asyncio.timeout(10.0):
            for _ in range(3):
                await self.heartbeat_sent.acquire()


@pytest.fixture
def peers(monkeypatch):
    monkeypatch.setattr(join_barrier_module, "BARRIER_TIMEOUT_SECONDS", 30.0)
    return Peers()


class TestJoinBarrier:
    async def test_waits_for_a_peer_that_has_not_read_our_record(self, peers):
        peers.joined.set()
        waiting = asyncio.create_task(peers.join_barrier.wait(peers.joined))
        await peers.settle()
        assert not peers.join_barrier.is_passed
        peers.offset = OWN_OFFSET
        await waiting
        assert peers.join_barrier.is_passed

    async def test_waits_for_our_own_record(self, peers):
        peers.offset = OWN_OFFSET
        waiting = asyncio.create_task(peers.join_barrier.wait(peers.joined))
        await asyncio.sleep(0.05)
        assert not peers.join_barrier.is_passed
        assert peers.heartbeats == 0
        peers.joined.set()
        await waiting
        assert peers.join_barrier.is_passed

    @pytest.mark.parametrize("lost", ["the log", "the peer"])
    async def test_ends_without_what_is_lost(self, peers, lost, monkeypatch):
        monkeypatch.setattr(join_barrier_module, "BARRIER_TIMEOUT_SECONDS", 0.1)
        peers.answers = lost != "the peer"
        if lost != "the log":
            peers.joined.set()
        await peers.join_barrier.wait(peers.joined)
        assert peers.join_barrier.is_passed
