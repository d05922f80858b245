"""Which connections end when memory is short, and what their callers are told."""

import asyncio

import pytest

from client_crowds import with_length
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.memory_budget import (
    COPIES,
    SMALL_BODY_BYTES,
    Holding,
    MemoryBudget,
)
from platform_fleet import POSTS, PlatformFleet

MEGABYTE = 1_000_000
ANSWER_SECONDS = 10.0
NOW = 100.0


def coming(received, progressed_at=NOW):
    return Holding(progressed_at, received, is_active=True, awaits_body=True)


def whole(received, ahead=0, blocked_since=None):
    return Holding(
        NOW,
        received + ahead,
        request_bytes=received,
        is_active=True,
        blocked_since=blocked_since,
    )


def ended(*holdings, limit=4 * MEGABYTE):
    budget = MemoryBudget(limit)
    for one in holdings:
        budget.update(one)
    victims = budget.choose_victims(NOW)
    assert budget.held == sum(one.size for one in budget.holdings)
    return [holdings.index(one.holding) for one in victims]


class TestVictims:
    def test_none_ends_within_the_limit(self):
        assert ended(coming(MEGABYTE), whole(MEGABYTE // 2)) == []

    def test_a_body_that_has_stopped_is_first(self):
        assert ended(coming(MEGABYTE), coming(2 * MEGABYTE, NOW - 5.0)) == [1]

    def test_then_the_reader_that_waited_longest(self):
        since = [whole(MEGABYTE, blocked_since=NOW - wait) for wait in (2.0, 9.0)]
        assert ended(coming(MEGABYTE // 2), *since)[0] == 2

    def test_then_the_large_body_with_the_least_progress(self):
        assert ended(coming(2 * MEGABYTE), coming(MEGABYTE), limit=5 * MEGABYTE) == [1]

    def test_then_the_most_requests_ahead(self):
        assert ended(whole(9, MEGABYTE), whole(9, 2 * MEGABYTE)) == [1]

    def test_small_bodies_may_overdraw(self):
        small = SMALL_BODY_BYTES
        assert ended(whole(2 * MEGABYTE), coming(small)) == []
        assert ended(whole(3 * MEGABYTE), coming(small)) == [1]

    def test_a_whole_request_never_ends_for_its_body(self):
        assert ended(whole(9 * MEGABYTE), whole(9 * MEGABYTE)) == []

    def test_only_unread_requests_are_refused(self):
        budget = MemoryBudget(0.0)
        budget.update(coming(MEGABYTE))
        budget.update(whole(9, MEGABYTE))
        refused = [one.is_refused for one in budget.choose_victims(NOW)]
        assert refused == [True, False]

    def test_a_vain_search_is_not_repeated_at_once(self):
        budget = MemoryBudget(MEGABYTE)
        holding = whole(MEGABYTE)
        budget.update(holding)
        assert budget.is_search_due
        assert budget.choose_victims(NOW) == []
        assert not budget.is_search_due
        holding.received += MEGABYTE
        budget.update(holding)
        assert holding.size > COPIES * MEGABYTE
        assert budget.is_search_due


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


class TestDaemon:
    async def test_a_large_body_is_refused_unrun_and_small_ones_served(self, fleet):
        fleet.configure(limits={"maxBodyBytes": 4 * MEGABYTE})
        desk = await fleet.endpoint()
        daemon = await fleet.ready_daemon([desk], memory_megabytes=1.0)
        connection = await fleet.connect(daemon)
        status, head, body = await fleet.send(
            connection, f"{POSTS}x", "POST", b"b" * 3 * MEGABYTE
        )
        assert status == 503
        assert b'"ran": "no"' in body
        assert head.header("retry-after")
        assert not connection.reusable
        assert desk.ids() == []
        status, *_ = await fleet.call(daemon, f"{POSTS}x", "POST", b"b" * 17_000)
        assert status == 200
        callers = daemon.application.caller_connections
        assert callers.refused == 1

    async def test_what_is_held_is_released(self, fleet):
        desk = await fleet.endpoint()
        daemon = await fleet.ready_daemon([desk], memory_megabytes=128.0)
        connection = await fleet.connect(daemon)
        for _ in range(3):
            await fleet.send(connection, f"{POSTS}x", "POST", b"b" * 60_000)
        (holding,) = daemon.application.caller_connections.budget.holdings
        assert (holding.received, holding.unsent, holding.is_active) == (0, 0, False)

    @pytest.mark.parametrize(("count", "size"), [(200, 9), (12, 300_000)])
    async def test_requests_ahead_are_all_served_in_turn(self, fleet, count, size):
        fleet.configure(limits={"maxBodyBytes": 4 * MEGABYTE})
        desk = await fleet.endpoint()
        daemon = await fleet.ready_daemon([desk], memory_megabytes=128.0)
        host, _, port = daemon.front_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.writelines(with_length(n, size) for n in range(count))
        for number in range(count):
            async with asyncio.timeout(ANSWER_SECONDS):
                answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                assert answer.startswith("http/1.1 200")
                assert f"request-id: q{number}\r\n" in answer
                length = answer.partition("content-length: ")[2].partition("\r\n")[0]
                await reader.readexactly(int(length))
        writer.close()
        assert desk.ids() == [f"q{number}" for number in range(count)]

    async def test_the_connection_idle_for_longest_gives_way(self, fleet):
        desk = await fleet.endpoint()
        daemon = await fleet.ready_daemon([desk], max_descriptors=207)
        kept = [await fleet.connect(daemon) for _ in range(3)]
        for one in kept:
            await fleet.send(one, f"{POSTS}x", "POST", b"b")
        await fleet.send(kept[0], f"{POSTS}x", "POST", b"b")
        status, *_ = await fleet.call(daemon, f"{POSTS}x", "POST", b"b")
        assert status == 200
        assert (await fleet.send(kept[0], f"{POSTS}x", "POST", b"b"))[0] == 200
        with pytest.raises(ConnectionBroken):
            await fleet.send(kept[1], f"{POSTS}x", "POST", b"b")
