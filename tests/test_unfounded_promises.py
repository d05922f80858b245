"""Statuses that promise that nothing ran, from endpoints that do not say so."""

import pytest

from eelgrasslock_standins.raw_server import Ending, RawAnswer
from platform_fleet import LOOKUPS, POSTS, PlatformFleet

STATUSES = [408, 429, 503]


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


async def call(fleet, status, path, more=""):
    head = f"HTTP/1.1 {status} Odd\r\nRequest-Id: {{id}}\r\nServer-Stamp: s\r\n{more}"
    data = f"{head}Content-Length: 2\r\n\r\nno".encode()
    endpoint = await fleet.raw_endpoint(RawAnswer(data=data, ending=Ending.NEXT))
    daemon = await fleet.ready_daemon([endpoint])
    got, head, _ = await fleet.call(daemon, f"{path}x", "POST", b"x")
    return got, head, endpoint


class TestUnfoundedPromises:
    @pytest.mark.parametrize("status", STATUSES)
    async def test_a_post_that_may_have_run_is_not_said_to_have_not(
        self, fleet, status
    ):
        """Its caller took the status for a promise, and sent it again."""
        got, head, endpoint = await call(fleet, status, POSTS)
        assert got == 502
        assert not head.header("server-stamp")
        assert len(endpoint.runs) == 1

    @pytest.mark.parametrize("status", STATUSES)
    async def test_a_lookup_gets_what_its_endpoint_answered(self, fleet, status):
        got, head, _ = await call(fleet, status, LOOKUPS)
        assert (got, head.header("server-stamp")) == (status, "s")

    async def test_a_promise_that_is_founded_is_kept(self, fleet):
        got, _, _ = await call(fleet, 503, POSTS, "Not-Run: 1\r\n")
        assert got in (429, 503)
