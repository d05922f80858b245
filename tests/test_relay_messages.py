"""What daemons pass on to each other arrives as it was."""

import json

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.exchanges.request_digest import request_digest
from eelgrasslock.platform.headers import PlatformMessageCodec
from eelgrasslock.relaying.relay_messages import (
    decode_head,
    decode_relayed_request,
    encode_head,
    encode_refusal,
    encode_relayed_request,
)
from eelgrasslock.routing.routes import (
    EngineSpec,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
)
from eelgrasslock.streams.stream_controller import KnownOrigin

CODEC = PlatformMessageCodec()
HEADERS = [
    ("Host", "fleet.example"),
    ("Request-Id", "r1"),
    ("Program-Id", "p"),
    ("Token-Usage", "100,220"),
    ("X-Tag", "one"),
    ("X-Tag", "two"),
    ("Last-Event-Id", "4"),
    ("Resumes", "r0"),
]


def make_context(**more):
    request = CODEC.decode_request("POST", "/turns/x?y=%20z", HEADERS, b"\x00\xff", 5.0)
    route = Route(
        name="turns",
        host="fleet.example",
        prefix="/turns/",
        kind=RouteKind.STREAM,
        services=(WeightedService(service="models", weight=1.0),),
        timeout_seconds=4.0,
        target_latency_seconds=0.25,
        max_endpoints=3,
        resumable=True,
    )
    engine = EngineSpec(slots=4, cache_tokens=1_000, tokens_per_event=22)
    values = {
        "request": request,
        "responder": None,
        "route": route,
        "service": ServiceSpec(name="models", engine=engine),
        "deadline": 9.0,
        **more,
    }
    return RequestContext(**values)


def pass_on(context, seconds=1.5):
    message = encode_relayed_request(context, seconds, "asker-1")
    services = {"models": context.service}
    return decode_relayed_request(message, None, services, CODEC, 100.0)


class TestRequests:
    def test_a_request_arrives_as_it_was(self):
        context = make_context(preferred_endpoint="i-1")
        found = pass_on(context)
        assert found.request.headers == context.request.headers
        assert found.request.body == b"\x00\xff"
        assert found.request.target == "/turns/x?y=%20z"
        assert found.request.last_event_id == 4
        assert found.service == context.service
        assert found.preferred_endpoint == "i-1"
        assert found.relayed_by == "asker-1"
        assert found.deadline == 101.5

    def test_the_route_arrives_with_the_endpoints_that_are_left(self):
        context = make_context(possible_executions=2)
        found = pass_on(context).route
        assert found.max_endpoints == 1
        assert found.kind is RouteKind.STREAM
        assert found.resumable
        assert found.services == context.route.services
        assert found.timeout_seconds == context.route.timeout_seconds

    def test_the_version_of_a_resumed_stream_arrives(self):
        origin = KnownOrigin(service="models", version="v2", source="own")
        assert pass_on(make_context(origin=origin)).version == "v2"
        assert pass_on(make_context()).origin is None

    def test_the_digest_is_that_of_the_request_as_its_caller_sent_it(self):
        """A turn is passed on with its whole chain, which differs each time."""
        assert pass_on(make_context(digest="d1")).digest == "d1"

    def test_a_request_of_a_build_that_tells_no_digest_has_one(self):
        context = make_context()
        message = encode_relayed_request(context, 1.5, "asker-1")
        del message.headers[":digest"]
        found = decode_relayed_request(message, None, {}, CODEC, 100.0)
        assert found.digest == request_digest(context.request)

    def test_a_header_of_the_caller_does_not_pass_for_a_field(self):
        context = make_context()
        fields = encode_relayed_request(context, 1.0, "a").headers
        assert {name for name in fields if name.startswith(":")}.isdisjoint(
            name for name, _ in context.request.headers
        )


class TestHeads:
    def test_a_head_arrives_as_it_was(self):
        context = make_context(endpoint="i-1", possible_executions=1)
        headers = [("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"), ("Server-Stamp", "s")]
        head = decode_head(200, encode_head(context, headers, 12))
        assert head.headers == tuple(headers)
        assert (head.status, head.content_length, head.endpoint) == (200, 12, "i-1")
        assert head.possible_executions == 1
        assert head.refusal is None

    def test_a_refusal_arrives_as_it_was(self):
        refusal = Refusal("overloaded", "Too much.", 429, Ran.NO, 0.5)
        found = decode_head(429, encode_refusal(refusal, None)).refusal
        assert (found.code, found.sentence, found.status, found.ran) == (
            "overloaded",
            "Too much.",
            429,
            Ran.NO,
        )
        assert found.retry_after == 0.5


class TestOtherBuilds:
    """A build knows the fields of a route that were published before it."""

    PUBLISHED = frozenset(
        (
            "name",
            "host",
            "prefix",
            "kind",
            "services",
            "timeout_seconds",
            "target_latency_seconds",
            "max_endpoints",
            "priority",
            "is_turn",
            "resumable",
            "max_event_gap_seconds",
            "retention_seconds",
        )
    )

    def told_route(self, context):
        message = encode_relayed_request(context, 1.5, "a-1")
        return message, json.loads(message.headers[":route"])

    def test_no_field_is_told_that_the_oldest_build_rejects(self):
        _, told = self.told_route(make_context())
        assert set(told) == self.PUBLISHED

    def test_fields_of_a_newer_build_are_ignored(self):
        message, told = self.told_route(make_context())
        message.headers[":route"] = json.dumps(told | {"of_a_newer_build": 1})
        context = decode_relayed_request(message, None, {}, CODEC, 10.0)
        assert context.route.prefix == "/turns/"
