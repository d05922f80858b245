"""A daemon without links to the endpoints serves its callers through its peers."""

import asyncio
import time

import pytest

from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock_standins.platform_engine import Fault
from hold_ups import running_seconds
from link_faults import Cut, LinkFaults
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet, wait_until

EVENTS = 6
DETECTION_SECONDS = 1.5
# Events that came in pairs would need more: the engine sends one each 0.15 s.
MAX_EVENT_SECONDS = 0.1
CUTS = [Cut.HANG, Cut.REFUSE, Cut.RESET, Cut.OLD_LIVE]


class StrandedFleet:
    """Daemons of which some can lose their links to all endpoints."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.daemons = []
        self.faults = {}

    async def start(self, daemons=3, **shape):
        self.engines = [await self.endpoint("models", n, **shape) for n in range(4)]
        self.desks = [await self.endpoint("desk", n) for n in range(4)]
        every = self.engines + self.desks
        for number in range(daemons):
            domain = "abc"[number % 3]
            daemon = await self.fleet.ready_daemon(
                every, name=f"{domain}-{number}", domain=domain
            )
            self.daemons.append(daemon)
            self.faults[daemon] = LinkFaults(daemon, every)
        peers = [one.application.load_exchange.live_peers for one in self.daemons]
        await wait_until(lambda: all(len(one) == daemons - 1 for one in peers))
        return self

    async def endpoint(self, service, number, **shape):
        entry = {"zone": "abc"[number % 3]}
        shape = {"events": EVENTS, **shape} if service == "models" else {}
        return await self.fleet.endpoint(service, entry=entry, **shape)

    async def strand(self, *daemons, cut=Cut.REFUSE):
        """Cut daemons off while requests come, until they know of it."""
        for daemon in daemons:
            await self.call(daemon, LOOKUPS)
            self.faults[daemon].begin(cut)
        ends_at = time.monotonic() + DETECTION_SECONDS
        while time.monotonic() < ends_at:
            calls = [self.call(daemon, LOOKUPS) for daemon in daemons]
            await asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)

    def runs(self, id):
        return sum(one.ids().count(id) for one in self.engines + self.desks)

    async def call(self, daemon, path, **headers):
        method = "GET" if path == LOOKUPS else "POST"
        status, _, _ = await self.fleet.call(daemon, f"{path}x", method, **headers)
        return status


def hear_only(monkeypatch, daemon, peer):
    """Let a daemon know of one live peer, whichever others tell it that they live."""
    exchange = daemon.application.load_exchange
    heard = peer.application.incarnation
    record = exchange._record

    def record_heard(heartbeat):
        if heartbeat.load.incarnation == heard:
            record(heartbeat)

    monkeypatch.setattr(exchange, "_record", record_heard)
    for other in exchange.live_peers.keys() - {heard}:
        del exchange.live_peers[other]


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


@pytest.fixture
async def stranded(fleet):
    return await StrandedFleet(fleet).start()


class TestServedThroughPeers:
    # A daemon sent requests over its own links to the endpoints alone.
    @pytest.mark.parametrize("cut", CUTS)
    async def test_a_daemon_without_links_serves_all_kinds(self, stranded, cut):
        daemon = stranded.daemons[0]
        await stranded.strand(daemon, cut=cut)
        for path in (LOOKUPS, POSTS):
            statuses = [await stranded.call(daemon, path) for _ in range(10)]
            assert statuses == [200] * 10
        for number in range(10):
            status, body = await stranded.fleet.turn(daemon, f"p{number}")
            assert status == 200
            assert body.count(b"\n\n") == EVENTS

    async def test_two_of_three_daemons_are_stranded(self, stranded):
        cut = stranded.daemons[:2]
        await stranded.strand(*cut)
        for daemon in cut:
            statuses = [await stranded.call(daemon, LOOKUPS) for _ in range(10)]
            assert statuses == [200] * 10

    async def test_a_daemon_that_starts_while_it_is_cut_off(self, stranded):
        every = stranded.engines + stranded.desks
        daemon = await stranded.fleet.ready_daemon(every, name="a-9", domain="a")
        LinkFaults(daemon, every).begin(Cut.HANG)
        peers = daemon.application.load_exchange.live_peers
        await wait_until(lambda: len(peers) == len(stranded.daemons))
        for path in (LOOKUPS, POSTS):
            statuses = [await stranded.call(daemon, path) for _ in range(5)]
            assert statuses == [200] * 5


class TestAfterTheEnd:
    # The breakers of all endpoints stayed open for seconds after a cut.
    async def test_a_daemon_goes_back_to_its_own_links(self, stranded):
        daemon = stranded.daemons[0]
        await stranded.strand(daemon)
        stranded.faults[daemon].end()
        ends_at = time.monotonic() + 1.0
        while time.monotonic() < ends_at:
            assert await stranded.call(daemon, LOOKUPS) == 200
        connections = sum(len(one) for one in daemon.application.pool.idle.values())
        assert stranded.faults[daemon].opened
        assert connections >= 1

    async def test_breakers_that_opened_meanwhile_are_closed(self, stranded):
        daemon = stranded.daemons[0]
        application = daemon.application
        await stranded.strand(daemon)
        states = application.scheduler.endpoint_table.states.values()
        for state in states:
            now = application.clock.monotonic()
            state.breaker.record_failure("a call", now, crashed=True)
        stranded.faults[daemon].end()
        async with asyncio.timeout(2.0):
            while application.links.is_lost:
                assert await stranded.call(daemon, LOOKUPS) == 200
                await asyncio.sleep(0.02)
        relayed = application.peer_forwarder.relayed
        statuses = [await stranded.call(daemon, LOOKUPS) for _ in range(5)]
        assert statuses == [200] * 5
        assert application.peer_forwarder.relayed == relayed


class TestDetection:
    # Kept connections take requests and give no answer.
    async def test_links_that_hang_are_noticed_by_one_request_that_waits(
        self, stranded
    ):
        daemon = stranded.daemons[0]
        for desk in stranded.desks:
            desk.work_seconds = 0.1
        calls = [stranded.call(daemon, POSTS) for _ in range(12)]
        assert await asyncio.gather(*calls) == [200] * 12
        stranded.faults[daemon].begin(Cut.HANG)
        await asyncio.sleep(0.5)
        waiting = asyncio.create_task(stranded.call(daemon, POSTS))
        await wait_until(lambda: daemon.application.links.is_lost, 1.5)
        assert not waiting.done()
        assert await stranded.call(daemon, POSTS) == 200
        await waiting


class TestTrueOverTheHop:
    async def test_a_post_whose_peer_dies_ran_once_and_is_said_to_be_unknown(
        self, stranded
    ):
        daemon = stranded.daemons[0]
        for desk in stranded.desks:
            desk.work_seconds = 0.4
        await stranded.strand(daemon)
        call = asyncio.create_task(
            stranded.fleet.call(daemon, f"{POSTS}x", "POST", Request_Id="fee")
        )
        await wait_until(lambda: stranded.runs("fee") == 1)
        for peer in stranded.daemons[1:]:
            await peer.application.mesh.stop()
        status, _, body = await call
        assert status == 502
        assert b'"ran": "unknown"' in body
        assert stranded.runs("fee") == 1

    async def test_a_request_that_no_peer_can_serve_is_refused_at_once(self, stranded):
        await stranded.strand(*stranded.daemons)
        for daemon in stranded.daemons:
            began_at = time.monotonic()
            status, _, body = await stranded.fleet.call(
                daemon, f"{POSTS}x", "POST", Request_Id="none"
            )
            assert status == 503
            assert b'"ran": "no"' in body
            assert running_seconds(began_at) < 0.3
        assert stranded.runs("none") == 0

    async def test_a_relayed_request_is_not_passed_on_again(
        self, stranded, monkeypatch
    ):
        """The peer has lost its links, too, and does not know of it yet."""
        first, second, third = stranded.daemons
        await stranded.strand(first)
        stranded.faults[second].begin(Cut.REFUSE)
        served = [one.application.peer_requests.served for one in (first, third)]
        hear_only(monkeypatch, first, second)
        status, _, _ = await stranded.fleet.call(
            first, f"{POSTS}x", "POST", Request_Id="hop"
        )
        assert status == 503
        assert second.application.peer_requests.served > 0
        assert served == [
            one.application.peer_requests.served for one in (first, third)
        ]
        assert stranded.runs("hop") == 0

    async def test_the_deadline_and_the_budget_are_the_callers(self, stranded):
        daemon, *peers = stranded.daemons
        await stranded.strand(daemon)
        status, _ = await stranded.fleet.turn(daemon, "p", Deadline_Ms=1_000)
        assert status == 200
        (run,) = [one for engine in stranded.engines for one in engine.runs]
        assert 0 < int(run.headers["deadline-ms"]) < 1_000
        account = daemon.application.allowances.accounts["p"]
        await wait_until(lambda: account.spent == EVENTS * 22)
        assert not any("p" in one.application.allowances.accounts for one in peers)

    async def test_head_and_events_come_as_the_engine_sends_them(self, fleet):
        stranded = await StrandedFleet(fleet).start(event_seconds=0.15)
        daemon = stranded.daemons[0]
        await stranded.strand(daemon)
        connection = await fleet.connect(daemon)
        request = fleet.request(f"{TURNS}x", "POST", b"prompt")
        head = await connection.send(request)
        headers = dict(head.headers)
        (engine,) = [one for one in stranded.engines if one.runs]
        assert headers["Server-Stamp"] == f"{engine.id}.stamp"
        assert headers["Request-Id"] == dict(request.headers)["Request-Id"]
        times = []
        while await connection.read() is not None:
            times.append(time.monotonic())
        (sent,) = [run.event_times for run in engine.runs]
        assert len(sent) == len(times) == EVENTS
        for sent_at, came_at in zip(sent, times, strict=True):
            assert running_seconds(sent_at, came_at) < MAX_EVENT_SECONDS
        connection.close()

    async def test_a_stream_that_its_engine_breaks_off_breaks_off(self, stranded):
        daemon = stranded.daemons[0]
        await stranded.strand(daemon)
        for engine in stranded.engines:
            engine.faults.append(Fault.TRUNCATED)
        with pytest.raises(ConnectionBroken):
            await stranded.fleet.turn(daemon, "p")

    async def test_streams_that_break_off_do_not_count_against_peers(self, stranded):
        daemon = stranded.daemons[0]
        await stranded.strand(daemon)
        for engine in stranded.engines:
            engine.faults.extend([Fault.TRUNCATED] * 4)
        for number in range(4):
            with pytest.raises(ConnectionBroken):
                await stranded.fleet.turn(daemon, f"p{number}")
        assert await stranded.call(daemon, LOOKUPS) == 200

    async def test_a_caller_that_leaves_ends_the_work(self, fleet):
        stranded = await StrandedFleet(fleet).start(events=200, event_seconds=0.05)
        daemon = stranded.daemons[0]
        await stranded.strand(daemon)
        connection = await fleet.connect(daemon)
        await connection.send(fleet.request(f"{TURNS}x", "POST", b"prompt"))
        await connection.read()
        connection.close()
        await wait_until(lambda: not any(one.busy for one in stranded.engines), 0.5)

    async def test_a_resumed_stream_goes_on_at_its_version(self, stranded):
        daemon = stranded.daemons[0]
        others = [
            await stranded.fleet.endpoint(
                "models", events=EVENTS, entry={"version": "v2", "zone": zone}
            )
            for zone in "abc"
        ]
        entries = daemon.application.endpoint_registry.entries
        await wait_until(lambda: all(one.id in entries for one in others))
        await stranded.strand(daemon)
        for number in range(6):
            stranded.fleet.make_known(daemon, f"r-{number}", version="v2")
            status, _ = await stranded.fleet.turn(
                daemon, f"p{number}", Resumes=f"r-{number}", Last_Event_Id=2
            )
            assert status == 200
        assert not any(one.runs for one in stranded.engines)

    async def test_limits_hold_over_the_hop(self, stranded):
        for desk in stranded.desks:
            desk.limit = "4"
        daemon = stranded.daemons[0]
        await stranded.strand(daemon)
        began_at = time.monotonic()
        calls = []
        while time.monotonic() < began_at + 4.0:
            calls.append(asyncio.create_task(stranded.call(daemon, LOOKUPS)))
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)
        for desk in stranded.desks:
            runs = [one for one in desk.runs if one.arrived_at >= began_at]
            assert len(runs) <= 1.5 * 4 * 4 + 5


class TestNoLoss:
    async def test_one_silent_endpoint_is_no_loss(self, stranded):
        daemon = stranded.daemons[0]
        stranded.desks[0].faults.extend([Fault.SILENT] * 20)
        calls = [stranded.call(daemon, LOOKUPS) for _ in range(20)]
        assert await asyncio.gather(*calls) == [200] * 20
        assert not daemon.application.links.is_lost
        assert not daemon.application.peer_forwarder.relayed

    async def test_endpoints_that_are_all_slow_are_no_loss(self, stranded):
        daemon = stranded.daemons[0]
        for desk in stranded.desks:
            desk.work_seconds = 1.2
        statuses = [stranded.call(daemon, POSTS) for _ in range(8)]
        assert await asyncio.gather(*statuses) == [200] * 8
        assert not daemon.application.links.is_lost

    async def test_some_endpoints_that_are_gone_are_no_loss(self, stranded):
        daemon = stranded.daemons[0]
        for endpoint in (stranded.desks[0], stranded.desks[1]):
            await endpoint.stop()
        for _ in range(20):
            await stranded.call(daemon, LOOKUPS)
        assert not daemon.application.links.is_lost
