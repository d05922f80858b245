"""Odd records of other writers among those that daemons follow."""

import json
import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from eelgrasslock.allowances.draws import decode_draw
from eelgrasslock.exceptions import RecordError, Refusal
from eelgrasslock.http.messages import ResponseHead
from eelgrasslock.log.keyed_log import KeyedRecord
from eelgrasslock.peers.daemon_registry import TOPIC as DAEMONS
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.platform.headers import PlatformMessageCodec
from eelgrasslock.platform.record_decoder import PlatformRecordDecoder
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from platform_fleet import LOOKUPS, PlatformFleet, configuration, wait_until

DEEP = b"[" * 200_000
MANY_DIGITS = "9" * 400
ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:7380",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "born": 1,
}
DAEMON = {"name": "x", "incarnation": "x-1", "domain": "a", "address": "127.0.0.1:1"}


def with_text(values, **fields):
    """Return a JSON object in which some fields have a given text as their value."""
    text = json.dumps({**values, **{name: f"@{name}" for name in fields}})
    for name, value in fields.items():
        text = text.replace(f'"@{name}"', value)
    return text.encode()


ODD_VALUES = {
    "deep": DEEP,
    "deep field": with_text(ENTRY, more="[" * 100_000 + "]" * 100_000),
    "born too large": with_text(ENTRY, born="1e999"),
    "born of many digits": with_text(ENTRY, born=MANY_DIGITS),
    "cold of many digits": with_text(ENTRY, coldLeftMs=MANY_DIGITS),
    "cold is NaN": with_text(ENTRY, coldLeftMs="NaN"),
    "slots too many": with_text(ENTRY, slots="1" + "0" * 30),
    "port 99999": with_text(ENTRY, address='"127.0.0.1:99999"'),
    "port of many digits": with_text(ENTRY, address=f'"127.0.0.1:{MANY_DIGITS[:40]}"'),
    "port 0": with_text(ENTRY, address='"127.0.0.1:0"'),
    "port of other digits": with_text(ENTRY, address='"127.0.0.1:\\u0661\\u00b2"'),
    "long host": with_text(ENTRY, address='"' + "h" * 300 + ':80"'),
    "NUL in host": with_text(ENTRY, address='"a\\u0000b:80"'),
    "surrogate": with_text(ENTRY, service='"\\ud800"'),
    "not UTF-8": b"\xff\xfe\x00",
    "not an object": b"[1, 2]",
    "a number": b"17",
}


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


class TestEndpoints:
    @pytest.mark.parametrize("name", ODD_VALUES)
    def test_an_odd_entry_names_no_endpoint(self, name):
        with pytest.raises(RecordError):
            PlatformRecordDecoder().decode_endpoint("odd", ODD_VALUES[name])

    @pytest.mark.parametrize("key", ["", "i\r\nX: y", "i\u00e9", "i\x00"])
    def test_a_key_that_is_no_header_value_names_no_endpoint(self, key):
        with pytest.raises(RecordError):
            PlatformRecordDecoder().decode_endpoint(key, json.dumps(ENTRY).encode())

    def test_an_endpoint_whose_cold_time_has_passed_is_warm(self):
        value = with_text(ENTRY, coldLeftMs="-5")
        found = PlatformRecordDecoder().decode_endpoint("i-1", value)
        assert found.warmup_seconds == 0.0

    async def test_daemons_follow_and_serve_beside_odd_entries(self, fleet):
        """A daemon stopped following the list, and one that started was never ready."""
        first = await fleet.endpoint()
        daemon = await fleet.ready_daemon([first])
        for name, value in ODD_VALUES.items():
            fleet.store.put("keyed.servers", f"odd {name}", value)
        second = await fleet.endpoint()
        entries = daemon.application.endpoint_registry.entries
        await wait_until(lambda: second.id in entries)
        later = await fleet.ready_daemon([first, second], name="a-2")
        await wait_until(later.application.is_ready)
        for one in (daemon, later):
            for number in range(20):
                assert (await fleet.call(one, f"{LOOKUPS}{number}"))[0] == 200


class TestConfiguration:
    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("timeoutMs", "NaN"),
            ("timeoutMs", "1e999"),
            ("timeoutMs", MANY_DIGITS),
            ("timeoutMs", "-1"),
            ("targetLatencyMs", "Infinity"),
            ("priority", "1e999"),
            ("maxAttempts", "NaN"),
            ("retentionS", MANY_DIGITS),
            ("gapAimMs", "[[]]"),
        ],
    )
    async def test_an_odd_route_keeps_the_version_before(self, fleet, field, value):
        endpoint = await fleet.endpoint()
        daemon = await fleet.ready_daemon([endpoint])
        document = configuration(version=2)
        document["routes"][1][field] = "@odd"
        text = json.dumps(document).replace('"@odd"', value)
        with pytest.raises(RecordError):
            PlatformRecordDecoder().decode_configuration("config", text.encode())
        fleet.configure_raw(text.encode())
        fleet.configure(version=3)
        routing = daemon.application.routing
        await wait_until(lambda: routing.current.version == 3)

    async def test_a_deep_document_keeps_the_version_before(self, fleet):
        endpoint = await fleet.endpoint()
        daemon = await fleet.ready_daemon([endpoint])
        fleet.configure_raw(DEEP)
        fleet.configure(version=3)
        routing = daemon.application.routing
        await wait_until(lambda: routing.current.version == 3)


class TestDaemons:
    ODD: tuple[bytes, ...] = (
        DEEP,
        with_text(DAEMON, name="5"),
        with_text(DAEMON, address="[]"),
        with_text(DAEMON, address='"127.0.0.1:99999"'),
        with_text(DAEMON, incarnation="null"),
        with_text(DAEMON, domain="{}"),
        b"17",
    )

    @pytest.mark.parametrize("number", range(len(ODD)))
    def test_an_odd_entry_names_no_daemon(self, number):
        registry = DaemonRegistry(DaemonEntry(**DAEMON), random.Random(1))
        good = {**DAEMON, "name": "y", "incarnation": "y-1"}
        registry.apply(
            (
                KeyedRecord(key="odd", value=self.ODD[number]),
                KeyedRecord(key="y", value=json.dumps(good).encode()),
            )
        )
        assert set(registry.entries) == {"y"}

    async def test_daemons_find_each_other_beside_odd_entries(self, fleet):
        endpoint = await fleet.endpoint()
        one = await fleet.ready_daemon([endpoint], name="a-1")
        for number, value in enumerate(self.ODD):
            fleet.store.put(DAEMONS, f"odd {number}", value)
        two = await fleet.ready_daemon([endpoint], name="a-2")
        for daemon in (one, two):
            await wait_until(lambda: daemon.application.load_exchange.live_peers)  # noqa: B023


class TestDraws:
    @pytest.mark.parametrize(
        "value",
        [
            DEEP,
            b'[1,"p","i","h",1e999,1]',
            f'[1,"p","i","h",1,-{MANY_DIGITS}]'.encode(),
            f'[1,"p","i","h",{MANY_DIGITS},1]'.encode(),
        ],
    )
    def test_an_odd_record_is_no_draw(self, value):
        with pytest.raises(RecordError):
            decode_draw(value)

    def test_an_odd_id_tells_no_time(self):
        record = f'[1,"p","{"f" * 400}.1","h",1,1]'.encode()
        assert decode_draw(record).made_at is None


class TestUnforeseenErrors:
    async def test_one_record_is_left_out_and_the_others_are_applied(
        self, fleet, monkeypatch
    ):
        """An error that the decoder does not know of ended the follower."""
        decode = PlatformRecordDecoder.decode_endpoint

        def fail_once(self, key, value):
            if key == "odd":
                raise ZeroDivisionError
            return decode(self, key, value)

        monkeypatch.setattr(PlatformRecordDecoder, "decode_endpoint", fail_once)
        fleet.store.put("keyed.servers", "odd", json.dumps(ENTRY).encode())
        first = await fleet.endpoint()
        daemon = await fleet.ready_daemon([first])
        fleet.store.put("keyed.servers", "odd", b"{}")
        second = await fleet.endpoint()
        entries = daemon.application.endpoint_registry.entries
        await wait_until(lambda: second.id in entries)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
# Header values are Latin-1 without line ends.
HEADER_TEXT = st.text(st.characters(max_codepoint=255, exclude_characters="\r\n"))
RESPONSE_HEADERS = (
    "Server-Load",
    "Server-Limit",
    "Server-Leaving",
    "Server-Stamp",
    "Keep-Alive",
    "Retry-After",
    "Content-Length",
    "Connection",
    "Request-Id",
)
REQUEST_HEADERS = (
    "Deadline-Ms",
    "Finish-Ms",
    "Token-Usage",
    "Token-Budget",
    "Prompt-Prefix",
    "Last-Event-Id",
    "Previous-Turn",
    "Cookie",
    "Connection",
)


def encode(value):
    return json.dumps(value).encode("utf-8", "surrogatepass")


class TestFuzzing:
    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(ENTRY)), JSON)
    @example("born", 1e300)
    @example("address", "h:²")
    def test_entries_of_endpoints(self, field, value):
        try:
            found = PlatformRecordDecoder().decode_endpoint(
                "k", encode({**ENTRY, field: value})
            )
        except RecordError:
            return
        assert isinstance(found, EndpointRecord)
        assert 0 < int(found.address.rpartition(":")[2]) < 65_536
        assert 0.0 <= found.warmup_seconds < 1e6
        assert isinstance(hash(found), int)

    @settings(max_examples=300, deadline=None)
    @given(st.binary())
    def test_bytes(self, value):
        for decode in (
            lambda: PlatformRecordDecoder().decode_endpoint("k", value),
            lambda: PlatformRecordDecoder().decode_configuration("config", value),
            lambda: decode_draw(value),
        ):
            try:
                decode()
            except RecordError:
                continue

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 2), st.sampled_from(["timeoutMs", "kind", "service"]), JSON)
    def test_routes(self, number, field, value):
        document = configuration()
        document["routes"][number][field] = value
        try:
            PlatformRecordDecoder().decode_configuration("config", encode(document))
        except RecordError:
            return

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(RESPONSE_HEADERS), HEADER_TEXT)
    def test_headers_of_responses(self, name, value):
        head = ResponseHead(status=200, headers=((name, value),))
        PlatformMessageCodec().decode_response(head, "r")

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(REQUEST_HEADERS), HEADER_TEXT)
    def test_headers_of_requests(self, name, value):
        headers = [("Request-Id", "r"), (name, value)]
        try:
            PlatformMessageCodec().decode_request("GET", "/x", headers, b"", 0.0)
        except Refusal:
            return


def decode_or_refuse(headers):
    """Return the request, None if it is refused as improper."""
    try:
        return PlatformMessageCodec().decode_request("GET", "/x", headers, b"", 0.0)
    except Refusal as refusal:
        if refusal.status != 400:
            raise
        return None


class TestOddHeaders:
    """Superscripts are digits to `str.isdigit`, and no numbers to `int`."""

    @pytest.mark.parametrize("number", ["\xb2", "9" * 400, "9" * 5_000, "-1", "1e999"])
    @pytest.mark.parametrize("name", RESPONSE_HEADERS)
    def test_a_response_is_decoded(self, name, number):
        for value in (number, f"{number},{number},{number}", f"timeout={number}"):
            head = ResponseHead(status=200, headers=((name, value),))
            found = PlatformMessageCodec().decode_response(head, "r")
            assert found.load is None or found.load.running < 10**9
            assert found.retry_after_seconds is None or found.retry_after_seconds < 1e9

    @pytest.mark.parametrize("number", ["\xb2", "9" * 400, "9" * 18, "-1"])
    @pytest.mark.parametrize("name", REQUEST_HEADERS)
    def test_a_request_is_decoded_or_refused(self, name, number):
        for value in (number, f"{number},{number}", f"a:{number}"):
            headers = [("Request-Id", "r"), (name, value)]
            found = decode_or_refuse(headers)
            if found is not None:
                assert sum(part.tokens for part in found.prompt_parts) < 10**9

    @pytest.mark.parametrize("name", ["Request-Id", "Program-Id", "Session-Id"])
    def test_an_id_that_is_no_text_is_refused(self, name):
        """It ended the request with an error inside the daemon."""
        headers = [("Request-Id", "r"), (name, "\udcff")]
        with pytest.raises(Refusal):
            PlatformMessageCodec().decode_request("GET", "/x", headers, b"", 0.0)
