import asyncio
import contextlib

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from loguru import logger

from eelgrasslock.clock import SystemClock
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    LimitSettings,
)
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.engine_messages import EngineOrder
from eelgrasslock.exceptions import Ran
from eelgrasslock.scheduling.calls import CallOutcome
from processes import Processes, eventually, free_ports
from standin_servers import StandinServers

PROGRESS_SECONDS = 0.3
BODY = {
    "model": "hydro",
    "messages": [{"role": "user", "content": "How deep? [tokens=20]"}],
    "max_tokens": 64,
}


def configuration(url="", credential_env=""):
    endpoint = EndpointSettings(
        service="hydro-llm", domain="riga-a", url=url, credential_env=credential_env
    )
    return Configuration(
        deployment="riga",
        domains=["riga-a"],
        endpoints={"e1": endpoint},
        limits=LimitSettings(progress_seconds=PROGRESS_SECONDS),
    )


@pytest.fixture
async def servers():
    async with StandinServers() as started:
        yield started


@pytest.fixture
async def client():
    made = EngineClient(SystemClock(), configuration)
    yield made
    await made.stop()


async def chunks_of(client, url, body=BODY, program=""):
    return [chunk async for chunk in client.complete(url, body, program)]


def text_of(chunks):
    choices = [choice for chunk in chunks for choice in chunk["choices"]]
    return "".join(choice["delta"].get("content") or "" for choice in choices)


async def restarted_during(client, engine):
    async for _ in client.complete(engine.url, BODY):
        engine.standin.core.epoch = "restarted"


class TestResume:
    @pytest.mark.parametrize(
        "faults",
        [
            {"break_streams": 1, "fault_after_events": 0},
            {"break_streams": 1, "fault_after_events": 5},
            {"break_streams": 4, "fault_after_events": 5},
            {"silent_streams": 1, "fault_after_events": 0},
            {"silent_streams": 1, "fault_after_events": 5},
            {"silent_streams": 2, "fault_after_events": 5},
        ],
    )
    async def test_no_event_is_lost_or_doubled(self, servers, client, faults):
        whole = await servers.engine()
        faulty = await servers.engine()
        for name, value in faults.items():
            setattr(faulty.faults, name, value)
        expected = text_of(await chunks_of(client, whole.url))
        chunks = await chunks_of(client, faulty.url)
        assert text_of(chunks) == expected
        assert len(expected) == 20 * 4
        assert chunks[-1]["usage"]["completion_tokens"] == 20
        assert client.resumed >= 1
        assert faulty.standin.core.calls == 1


class TestBlame:
    @pytest.mark.parametrize(
        ("faults", "end", "ran"),
        [
            ({"refuse": 1}, CallOutcome.REFUSED, Ran.NO),
            ({"leaving": True}, CallOutcome.REFUSED, Ran.NO),
            ({"fail": 1}, CallOutcome.BROKEN, Ran.UNKNOWN),
            ({"hang": True}, CallOutcome.SILENT, Ran.UNKNOWN),
            (
                {"break_streams": 1, "forget_streams": True},
                CallOutcome.BROKEN,
                Ran.UNKNOWN,
            ),
            (
                {"silent_streams": 9, "fault_after_events": 0},
                CallOutcome.SILENT,
                Ran.UNKNOWN,
            ),
            (
                {"break_streams": 9, "fault_after_events": 0},
                CallOutcome.BROKEN,
                Ran.UNKNOWN,
            ),
        ],
    )
    async def test_tells_how_a_call_failed(self, servers, client, faults, end, ran):
        engine = await servers.engine()
        for name, value in faults.items():
            setattr(engine.faults, name, value)
        with pytest.raises(EndpointFailure) as caught:
            await chunks_of(client, engine.url)
        assert (caught.value.end, caught.value.ran) == (end, ran)

    async def test_refusal_says_when_to_come_back(self, servers, client):
        engine = await servers.engine()
        engine.faults.refuse = 1
        engine.faults.retry_after = 7
        with pytest.raises(EndpointFailure) as caught:
            await chunks_of(client, engine.url)
        assert caught.value.retry_after == 7

    async def test_nothing_is_sent_where_nothing_listens(self, client):
        (port,) = free_ports(1)
        with pytest.raises(EndpointFailure) as caught:
            await chunks_of(client, f"http://127.0.0.1:{port}")
        assert (caught.value.end, caught.value.ran) == (CallOutcome.NOT_SENT, Ran.NO)

    async def test_a_bad_request_is_its_callers_fault(self, servers, client):
        engine = await servers.engine()
        with pytest.raises(EndpointFailure) as caught:
            await chunks_of(client, engine.url, {"model": "hydro", "messages": []})
        assert caught.value.callers_fault
        engine.faults.fail = 1
        with pytest.raises(EndpointFailure) as caught:
            await chunks_of(client, engine.url)
        assert not caught.value.callers_fault

    async def test_a_crash_is_told_from_a_cut(self, client, tmp_path):
        async with Processes(tmp_path) as processes:
            engine = await processes.standin("engine", "--time-scale", "0.01")
            marked = {**BODY, "messages": [{"role": "user", "content": "[crash]"}]}
            with pytest.raises(EndpointFailure) as caught:
                await chunks_of(client, engine.url, marked)
        assert caught.value.end is CallOutcome.CRASHED

    async def test_a_process_that_still_dies_is_told_from_a_cut(self, client):
        """It drops the call, and the first probe with the library's repeat of it."""
        dropped = []

        async def drop(reader, writer):
            dropped.append(await reader.read(1))
            if len(dropped) == 3:
                server.close()
            writer.close()

        server = await asyncio.start_server(drop, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(EndpointFailure) as caught:
            await chunks_of(client, f"http://127.0.0.1:{port}")
        assert caught.value.end is CallOutcome.CRASHED
        assert caught.value.ran is Ran.UNKNOWN

    async def test_a_restart_is_told_from_a_cut(self, servers, client):
        engine = await servers.engine()
        await client.load(engine.url)
        engine.faults.break_streams = 1
        engine.faults.forget_streams = True
        with pytest.raises(EndpointFailure) as caught:
            await restarted_during(client, engine)
        assert caught.value.end is CallOutcome.CRASHED


class TestCancel:
    async def test_closing_the_iterator_cancels_at_the_engine(self, servers, client):
        engine = await servers.engine(scale=1.0)
        async with contextlib.aclosing(client.complete(engine.url, BODY)) as chunks:
            await anext(chunks)

        async def cancelled():
            streams = engine.standin.core.streams.values()
            return all(stream.cancelled for stream in streams)

        await eventually(cancelled, 5.0)


class TestOrders:
    async def test_old_fencing_numbers_are_reported(self, servers, client):
        engine = await servers.engine()
        engine.faults.checks_fencing = True
        order = EngineOrder(kind="model", value="hydro", fence=5)
        older = EngineOrder(kind="model", value="other", fence=4)
        assert await client.order(engine.url, order)
        assert not await client.order(engine.url, older)

    async def test_releases_what_a_program_holds(self, servers, client):
        engine = await servers.engine()
        await chunks_of(client, engine.url, program="riga-a~i1~0f")
        assert await client.sessions(engine.url) == ["riga-a~i1~0f"]
        assert await client.release(engine.url, "riga-a~i1~0f", 3)
        assert await client.sessions(engine.url) == []

    async def test_moves_blocks(self, servers, client):
        one = await servers.engine()
        other = await servers.engine()
        long = [{"role": "user", "content": "x" * 1_000}]
        await chunks_of(client, one.url, {**BODY, "messages": long}, program="p1")
        blocks = await client.export_kv(one.url, "p1")
        assert len(blocks) >= 15
        assert await client.import_kv(other.url, "p1", blocks) == len(blocks)


class TestNews:
    async def test_reads_load_and_cache_events(self, servers, client):
        engine = await servers.engine()
        engine.faults.event_lag_seconds = 0.0
        engine.faults.event_loss = 0.0
        long = [{"role": "user", "content": "x" * 1_000}]
        await chunks_of(client, engine.url, {**BODY, "messages": long})
        load = await client.load(engine.url)
        assert (load.report.running, load.leaving) == (0, False)
        news = await client.cache_events(engine.url, -1)
        assert news.epoch == load.epoch
        assert news.events[0].number == 1
        assert len(news.events[0].stored) == 15

    @pytest.mark.parametrize(
        "answer", ["[]", "{}", '{"running": "many"}', "no JSON", '{"events": 3}']
    )
    async def test_a_malformed_answer_is_a_failure(self, client, answer):
        async def reply(request):
            return web.Response(text=answer, content_type="application/json")

        app = web.Application()
        app.router.add_get("/{path:.*}", reply)
        async with TestServer(app) as server:
            url = str(server.make_url("")).rstrip("/")
            reads = (
                client.load(url),
                client.cache_events(url, 0),
                client.sessions(url),
            )
            for read in reads:
                with pytest.raises(EndpointFailure):
                    await read


class TestCredentials:
    async def test_reach_the_engine_and_no_log_or_error(self, servers, monkeypatch):
        engine = await servers.engine(credential="s3cr3t-value")
        monkeypatch.setenv("HYDRO_KEY", "s3cr3t-value")
        client = EngineClient(
            SystemClock(), lambda: configuration(engine.url, "HYDRO_KEY")
        )
        lines = []
        sink = logger.add(lines.append, level="TRACE")
        try:
            engine.faults.break_streams = 1
            assert text_of(await chunks_of(client, engine.url))
            monkeypatch.setenv("HYDRO_KEY", "wr0ng-value")
            with pytest.raises(EndpointFailure) as caught:
                await chunks_of(client, engine.url)
        finally:
            logger.remove(sink)
            await client.stop()
        assert caught.value.status == 401
        told = f"{caught.value!r}{''.join(map(str, lines))}"
        assert "s3cr3t" not in told
        assert "wr0ng" not in told
