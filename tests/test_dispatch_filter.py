"""Calls of models that the dispatch filter has run."""

import asyncio
import json

import pytest

from dispatch_harness import (
    DispatchHarness,
    dead_url,
    model_exchange,
)
from eelgrasslock.clock import SystemClock
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.calls import CallOutcome
from processes import eventually
from standin_servers import StandinServers


@pytest.fixture
async def servers():
    async with StandinServers() as started:
        yield started


class TestModelCall:
    @pytest.mark.parametrize("stream", [True, False])
    async def test_settles_before_the_last_event(self, servers, stream):
        engine = await servers.engine()
        exchange = model_exchange(stream, stream_options={"include_usage": True})
        seen = []

        async def settle(result):
            seen.append((result, exchange.responder.body))
            exchange.journaled = False

        exchange.before_final.append(settle)
        async with DispatchHarness({"e1": engine.url}) as harness:
            await harness.filter.handle(exchange)
        ((result, sent_before),) = seen
        responder = exchange.responder
        assert responder.finished
        assert result.message["content"].count(" ") == 20
        assert result.tokens == exchange.tokens_used == 20 + result.usage.prompt_tokens
        assert harness.ends() == [CallOutcome.DONE]
        if not stream:
            assert sent_before == b""
            assert json.loads(responder.body) == result.answer
            assert responder.headers["Eelgrass-Journaled"] == "false"
            return
        assert responder.text() == result.message["content"]
        assert b'finish_reason":"stop' not in sent_before
        *_, last, usage, done = responder.events()
        assert json.loads(last)["choices"][0]["finish_reason"] == "stop"
        assert json.loads(last)["eelgrass"]["journaled"] is False
        assert json.loads(usage)["usage"]["completion_tokens"] == 20
        assert done == "[DONE]"

    @pytest.mark.parametrize("stream", [True, False])
    async def test_refusal_takes_the_last_events_place(self, servers, stream):
        engine = await servers.engine()
        exchange = model_exchange(stream)

        async def settle(result):
            raise Refusal("turn_mismatch", "Another turn.", 409, Ran.YES)

        exchange.before_final.append(settle)
        async with DispatchHarness({"e1": engine.url}) as harness:
            with pytest.raises(Refusal):
                await harness.filter.handle(exchange)
        assert exchange.started is stream
        if stream:
            *_, last = exchange.responder.events()
            assert json.loads(last)["error"]["code"] == "turn_mismatch"
            assert exchange.responder.finished
            assert b"[DONE]" not in exchange.responder.body

    @pytest.mark.parametrize("stream", [True, False])
    async def test_goes_on_elsewhere_where_the_answer_broke(self, servers, stream):
        broken = await servers.engine()
        broken.faults.break_streams = 1
        broken.faults.fault_after_events = 7
        broken.faults.forget_streams = True
        other = await servers.engine()
        urls = {"e1": broken.url, "e2": other.url}
        exchange = model_exchange(stream)
        async with DispatchHarness(urls) as harness:
            await harness.filter.handle(exchange)
        assert harness.ends() == [CallOutcome.BROKEN, CallOutcome.DONE]
        if stream:
            assert exchange.responder.text().count(" ") == 20
        prompt_tokens = other.standin.core.prompt_tokens
        assert exchange.tokens_used == (10 + 64) + (prompt_tokens + 20)

    async def test_does_not_mix_two_different_answers(self, servers, monkeypatch):
        broken = await servers.engine()
        broken.faults.break_streams = 1
        broken.faults.fault_after_events = 7
        broken.faults.forget_streams = True
        other = await servers.engine()
        exchange = model_exchange()
        start = other.standin.core.start

        def start_differently(**call):
            return start(**{**call, "model": "another"})

        monkeypatch.setattr(other.standin.core, "start", start_differently)
        async with DispatchHarness({"e1": broken.url, "e2": other.url}) as harness:
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(exchange)
        assert caught.value.code == "answer_broken"
        *_, last = exchange.responder.events()
        assert json.loads(last)["error"]["ran"] == "yes"

    async def test_does_not_retry_the_callers_own_mistake(self, servers):
        engine = await servers.engine(context_tokens=4)
        exchange = model_exchange()
        async with DispatchHarness({"e1": engine.url, "e2": engine.url}) as harness:
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(exchange)
        assert (caught.value.status, caught.value.ran) == (400, Ran.NO)
        assert "prompt" not in caught.value.sentence
        assert harness.ends() == [CallOutcome.REFUSED]
        assert exchange.sent is False
        assert exchange.tokens_used == 0

    async def test_peers_hear_of_a_crash_before_the_next_attempt(self, servers):
        engine = await servers.engine()
        async with DispatchHarness({"e1": engine.url, "e2": engine.url}) as harness:
            complete = harness.engines.complete

            async def crash_once(*arguments):
                harness.engines.complete = complete
                yield {"choices": []}
                raise EndpointFailure("gone", CallOutcome.CRASHED, Ran.UNKNOWN)

            harness.engines.complete = crash_once
            await harness.filter.handle(model_exchange())
        assert harness.ends() == [CallOutcome.CRASHED, CallOutcome.DONE]
        assert harness.ends_when_told == [1]

    @pytest.mark.parametrize(
        "chunk",
        [
            {"choices": "x"},
            {"choices": [{"delta": 3}]},
            {"choices": []},
            {"choices": [{"finish_reason": "stop"}], "usage": 3},
        ],
    )
    async def test_a_malformed_answer_is_a_failed_attempt(self, chunk):
        async with DispatchHarness({"e1": "http://127.0.0.1:9"}, delays=()) as harness:

            async def send(*arguments):
                yield chunk

            harness.engines.complete = send
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(model_exchange(stream=False))
        assert caught.value.code == "endpoint_broken"
        assert harness.ends() == [CallOutcome.BROKEN]

    async def test_upstream_text_does_not_reach_the_caller(self, servers):
        engine = await servers.engine()
        engine.faults.fail = 9
        async with DispatchHarness({"e1": engine.url}) as harness:
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(model_exchange())
        assert "secret" not in caught.value.sentence
        assert caught.value.ran is Ran.UNKNOWN
        assert harness.ends() == [CallOutcome.BROKEN] * 3

    async def test_refused_by_all_has_not_run(self, servers):
        engine = await servers.engine()
        engine.faults.refuse = 9
        engine.faults.retry_after = 6
        exchange = model_exchange()
        async with DispatchHarness({"e1": engine.url}) as harness:
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(exchange)
        assert (caught.value.ran, caught.value.retry_after) == (Ran.NO, 6)
        assert exchange.sent is False
        assert harness.scheduler.ends[0][2] == 6

    async def test_a_later_refusal_does_not_deny_the_first_attempt(self, servers):
        engine = await servers.engine()
        engine.faults.fail = 1
        exchange = model_exchange()
        urls = {"e1": engine.url, "e2": dead_url()}
        async with DispatchHarness(urls, delays=(0.0,)) as harness:
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(exchange)
        assert harness.ends()[-1] is CallOutcome.NOT_SENT
        assert caught.value.ran is Ran.UNKNOWN

    async def test_keeps_retries_inside_the_token_allowance(self, servers):
        engine = await servers.engine()
        engine.faults.fail = 1
        exchange = model_exchange()
        exchange.token_allowance = 2 * (10 + 64) - 1
        async with DispatchHarness({"e1": engine.url}) as harness:
            with pytest.raises(Refusal):
                await harness.filter.handle(exchange)
        assert exchange.tokens_used == 10 + 64

    async def test_a_caller_that_leaves_cancels_at_the_engine(self, servers):
        engine = await servers.engine(scale=1.0)
        exchange = model_exchange()
        exchange.responder.gone_after = 2
        async with DispatchHarness({"e1": engine.url}) as harness:
            with pytest.raises(ConnectionResetError):
                await harness.filter.handle(exchange)
        assert harness.ends() == [CallOutcome.CANCELLED]
        (stream,) = engine.standin.core.streams.values()
        assert stream.cancelled

    async def test_a_cancelled_call_gives_its_endpoint_back(self, servers):
        engine = await servers.engine(scale=100.0)
        async with DispatchHarness({"e1": engine.url}) as harness:
            task = asyncio.create_task(harness.filter.handle(model_exchange()))

            async def begun():
                return bool(engine.standin.core.streams)

            await eventually(begun)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert harness.ends() == [CallOutcome.CANCELLED]

    async def test_ends_at_its_deadline(self, servers):
        engine = await servers.engine(scale=100.0)
        exchange = model_exchange()
        async with DispatchHarness({"e1": engine.url}) as harness:
            exchange.deadline = SystemClock().monotonic() + 0.2
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(exchange)
        assert caught.value.code == "call_timeout"
        assert caught.value.ran is Ran.UNKNOWN
