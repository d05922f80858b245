"""Requests belong to the workspace that holds their key, whatever they say."""

import asyncio
import json

import pytest
from loguru import logger

from eelgrasslock.exceptions import RecordError, Refusal
from eelgrasslock.platform.headers import PlatformMessageCodec
from eelgrasslock.platform.record_decoder import PlatformRecordDecoder
from eelgrasslock.routing.routes import Route, RouteKind
from eelgrasslock.workspaces.access import WorkspaceAccess
from eelgrasslock.workspaces.workspace import (
    Workspace,
    WorkspaceDirectory,
    scoped_id,
)
from link_faults import Cut
from platform_fleet import (
    LOOKUPS,
    POSTS,
    PlatformFleet,
    configuration,
    route,
    wait_until,
)
from test_stranded_daemons import StrandedFleet

KEY = "key-of-one"
OTHER_KEY = "key-of-two"
PUBLIC = "/public/"
PUBLIC_ROUTE = Route(
    name="public",
    host="h",
    prefix=PUBLIC,
    kind=RouteKind.SAFE,
    services=(),
    timeout_seconds=1.0,
    target_latency_seconds=1.0,
    is_public=True,
)
TENANTS = [
    {"name": "one", "apiKeys": [KEY, "second-key"], "priority": 1},
    {"name": "two", "apiKeys": [OTHER_KEY], "ratePerS": 50, "burst": 20},
]


def with_tenants(version=1, tenants=None, **more):
    document = configuration(version=version, **more)
    document["routes"].append(
        {**route("public", PUBLIC, "safe", "desk"), "public": True}
    )
    return {**document, "tenants": TENANTS if tenants is None else tenants}


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


class KeyedFleet:
    """A daemon before one plain endpoint, with workspaces."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def start(self, **shape):
        self.configure()
        self.desk = await self.fleet.endpoint(**shape)
        self.daemon = await self.fleet.ready_daemon([self.desk])
        return self

    def configure(self, **more):
        self.fleet.configure_raw(json.dumps(with_tenants(**more)).encode())

    async def call(self, key=KEY, path=POSTS, method="POST", **headers):
        if key:
            headers["Authorization"] = f"Token {key}"
        status, _, _ = await self.fleet.call(
            self.daemon,
            f"{path}x",
            method,
            b"x" if method == "POST" else b"",
            **headers,
        )
        return status

    @property
    def last(self):
        return self.desk.runs[-1].headers


class TestKeys:
    @pytest.mark.parametrize(("key", "name"), [(KEY, "one"), (OTHER_KEY, "two")])
    async def test_the_endpoint_gets_the_workspace_and_not_the_key(
        self, fleet, key, name
    ):
        keyed = await KeyedFleet(fleet).start()
        assert await keyed.call(key) == 200
        assert keyed.last["tenant"] == name
        assert "authorization" not in keyed.last
        assert key not in str(keyed.last)

    async def test_what_a_caller_says_of_its_workspace_is_dropped(self, fleet):
        keyed = await KeyedFleet(fleet).start()
        assert await keyed.call(KEY, Tenant="two", TENANT="two") == 200
        assert keyed.last["tenant"] == "one"

    @pytest.mark.parametrize("key", ["", "unknown", "one", KEY + "x", KEY.upper()])
    async def test_an_unknown_or_missing_key_runs_nowhere(self, fleet, key):
        keyed = await KeyedFleet(fleet).start()
        assert await keyed.call(key, Tenant="one") == 401
        assert keyed.desk.runs == []

    async def test_another_scheme_is_no_key(self, fleet):
        keyed = await KeyedFleet(fleet).start()
        assert await keyed.call("", Authorization=f"Basic {KEY}") == 401

    @pytest.mark.parametrize(
        ("key", "name"), [("", None), ("unknown", None), (KEY, "one")]
    )
    async def test_a_public_route_needs_no_key(self, fleet, key, name):
        keyed = await KeyedFleet(fleet).start()
        assert await keyed.call(key, PUBLIC, "GET", Tenant="two") == 200
        assert keyed.last.get("tenant") == name
        assert "authorization" not in keyed.last

    async def test_a_removed_key_ends_on_connections_that_stay_open(self, fleet):
        keyed = await KeyedFleet(fleet).start()
        connection = await fleet.connect(keyed.daemon)
        headers = {"Authorization": f"Token {KEY}"}
        status, _, _ = await fleet.send(connection, f"{LOOKUPS}x", **headers)
        assert status == 200
        keyed.configure(version=2, tenants=TENANTS[1:])
        routing = keyed.daemon.application.routing
        await wait_until(lambda: routing.current.version == 2)
        status, _, _ = await fleet.send(connection, f"{LOOKUPS}x", **headers)
        assert status == 401

    async def test_a_request_whose_key_is_removed_while_it_waits_does_not_run(
        self, fleet
    ):
        keyed = await KeyedFleet(fleet).start(work_seconds=0.6)
        running = [asyncio.create_task(keyed.call(OTHER_KEY)) for _ in range(6)]
        await wait_until(lambda: len(keyed.desk.runs) >= 4)
        waiting = asyncio.create_task(keyed.call(KEY))
        dispatcher = keyed.daemon.application.dispatcher
        await wait_until(lambda: dispatcher.waiting)
        keyed.configure(version=2, tenants=TENANTS[1:])
        assert await waiting == 401
        await asyncio.gather(*running)
        assert "one" not in [one.headers["tenant"] for one in keyed.desk.runs]

    async def test_a_daemon_without_a_configuration_does_not_judge_keys(self, fleet):
        fleet.configure_raw(b"")
        daemon = await fleet.daemon()
        status, _, _ = await fleet.call(
            daemon, f"{POSTS}x", "POST", Authorization="Token unknown"
        )
        assert status == 503

    async def test_without_workspaces_headers_pass_as_they_are(self, fleet):
        desk = await fleet.endpoint()
        daemon = await fleet.ready_daemon([desk])
        headers = {"Authorization": "Token mine", "Tenant": "mine"}
        status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST", **headers)
        assert status == 200
        assert desk.runs[0].headers["authorization"] == "Token mine"
        assert desk.runs[0].headers["tenant"] == "mine"

    async def test_a_hop_over_a_peer_keeps_the_workspace(self, fleet):
        stranded = await StrandedFleet(fleet).start()
        fleet.configure_raw(json.dumps(with_tenants(version=2)).encode())
        for daemon in stranded.daemons:
            routing = daemon.application.routing
            await wait_until(lambda routing=routing: routing.current.version == 2)
        first = stranded.daemons[0]
        headers = {"Authorization": f"Token {KEY}"}
        stranded.faults[first].begin(Cut.REFUSE)
        for number in range(20):
            headers["Request_Id"] = f"hop{number}"
            await fleet.call(first, f"{LOOKUPS}x", **headers)
            await asyncio.sleep(0.1)
        runs = [run for desk in stranded.desks for run in desk.runs]
        hops = [run for run in runs if run.id.startswith("hop")]
        assert hops
        assert {run.headers.get("tenant") for run in hops} == {"one"}
        assert not any("authorization" in run.headers for run in hops)

    async def test_keys_stand_in_no_log_line(self, fleet):
        lines = []
        sink = logger.add(lines.append, level="TRACE", format="{message} {extra}")
        keyed = await KeyedFleet(fleet).start()
        await keyed.call(KEY)
        await keyed.call("unknown-key")
        metrics = keyed.daemon.application.metrics.text().decode()
        logger.remove(sink)
        assert any("'workspace': 'one'" in line for line in lines)
        for text in (*lines, metrics):
            assert KEY not in text
            assert "unknown-key" not in text


class TestAccess:
    """The filter by itself."""

    def access(self, *workspaces):
        directory = WorkspaceDirectory(workspaces)
        return WorkspaceAccess(lambda: directory, PlatformMessageCodec())

    def request(self, *headers):
        return PlatformMessageCodec().decode_request("GET", "/", [*headers], b"", 0.0)

    def test_the_key_is_not_in_what_is_printed(self):
        request = self.request(("Authorization", f"Token {KEY}"))
        assert request.api_key == KEY
        workspace = Workspace(name="one", api_keys=frozenset({KEY}))
        admitted = self.access(workspace).admit(request, PUBLIC_ROUTE)
        assert KEY not in repr(admitted)
        assert KEY not in repr(workspace)

    def test_a_key_that_moved_to_another_workspace_ends_what_waits(self):
        one = Workspace(name="one", api_keys=frozenset({KEY}))
        two = Workspace(name="two", api_keys=frozenset({KEY}))
        request = self.request(("Authorization", f"Token {KEY}"))
        admitted = self.access(one).admit(request, PUBLIC_ROUTE)
        self.access(one).check_still_admitted(admitted)
        with pytest.raises(Refusal):
            self.access(two).check_still_admitted(admitted)

    def test_a_peer_of_an_older_build_may_pass_a_key_on(self):
        one = self.access(Workspace(name="one", api_keys=frozenset({KEY})))
        request = self.request(("Authorization", f"Token {KEY}"), ("Tenant", "two"))
        assert one.admit_relayed(request).headers == (("Tenant", "one"),)
        with pytest.raises(Refusal):
            one.admit_relayed(self.request(("Authorization", "Token unknown")))

    def test_what_a_peer_has_admitted_stays_as_it_is(self):
        one = self.access(Workspace(name="one", api_keys=frozenset({KEY})))
        request = self.request(("Tenant", "one"))
        assert one.admit_relayed(request) is request

    def test_ids_of_workspaces_do_not_meet(self):
        assert scoped_id("", "x") == "x"
        assert scoped_id("one", "") == ""
        ids = {scoped_id("a", "bc"), scoped_id("ab", "c"), scoped_id("", "abc")}
        assert len(ids) == 3

    def test_programs_and_digests_of_workspaces_differ(self):
        request = self.request(("Program-Id", "p"), ("Authorization", f"Token {KEY}"))
        one = self.access(Workspace(name="one", api_keys=frozenset({KEY})))
        assert one.admit(request, PUBLIC_ROUTE).program_key != request.program_key


class TestDecoding:
    def decode(self, tenants):
        document = {**configuration(), "tenants": tenants}
        decoder = PlatformRecordDecoder()
        return decoder.decode_configuration("config", json.dumps(document).encode())

    def test_workspaces_are_decoded(self):
        one, two = self.decode(TENANTS).workspaces
        assert (one.priority, one.requests_per_second, one.burst) == (1, 0, 0)
        assert (two.priority, two.requests_per_second, two.burst) == (None, 50, 20)

    @pytest.mark.parametrize("tenants", [None, []])
    def test_without_any_no_keys_are_needed(self, tenants):
        assert self.decode(tenants).workspaces == ()

    @pytest.mark.parametrize(
        "wrong",
        [
            {"name": ""},
            {"apiKeys": None},
            {"apiKeys": [""]},
            {"priority": "high"},
            {"ratePerS": -1},
            {"burst": "many"},
        ],
    )
    def test_a_wrong_workspace_makes_the_configuration_invalid(self, wrong):
        with pytest.raises(RecordError):
            self.decode([{**TENANTS[0], **wrong}])
