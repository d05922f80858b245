"""Timeouts and failover of calls in flight during a network partition."""

import asyncio

import pytest

from eelgrasslock.responses.response_timeouts import (
    REMOTE_CHECK_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    ResponseWait,
    response_check_seconds,
    should_fail_over,
)
from eelgrasslock.routing.routes import Route, RouteKind
from eelgrasslock_standins.platform_engine import Fault
from link_faults import Cut, LinkFaults
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet, wait_until


def make_route(kind, **more):
    values = {"timeout_seconds": 4.0, "target_latency_seconds": 0.2, "services": ()}
    return Route(name="r", host="h", prefix="/", kind=kind, **{**values, **more})


def response_wait(**more):
    values = {
        "is_unreachable": True,
        "possible_executions": 1,
        "waited_seconds": 0.4,
    }
    return ResponseWait(**{**values, **more})


class TestResponseTimeouts:
    @pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
    def test_requests_that_must_not_repeat_never_fail_over(self, kind):
        route = make_route(kind, max_endpoints=3)
        assert not should_fail_over(route, response_wait(waited_seconds=60.0))

    def test_remote_endpoints_have_shorter_intervals(self):
        route = make_route(RouteKind.SAFE)
        assert response_check_seconds(
            route, is_remote_domain=True
        ) < response_check_seconds(route, is_remote_domain=False)

    @pytest.mark.parametrize(
        ("possible_executions", "expected"), [(1, True), (2, False)]
    )
    def test_a_lookup_respects_its_routes_endpoint_limit(
        self, possible_executions, expected
    ):
        route = make_route(RouteKind.SAFE, max_endpoints=2)
        assert (
            should_fail_over(
                route, response_wait(possible_executions=possible_executions)
            )
            is expected
        )

    def test_a_busy_endpoint_gets_the_full_timeout(self):
        """In a burst, two of three endpoints lost responses and the third was full."""
        route = make_route(RouteKind.SAFE, max_endpoints=2)
        busy = {"is_unreachable": False}
        assert not should_fail_over(
            route, response_wait(waited_seconds=REMOTE_CHECK_SECONDS, **busy)
        )
        assert should_fail_over(
            route, response_wait(waited_seconds=RESPONSE_TIMEOUT_SECONDS, **busy)
        )

    @pytest.mark.parametrize(
        ("more", "expected"),
        [({}, True), ({"is_unreachable": False}, False)],
    )
    def test_a_stream_moves_only_from_an_unreachable_domain(self, more, expected):
        route = make_route(RouteKind.STREAM, resumable=True)
        assert should_fail_over(route, response_wait(**more)) is expected


class TestUnresponsiveEndpoints:
    @pytest.fixture
    async def fleet(self):
        async with PlatformFleet() as fleet:
            yield fleet

    async def start_with_remote_endpoint(self, fleet, service, **shape):
        """Return a daemon, an unresponsive remote endpoint and a local endpoint."""
        far = await fleet.endpoint(service, **shape)
        fleet.register(far, service, zone="far")
        far.faults += [Fault.SILENT] * 3
        daemon = await fleet.ready_daemon([far])
        near = await fleet.endpoint(service, **shape)
        return daemon, far, near

    async def test_a_lookup_fails_over(self, fleet):
        daemon, far, near = await self.start_with_remote_endpoint(fleet, "desk")
        call = fleet.call(daemon, f"{LOOKUPS}x", Request_Id="one")
        status, _, body = await call
        assert (status, body) == (200, b"answer to one")
        assert (len(far.ids()), len(near.ids())) == (1, 1)

    async def test_a_post_is_not_sent_twice(self, fleet):
        daemon, far, near = await self.start_with_remote_endpoint(fleet, "desk")
        status, _, _ = await fleet.call(
            daemon, f"{POSTS}x", "POST", b"fee", Deadline_Ms=1_500
        )
        assert status == 504
        assert len(far.ids()) + len(near.ids()) == 1

    def trip(self, daemon):
        """Let two endpoints of the remote domain fail."""
        domain_breaker = daemon.application.scheduler.domain_breaker
        for endpoint in ("e1", "e2"):
            domain_breaker.record_failure("far", endpoint, monotonic_now(daemon))
            domain_breaker.states["far"].excluded_until = 0.0

    async def send_turn(self, fleet, daemon):
        return await fleet.call(
            daemon, f"{TURNS}x", "POST", b"prompt", Request_Id="t", Deadline_Ms=3_000
        )

    async def test_a_turn_moves_from_an_engine_that_is_cut_off(self, fleet):
        daemon, far, near = await self.start_with_remote_endpoint(
            fleet, "models", events=4
        )
        cut = LinkFaults(daemon, [far])
        request = asyncio.create_task(self.send_turn(fleet, daemon))
        await wait_until(far.ids)
        cut.begin(Cut.HANG)
        self.trip(daemon)
        status, _, body = await request
        assert status == 200
        assert body.count(b"\n\n") == 4
        assert (len(far.ids()), len(near.ids())) == (1, 1)

    async def test_a_turn_stays_at_a_silent_engine_that_takes_connections(self, fleet):
        """The breaker of its domain says nothing of what the engine does."""
        daemon, far, near = await self.start_with_remote_endpoint(
            fleet, "models", events=4
        )
        request = asyncio.create_task(self.send_turn(fleet, daemon))
        await wait_until(far.ids)
        self.trip(daemon)
        status, _, _ = await request
        assert status == 504
        assert (len(far.ids()), len(near.ids())) == (1, 0)


class TestEvidenceOfOthers:
    """Streams ran twice after plain services of the same domain had ended."""

    @pytest.fixture
    async def fleet(self):
        async with PlatformFleet() as fleet:
            yield fleet

    @pytest.mark.parametrize("zones", [("far", "far"), ("far", "near", "near")])
    async def test_a_stream_stays_when_plain_services_end(self, fleet, zones):
        """Two of a domain trip its breaker; three of two look like lost links."""
        far = await fleet.endpoint(
            "models", events=2, first_seconds=1.4, entry={"zone": "far"}
        )
        desks = [await fleet.endpoint("desk", entry={"zone": one}) for one in zones]
        daemon = await fleet.ready_daemon([far, *desks])
        near = await fleet.endpoint("models", events=2, entry={"zone": "a"})
        fleet.unregister(near)
        turn = asyncio.create_task(
            fleet.call(daemon, f"{TURNS}x", "POST", b"prompt", Request_Id="t")
        )
        await wait_until(far.ids)
        fleet.register(near, "models")
        registry = daemon.application.endpoint_registry
        await wait_until(lambda: near.id in registry.entries)
        for desk in desks:
            await desk.stop()
        ends_at = monotonic_now(daemon) + 1.3
        while monotonic_now(daemon) < ends_at:
            calls = [
                fleet.call(daemon, f"{LOOKUPS}x", Deadline_Ms=300) for _ in range(3)
            ]
            await asyncio.gather(*calls)
            await asyncio.sleep(0.05)
        status, _, body = await turn
        assert (status, body.count(b"\n\n")) == (200, 2)
        assert (len(far.ids()), len(near.ids())) == (1, 0)


def monotonic_now(daemon):
    return daemon.application.clock.monotonic()
