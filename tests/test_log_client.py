import asyncio
import base64
import contextlib
import json

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from eelgrasslock.endpoints.vm_list import VMKind, VMList, VMListUnavailable, VMState
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.log.log_client import HTTPLog
from eelgrasslock.log.stream_log import Entry

ENTRY = {"offset": 4, "time": 2.5, "data": base64.b64encode(b"abc").decode()}
HANG, DROP = "hang", "drop"


class Platform:
    """A server that answers each call with `answer`: status and body, or a fault."""

    def __init__(self):
        self.answer = (200, "{}")
        self.calls = []
        self.stopped = asyncio.Event()

    async def handle(self, request):
        self.calls.append((request.method, request.path_qs, await request.read()))
        if self.answer == HANG:
            await self.stopped.wait()
        if self.answer == DROP:
            request.transport.abort()
        status, body = self.answer if isinstance(self.answer, tuple) else (200, "")
        return web.Response(status=status, text=body)


@pytest.fixture
async def platform():
    platform = Platform()
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", platform.handle)
    async with TestServer(application) as server, aiohttp.ClientSession() as session:
        platform.url = str(server.make_url("/"))
        platform.log = HTTPLog(platform.url, session, timeout=0.5)
        platform.vm_list = VMList(platform.url, session, timeout=0.5)
        yield platform
        platform.stopped.set()


def json_of(*entries):
    return json.dumps({"entries": list(entries)})


class TestAppend:
    @pytest.mark.parametrize(
        ("answer", "error"),
        [
            ((200, '{"offset": 7}'), None),
            ((201, '{"offset": 7}'), None),
            ((429, ""), LogUnavailable),
            ((503, ""), LogUnavailable),
            ((413, ""), LogUnavailable),
            ((500, ""), AppendUnresolved),
            ((502, ""), AppendUnresolved),
            ((504, ""), AppendUnresolved),
            ((200, "garbage"), AppendUnresolved),
            ((200, "[]"), AppendUnresolved),
            ((200, '{"offset": "7"}'), AppendUnresolved),
            (DROP, AppendUnresolved),
            (HANG, AppendUnresolved),
        ],
    )
    async def test_refusals_and_lost_responses_raise_different_errors(
        self, platform, answer, error
    ):
        platform.answer = answer
        expected = pytest.raises(error) if error else contextlib.nullcontext()
        with expected:
            assert await platform.log.append("journal.a", b"data") == 7
        assert platform.calls == [("POST", "/streams/journal.a", b"data")]

    async def test_a_failed_connection_raises_log_unavailable(self):
        async with aiohttp.ClientSession() as session:
            log = HTTPLog("http://127.0.0.1:1", session)
            with pytest.raises(LogUnavailable):
                await log.append("journal.a", b"data")


class TestRead:
    async def test_returns_entries(self, platform):
        platform.answer = (200, json_of(ENTRY))
        assert await platform.log.read("journal.a", 3, 9) == [Entry(4, b"abc", 2.5)]
        assert platform.calls[0][:2] == ("GET", "/streams/journal.a?from=3&limit=9")

    async def test_expired_records_raise_the_first_offset(self, platform):
        platform.answer = (410, '{"first": 12}')
        with pytest.raises(RecordsExpired) as caught:
            await platform.log.read("journal.a", 3, 9)
        assert caught.value.first == 12

    @pytest.mark.parametrize(
        "answer",
        [
            (503, "{}"),
            (429, ""),
            (410, "{}"),
            (404, "no"),
            (200, "garbage"),
            (200, "{}"),
            (200, "[]"),
            (200, '{"entries": [{}]}'),
            (200, '{"entries": [{"offset": 1, "time": 0, "data": 5}]}'),
            DROP,
            HANG,
        ],
    )
    async def test_faults_raise_unavailable(self, platform, answer):
        platform.answer = answer
        with pytest.raises(LogUnavailable):
            await platform.log.read("journal.a", 3, 9)


class TestVMList:
    async def test_invalid_machines_are_left_out(self, platform):
        good = (
            '{"name": "v1", "address": "10.0.0.1", "domain": "a", "kind": "endpoint",'
            ' "endpoint": "e1", "state": "leaving"}'
        )
        unknown_kind = '{"name": "v2", "kind": "toaster"}'
        platform.answer = (200, f'{{"vms": [{unknown_kind}, {good}, 7]}}')
        (machine,) = await platform.vm_list.fetch()
        assert (machine.kind, machine.state) == (VMKind.ENDPOINT, VMState.LEAVING)
        assert (machine.endpoint, machine.address) == ("e1", "10.0.0.1")

    @pytest.mark.parametrize(
        "answer", [(500, ""), (200, "garbage"), (200, "[]"), (200, "{}"), DROP, HANG]
    )
    async def test_faults_raise_unavailable(self, platform, answer):
        platform.answer = answer
        with pytest.raises(VMListUnavailable):
            await platform.vm_list.fetch()
