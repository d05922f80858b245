"""Timeouts and failover of calls in flight during a network partition."""

import pytest

from eelgrasslock.gateway.response_timeouts import (
    REMOTE_CHECK_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    ResponseWait,
    response_check_seconds,
    should_fail_over,
)
from eelgrasslock.gateway.routes import Route, RouteKind
from eelgrasslock_standins.platform_engine import Fault
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet


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

    async def test_a_turn_moves_once_the_domain_breaker_trips(self, fleet):
        daemon, far, near = await self.start_with_remote_endpoint(
            fleet, "models", events=4
        )
        domain_breaker = daemon.application.scheduler.domain_breaker
        request = fleet.call(
            daemon, f"{TURNS}x", "POST", b"prompt", Request_Id="t", Deadline_Ms=3_000
        )
        for endpoint in ("e1", "e2"):
            domain_breaker.record_failure("far", endpoint, monotonic_now(daemon))
            domain_breaker.states["far"].excluded_until = 0.0
        status, _, body = await request
        assert status == 200
        assert body.count(b"\n\n") == 4
        assert (len(far.ids()), len(near.ids())) == (1, 1)


def monotonic_now(daemon):
    return daemon.application.clock.monotonic()
