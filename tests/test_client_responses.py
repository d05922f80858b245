"""The clients of engines, services, log and daemons read only whole answers."""

import asyncio
import json
import random
import time

import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.configuration.settings import Configuration, LimitSettings
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.engine_messages import EngineOrder
from eelgrasslock.endpoints.service_client import PlainRequest, ServiceClient
from eelgrasslock.endpoints.vm_list import VMList, VMListUnavailable
from eelgrasslock.endpoints.weight_client import WeightClient
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, Ran
from eelgrasslock.http.client_session import open_session
from eelgrasslock.http.messages import Framing
from eelgrasslock.log.log_client import HTTPLog
from eelgrasslock.operators import operator_client
from eelgrasslock.operators.operator_client import DaemonUnreachable, OperatorClient
from eelgrasslock.operators.operator_views import ErrorView
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock_standins.raw_server import Ending, RawAnswer, RawServer, frame
from hold_ups import running_seconds

SECONDS = 0.5
LETTERS = b"a" * 4_096
MAX_SENT_BYTES = 128 * 1_048_576
JSON_TYPE = "Content-Type: application/json\r\n"
LOAD = json.dumps({"running": 1, "queued": 0, "time": 5.0}).encode()
ENTRIES = json.dumps({"entries": [{"offset": 1, "data": "YQ==", "time": 5.0}]}).encode()


def configuration():
    return Configuration(
        deployment="riga",
        domains=["riga-a"],
        limits=LimitSettings(progress_seconds=SECONDS),
    )


@pytest.fixture
async def serve():
    """Give a function that starts a server with one answer."""
    servers = []

    async def start(answer):
        server = RawServer(answer=answer)
        await server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        await server.stop()


class InstantClock(SystemClock):
    async def sleep(self, seconds):
        await asyncio.sleep(0)


async def from_service(url):
    client = ServiceClient(SystemClock())
    request = PlainRequest(method="POST", path="/x", body=b"x")
    try:
        answer = await client.send(url, request, SECONDS, lambda: None)
    finally:
        await client.stop()
    return answer.body


async def from_weights(url):
    async with open_session() as session:
        client = WeightClient(url, session, InstantClock(), random.Random(1))
        async with asyncio.timeout(SECONDS):
            return await client.size("m")


async def from_engine(url):
    client = EngineClient(SystemClock(), configuration)
    try:
        return await client.load(url)
    finally:
        await client.stop()


async def from_engine_order(url):
    client = EngineClient(SystemClock(), configuration)
    try:
        return await client.order(url, EngineOrder(kind="k", value="v", fence=1))
    finally:
        await client.stop()


async def from_log(url):
    async with open_session() as session:
        return await HTTPLog(url, session, SECONDS).read("s", 0, 10)


async def from_append(url):
    async with open_session() as session:
        return await HTTPLog(url, session, SECONDS).append("s", b"x")


async def from_vm_list(url):
    async with open_session() as session:
        return await VMList(url, session, SECONDS).fetch()


async def from_daemon(url):
    return await asyncio.to_thread(OperatorClient(url, "").get, "/x", ErrorView)


async def assert_error_in_time(server, call, error):
    started = time.monotonic()
    with pytest.raises(error):
        await call(f"http://{server.address}")
    assert running_seconds(started) < 3.0
    assert server.sent_bytes < MAX_SENT_BYTES


FAILURE = (EndpointFailure, TimeoutError)
CALLS = [
    pytest.param(from_service, b"a fee was posted", FAILURE, id="service"),
    pytest.param(from_weights, b"weights" * 9, FAILURE, id="weights"),
    pytest.param(from_engine, LOAD, FAILURE, id="engine"),
    pytest.param(from_engine_order, b'{"taken": true}', FAILURE, id="order"),
    pytest.param(from_log, ENTRIES, LogUnavailable, id="log"),
    pytest.param(from_append, b'{"offset": 123}', AppendUnresolved, id="append"),
    pytest.param(from_vm_list, b'{"vms": []}', VMListUnavailable, id="vms"),
    pytest.param(
        from_daemon,
        b'{"code": "c", "sentence": "s"}',
        DaemonUnreachable,
        id="daemon",
    ),
]


@pytest.mark.parametrize(("call", "body", "error"), CALLS)
class TestBrokenOffAnswers:
    @pytest.mark.parametrize("framing", list(Framing))
    async def test_a_whole_answer_is_read(self, serve, call, body, error, framing):
        server = await serve(RawAnswer(data=frame(body, framing, more=JSON_TYPE)))
        await call(f"http://{server.address}")

    @pytest.mark.parametrize("framing", list(Framing))
    async def test_an_answer_that_is_reset_is_not_read(
        self, serve, call, body, error, framing
    ):
        # A reset was taken for the end of an answer without a length.
        data = frame(body, framing, more=JSON_TYPE)
        missing = 0 if framing is Framing.CLOSE else 4
        answer = RawAnswer(data=data[: len(data) - missing], ending=Ending.RESET)
        server = await serve(answer)
        with pytest.raises(error):
            await call(f"http://{server.address}")

    @pytest.mark.parametrize("ending", [Ending.FIN, Ending.HALF_CLOSE])
    @pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
    async def test_an_answer_short_of_its_framing_is_not_read(
        self, serve, call, body, error, framing, ending
    ):
        data = frame(body, framing, more=JSON_TYPE)[:-4]
        server = await serve(RawAnswer(data=data, ending=ending))
        with pytest.raises(error):
            await call(f"http://{server.address}")

    @pytest.mark.parametrize("framing", list(Framing))
    async def test_an_answer_that_goes_silent_is_not_read(
        self, serve, monkeypatch, call, body, error, framing
    ):
        monkeypatch.setattr(operator_client, "_TIMEOUT_SECONDS", SECONDS)
        data = frame(body, framing, more=JSON_TYPE)[:-1]
        server = await serve(RawAnswer(data=data, ending=Ending.SILENCE))
        with pytest.raises(error):
            await call(f"http://{server.address}")

    @pytest.mark.parametrize(
        ("data", "filler"),
        [
            pytest.param(b"", LETTERS, id="no HTTP"),
            pytest.param(b"HTTP/1.1 200 OK\r\nX-A: ", LETTERS, id="header line"),
            pytest.param(b"HTTP/1.1 200 OK\r\n", b"X: b\r\n" * 512, id="header lines"),
        ],
    )
    async def test_bytes_without_end_are_an_error(
        self, serve, call, body, error, data, filler
    ):
        answer = RawAnswer(data=data, ending=Ending.ENDLESS, filler=filler)
        await assert_error_in_time(await serve(answer), call, error)


BUFFERED_CALLS = [one for one in CALLS if one.id != "weights"]
JSON_CALLS = [one for one in BUFFERED_CALLS if one.id != "service"]


@pytest.mark.parametrize(("call", "body", "error"), BUFFERED_CALLS)
async def test_a_body_without_end_is_an_error(serve, call, body, error):
    data = frame(b"", Framing.CLOSE, more=JSON_TYPE)
    answer = RawAnswer(data=data, ending=Ending.ENDLESS, filler=LETTERS)
    await assert_error_in_time(await serve(answer), call, error)


async def test_weights_without_end_are_counted_until_the_timeout(serve):
    data = frame(b"", Framing.CLOSE)
    answer = RawAnswer(data=data, ending=Ending.ENDLESS, filler=LETTERS)
    server = await serve(answer)
    started = time.monotonic()
    with pytest.raises(TimeoutError):
        await from_weights(f"http://{server.address}")
    assert running_seconds(started) < 2.0


@pytest.mark.parametrize("missing", [1, 3])
@pytest.mark.parametrize(("call", "body", "error"), JSON_CALLS)
async def test_json_cut_by_an_orderly_end_is_not_read(
    serve, call, body, error, missing
):
    data = frame(body[:-missing], Framing.CLOSE, more=JSON_TYPE)
    server = await serve(RawAnswer(data=data))
    with pytest.raises(error):
        await call(f"http://{server.address}")


class TestRefusals:
    @pytest.mark.parametrize("call", [from_engine, from_weights])
    @pytest.mark.parametrize("ending", [Ending.ENDLESS, Ending.SILENCE, Ending.RESET])
    async def test_a_refusal_is_read_without_its_whole_body(self, serve, call, ending):
        data = frame(b"busy", Framing.CLOSE, status=413)
        server = await serve(RawAnswer(data=data, ending=ending, filler=LETTERS))
        with pytest.raises(EndpointFailure) as info:
            await call(f"http://{server.address}")
        assert (info.value.status, info.value.ran) == (413, Ran.NO)
        assert server.sent_bytes < MAX_SENT_BYTES


EVENTS = b'id: 0\ndata: {"n": 0}\n\nid: 1\ndata: {"n": 1}\n\nid: 2\ndata: [DONE]\n\n'
STREAM = "X-Stream-Id: s1\r\nX-Engine-Epoch: e\r\n"


class TestEngineStreams:
    async def chunks(self, server):
        client = EngineClient(SystemClock(), configuration)
        try:
            url = f"http://{server.address}"
            return [one["n"] async for one in client.complete(url, {})]
        finally:
            await client.stop()

    @pytest.mark.parametrize("framing", list(Framing))
    async def test_a_whole_stream_is_read(self, serve, framing):
        server = await serve(RawAnswer(data=frame(EVENTS, framing, more=STREAM)))
        assert await self.chunks(server) == [0, 1]

    @pytest.mark.parametrize(
        "ending", [Ending.FIN, Ending.HALF_CLOSE, Ending.RESET, Ending.SILENCE]
    )
    @pytest.mark.parametrize("missing", [1, 2, 16, 30, len(EVENTS)])
    async def test_a_broken_off_stream_is_resumed(self, serve, missing, ending):
        whole = RawAnswer(data=frame(EVENTS, Framing.CLOSE, more=STREAM))
        server = await serve(whole)
        data = frame(EVENTS[:-missing], Framing.CLOSE, more=STREAM)
        server.queued.append(RawAnswer(data=data, ending=ending))
        assert await self.chunks(server) == [0, 1]
        assert server.runs[1].target.startswith("/v1/streams/s1?from=")

    @pytest.mark.parametrize(
        ("data", "filler"),
        [
            pytest.param(b"data: ", LETTERS, id="line"),
            pytest.param(b"", b"data: " + LETTERS + b"\n", id="data lines"),
            pytest.param(b"", b": " + LETTERS + b"\n\n", id="comments"),
            pytest.param(b"", b'id: 0\ndata: {"n": 0}\n\n' * 99, id="events of before"),
        ],
    )
    async def test_bytes_without_end_are_a_failure(self, serve, data, filler):
        head = frame(b"", Framing.CLOSE, more=STREAM)
        server = await serve(
            RawAnswer(data=head + data, ending=Ending.ENDLESS, filler=filler)
        )
        started = time.monotonic()
        with pytest.raises(EndpointFailure) as info:
            await self.chunks(server)
        assert info.value.end in (CallOutcome.BROKEN, CallOutcome.SILENT)
        assert running_seconds(started) < 12.0
