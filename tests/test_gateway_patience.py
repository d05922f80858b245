"""Calls in flight when a domain is cut off."""

import pytest

from eelgrasslock.gateway.patience import (
    FAR_SECONDS,
    OWN_SECONDS,
    Silence,
    first_wait,
    gives_up,
)
from eelgrasslock.gateway.routes import Route, RouteKind
from eelgrasslock_standins.platform_engine import Fault
from platform_fleet import LOOKUPS, POSTS, TURNS, PlatformFleet


def make_route(kind, **more):
    values = {"timeout_seconds": 4.0, "target_seconds": 0.2, "services": ()}
    return Route(name="r", host="h", prefix="/", kind=kind, **{**values, **more})


def silence(**more):
    values = {"is_far": True, "is_domain_suspect": True, "sent": 1, "seconds": 0.4}
    return Silence(**{**values, **more})


class TestPatience:
    def test_what_may_not_run_again_is_waited_for(self):
        assert first_wait(make_route(RouteKind.UNSAFE), is_far=True) is None
        assert first_wait(make_route(RouteKind.STREAM), is_far=True) is None

    def test_far_endpoints_are_waited_for_less(self):
        route = make_route(RouteKind.SAFE)
        assert first_wait(route, is_far=True) < first_wait(route, is_far=False)

    @pytest.mark.parametrize(("sent", "expected"), [(1, True), (2, False)])
    def test_a_lookup_keeps_to_its_routes_endpoints(self, sent, expected):
        route = make_route(RouteKind.SAFE, most_endpoints=2)
        assert gives_up(route, silence(sent=sent)) is expected

    def test_a_busy_endpoint_is_waited_for(self):
        """Two of three endpoints lost answers in a burst, the third was full."""
        route = make_route(RouteKind.SAFE, most_endpoints=2)
        busy = {"is_domain_suspect": False}
        assert not gives_up(route, silence(seconds=FAR_SECONDS, **busy))
        assert gives_up(route, silence(seconds=OWN_SECONDS, **busy))

    @pytest.mark.parametrize(
        ("more", "expected"),
        [({}, True), ({"is_domain_suspect": False}, False), ({"is_far": False}, False)],
    )
    def test_a_stream_moves_only_from_a_domain_that_is_cut_off(self, more, expected):
        route = make_route(RouteKind.STREAM, resumable=True)
        assert gives_up(route, silence(**more)) is expected


class TestSilentEndpoints:
    @pytest.fixture
    async def fleet(self):
        async with PlatformFleet() as fleet:
            yield fleet

    async def far_first(self, fleet, service, **shape):
        """Return a daemon and an endpoint far away, silent, and one nearby."""
        far = await fleet.endpoint(service, **shape)
        fleet.register(far, service, zone="far")
        far.faults += [Fault.SILENT] * 3
        daemon = await fleet.ready_daemon([far])
        near = await fleet.endpoint(service, **shape)
        return daemon, far, near

    async def test_a_lookup_is_answered_by_another(self, fleet):
        daemon, far, near = await self.far_first(fleet, "desk")
        call = fleet.call(daemon, f"{LOOKUPS}x", Request_Id="one")
        status, _, body = await call
        assert (status, body) == (200, b"answer to one")
        assert (len(far.ids()), len(near.ids())) == (1, 1)

    async def test_a_post_is_not_sent_twice(self, fleet):
        daemon, far, near = await self.far_first(fleet, "desk")
        status, _, _ = await fleet.call(
            daemon, f"{POSTS}x", "POST", b"fee", Deadline_Ms=1_500
        )
        assert status == 504
        assert len(far.ids()) + len(near.ids()) == 1

    async def test_a_turn_moves_once_the_domain_is_suspect(self, fleet):
        daemon, far, near = await self.far_first(fleet, "models", events=4)
        domains = daemon.application.scheduler.domain_breaker
        request = fleet.call(
            daemon, f"{TURNS}x", "POST", b"prompt", Request_Id="t", Deadline_Ms=3_000
        )
        for endpoint in ("e1", "e2"):
            domains.record_failure("far", endpoint, domains_now(daemon))
            domains.states["far"].excluded_until = 0.0
        status, _, body = await request
        assert status == 200
        assert body.count(b"\n\n") == 4
        assert (len(far.ids()), len(near.ids())) == (1, 1)


def domains_now(daemon):
    return daemon.application.clock.monotonic()
