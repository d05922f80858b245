import asyncio
import json

import pytest

from eelgrasslock.clock import SystemClock
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    LimitSettings,
    MethodSettings,
    ModelSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.service_client import ServiceClient, clean_headers
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.attempts import DispatchParts
from eelgrasslock.requests.dispatch_filter import DispatchFilter
from eelgrasslock.requests.exchange import Exchange, Request, RequestKind
from eelgrasslock.scheduling.calls import CallEnd
from eelgrasslock.scheduling.dispatch import Dispatcher
from fake_scheduler import FakeScheduler
from processes import eventually, free_ports
from standin_servers import StandinServers

MESSAGES = [{"role": "user", "content": "How deep? [tokens=20]"}]
LIMITS = LimitSettings(progress_seconds=0.3, call_seconds=20.0)
METHODS = [
    MethodSettings(method="GET", path="/status/*", idempotent=True, urgent=True),
    MethodSettings(method="PUT", path="/drafts/*", idempotent=True),
]


class CollectingResponder:
    """Keeps what a caller would get."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = {}
        self.body = b""
        self.writes = 0
        self.finished = False
        self.gone_after = None

    async def start(self, status, headers):
        assert self.status == 0
        self.status = status
        self.headers = headers

    async def write(self, chunk):
        assert not self.finished
        if self.writes == self.gone_after:
            raise ConnectionResetError("The caller is gone.")
        self.writes += 1
        self.body += chunk

    async def finish(self):
        assert not self.finished
        self.finished = True

    def events(self):
        parts = self.body.decode().split("\n\n")[:-1]
        return [part.removeprefix("data: ") for part in parts]

    def text(self):
        chunks = [json.loads(event) for event in self.events() if event != "[DONE]"]
        choices = [one for chunk in chunks for one in chunk.get("choices", [])]
        return "".join(one["delta"].get("content") or "" for one in choices)


class Bench:
    """A dispatch filter before stand-ins."""

    def __init__(self, urls, delays=(0.0, 0.0), kind=ServiceKind.ENGINE) -> None:
        self.scheduler = FakeScheduler(list(urls), delays=delays)
        endpoints = {
            name: EndpointSettings(service="s", domain="riga-a", url=url)
            for name, url in urls.items()
        }
        self.configuration = Configuration(
            deployment="riga",
            domains=["riga-a"],
            services={"s": ServiceSettings(kind=kind, methods=METHODS)},
            models={"hydro": ModelSettings(service="s")},
            endpoints=endpoints,
            limits=LIMITS,
        )
        clock = SystemClock()
        self.engines = EngineClient(clock, lambda: self.configuration)
        self.services = ServiceClient(clock, lambda: self.configuration)
        self.dispatcher = Dispatcher(self.scheduler, clock)
        parts = DispatchParts(
            dispatcher=self.dispatcher,
            engines=self.engines,
            services=self.services,
            configuration=lambda: self.configuration,
            clock=clock,
            tell_peers=self._tell_peers,
        )
        self.filter = DispatchFilter(parts)
        self.ends_when_told = []

    async def _tell_peers(self):
        self.ends_when_told.append(len(self.scheduler.ends))

    async def __aenter__(self):
        await self.dispatcher.start()
        return self

    async def __aexit__(self, *details):
        await self.dispatcher.stop()
        await self.engines.stop()
        await self.services.stop()

    def ends(self):
        return [end for _, end, _ in self.scheduler.ends]


def model_exchange(stream=True, messages=MESSAGES, **body):
    return Exchange(
        request=Request(method="POST", path="/v1/chat/completions"),
        responder=CollectingResponder(),
        kind=RequestKind.MODEL,
        body={"model": "hydro", "messages": messages, "stream": stream, **body},
        model="hydro",
        service="s",
        stream=stream,
        prompt_tokens=10,
        max_tokens=64,
    )


def plain_exchange(method, path, headers=None):
    return Exchange(
        request=Request(
            method=method, path="/services/s" + path, headers=headers or {}, body=b"{}"
        ),
        responder=CollectingResponder(),
        kind=RequestKind.PLAIN,
        service="s",
        rest=path,
    )


@pytest.fixture
async def servers():
    async with StandinServers() as started:
        yield started


def dead_url():
    return f"http://127.0.0.1:{free_ports(1)[0]}"


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
        async with Bench({"e1": engine.url}) as bench:
            await bench.filter.handle(exchange)
        ((result, sent_before),) = seen
        responder = exchange.responder
        assert responder.finished
        assert result.message["content"].count(" ") == 20
        assert result.tokens == exchange.tokens_used == 20 + result.usage.prompt_tokens
        assert bench.ends() == [CallEnd.DONE]
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
        async with Bench({"e1": engine.url}) as bench:
            with pytest.raises(Refusal):
                await bench.filter.handle(exchange)
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
        async with Bench(urls) as bench:
            await bench.filter.handle(exchange)
        assert bench.ends() == [CallEnd.BROKEN, CallEnd.DONE]
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
        async with Bench({"e1": broken.url, "e2": other.url}) as bench:
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(exchange)
        assert caught.value.code == "answer_broken"
        *_, last = exchange.responder.events()
        assert json.loads(last)["error"]["ran"] == "yes"

    async def test_does_not_retry_the_callers_own_mistake(self, servers):
        engine = await servers.engine(context_tokens=4)
        exchange = model_exchange()
        async with Bench({"e1": engine.url, "e2": engine.url}) as bench:
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(exchange)
        assert (caught.value.status, caught.value.ran) == (400, Ran.NO)
        assert "prompt" not in caught.value.sentence
        assert bench.ends() == [CallEnd.REFUSED]
        assert exchange.sent is False
        assert exchange.tokens_used == 0

    async def test_peers_hear_of_a_crash_before_the_next_attempt(self, servers):
        engine = await servers.engine()
        async with Bench({"e1": engine.url, "e2": engine.url}) as bench:
            complete = bench.engines.complete

            async def crash_once(*arguments):
                bench.engines.complete = complete
                yield {"choices": []}
                raise EndpointFailure("gone", CallEnd.CRASHED, Ran.UNKNOWN)

            bench.engines.complete = crash_once
            await bench.filter.handle(model_exchange())
        assert bench.ends() == [CallEnd.CRASHED, CallEnd.DONE]
        assert bench.ends_when_told == [1]

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
        async with Bench({"e1": "http://127.0.0.1:9"}, delays=()) as bench:

            async def send(*arguments):
                yield chunk

            bench.engines.complete = send
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(model_exchange(stream=False))
        assert caught.value.code == "endpoint_broken"
        assert bench.ends() == [CallEnd.BROKEN]

    async def test_upstream_text_does_not_reach_the_caller(self, servers):
        engine = await servers.engine()
        engine.faults.fail = 9
        async with Bench({"e1": engine.url}) as bench:
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(model_exchange())
        assert "secret" not in caught.value.sentence
        assert caught.value.ran is Ran.UNKNOWN
        assert bench.ends() == [CallEnd.BROKEN] * 3

    async def test_refused_by_all_has_not_run(self, servers):
        engine = await servers.engine()
        engine.faults.refuse = 9
        engine.faults.retry_after = 6
        exchange = model_exchange()
        async with Bench({"e1": engine.url}) as bench:
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(exchange)
        assert (caught.value.ran, caught.value.retry_after) == (Ran.NO, 6)
        assert exchange.sent is False
        assert bench.scheduler.ends[0][2] == 6

    async def test_a_later_refusal_does_not_deny_the_first_attempt(self, servers):
        engine = await servers.engine()
        engine.faults.fail = 1
        exchange = model_exchange()
        urls = {"e1": engine.url, "e2": dead_url()}
        async with Bench(urls, delays=(0.0,)) as bench:
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(exchange)
        assert bench.ends()[-1] is CallEnd.NOT_SENT
        assert caught.value.ran is Ran.UNKNOWN

    async def test_keeps_retries_inside_the_token_allowance(self, servers):
        engine = await servers.engine()
        engine.faults.fail = 1
        exchange = model_exchange()
        exchange.token_allowance = 2 * (10 + 64) - 1
        async with Bench({"e1": engine.url}) as bench:
            with pytest.raises(Refusal):
                await bench.filter.handle(exchange)
        assert exchange.tokens_used == 10 + 64

    async def test_a_caller_that_leaves_cancels_at_the_engine(self, servers):
        engine = await servers.engine(scale=1.0)
        exchange = model_exchange()
        exchange.responder.gone_after = 2
        async with Bench({"e1": engine.url}) as bench:
            with pytest.raises(ConnectionResetError):
                await bench.filter.handle(exchange)
        assert bench.ends() == [CallEnd.CANCELLED]
        (stream,) = engine.standin.core.streams.values()
        assert stream.cancelled

    async def test_a_cancelled_call_gives_its_endpoint_back(self, servers):
        engine = await servers.engine(scale=100.0)
        async with Bench({"e1": engine.url}) as bench:
            task = asyncio.create_task(bench.filter.handle(model_exchange()))

            async def begun():
                return bool(engine.standin.core.streams)

            await eventually(begun)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert bench.ends() == [CallEnd.CANCELLED]

    async def test_ends_at_its_deadline(self, servers):
        engine = await servers.engine(scale=100.0)
        exchange = model_exchange()
        async with Bench({"e1": engine.url}) as bench:
            exchange.deadline = SystemClock().monotonic() + 0.2
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(exchange)
        assert caught.value.code == "call_timeout"
        assert caught.value.ran is Ran.UNKNOWN


class TestPlainCall:
    async def test_a_single_call_is_forgotten_and_a_programs_is_not(self, servers):
        service = await servers.service()
        exchanges = [plain_exchange("GET", "/licences/7", {}) for _ in range(2)]
        exchanges[1].program = "a~d~1"
        async with Bench({"a1": service.url}, kind=ServiceKind.PLAIN) as bench:
            for exchange in exchanges:
                await bench.filter.handle(exchange)
            single, _ = bench.scheduler.calls
            assert bench.scheduler.ended == [single.program]

    async def test_passes_a_posting_through_once(self, servers):
        service = await servers.service()
        headers = {
            "idempotency-key": "fee-1",
            "eelgrass-secret": "hidden",
            "connection": "x-hop",
            "x-hop": "1",
            "content-type": "application/json",
        }
        exchange = plain_exchange("POST", "/fees", headers)
        async with Bench({"a1": service.url}, kind=ServiceKind.PLAIN) as bench:
            await bench.filter.handle(exchange)
        (posting,) = service.standin.postings
        names = {name.lower() for name in posting.headers}
        assert posting.action == "fee-1"
        assert not names & {"eelgrass-secret", "x-hop", "connection: x-hop"}
        assert exchange.responder.status == 201
        assert json.loads(exchange.responder.body)["number"] == 1
        assert exchange.sent is True

    @pytest.mark.parametrize(
        ("faults", "ran", "sent", "postings"),
        [
            ({"lose_answers": 1}, Ran.UNKNOWN, True, 1),
            ({"lose_requests": 1}, Ran.UNKNOWN, True, 0),
            ({"fail": 1}, Ran.UNKNOWN, True, 1),
            ({"outage": True}, Ran.UNKNOWN, True, 0),
            ({"refuse": 1}, Ran.NO, True, 0),
        ],
    )
    async def test_never_sends_a_posting_twice(
        self, servers, faults, ran, sent, postings
    ):
        service = await servers.service()
        for name, value in faults.items():
            setattr(service.faults, name, value)
        exchange = plain_exchange("POST", "/fees")
        urls = {"a1": service.url, "a2": service.url}
        async with Bench(urls, kind=ServiceKind.PLAIN) as bench:
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(exchange)
        assert caught.value.ran is ran
        assert exchange.sent is sent
        assert len(service.standin.postings) == postings
        assert len(bench.scheduler.ends) == 1

    async def test_tries_elsewhere_where_nothing_was_sent(self, servers):
        service = await servers.service()
        exchange = plain_exchange("POST", "/fees")
        urls = {"a1": dead_url(), "a2": service.url}
        async with Bench(urls, kind=ServiceKind.PLAIN) as bench:
            await bench.filter.handle(exchange)
        assert bench.ends() == [CallEnd.NOT_SENT, CallEnd.DONE]
        assert len(service.standin.postings) == 1

    async def test_nothing_sent_is_not_run(self):
        exchange = plain_exchange("POST", "/fees")
        async with Bench({"a1": dead_url()}, kind=ServiceKind.PLAIN) as bench:
            with pytest.raises(Refusal) as caught:
                await bench.filter.handle(exchange)
        assert (caught.value.ran, exchange.sent) == (Ran.NO, False)

    @pytest.mark.parametrize(
        ("method", "path", "faults"),
        [
            ("GET", "/status/7", {"lose_answers": 1}),
            ("GET", "/status/7", {"fail": 1}),
            ("PUT", "/drafts/7", {"refuse": 1}),
        ],
    )
    async def test_tries_an_idempotent_request_again(
        self, servers, method, path, faults
    ):
        service = await servers.service()
        for name, value in faults.items():
            setattr(service.faults, name, value)
        exchange = plain_exchange(method, path)
        urls = {"a1": service.url, "a2": service.url}
        async with Bench(urls, kind=ServiceKind.PLAIN) as bench:
            await bench.filter.handle(exchange)
        assert exchange.responder.status in (200, 201)
        assert len(bench.ends()) == 2

    async def test_a_put_is_not_repeated_by_the_library(self, servers):
        service = await servers.service()
        async with Bench({"a1": service.url}, kind=ServiceKind.PLAIN) as bench:
            await bench.filter.handle(plain_exchange("PUT", "/licences/1"))
            service.faults.lose_answers = 1
            with pytest.raises(Refusal):
                await bench.filter.handle(plain_exchange("PUT", "/licences/2"))
        assert [one.path for one in service.standin.postings] == [
            "/licences/1",
            "/licences/2",
        ]


class TestCleanHeaders:
    def test_drops_what_belongs_to_one_connection(self):
        headers = {
            "Connection": "keep-alive, X-Token",
            "X-Token": "1",
            "Transfer-Encoding": "chunked",
            "Eelgrass-Turn": "3",
            "Accept": "text/plain",
        }
        assert clean_headers(headers) == {"Accept": "text/plain"}
