import json

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.settings import (
    AliasSettings,
    Configuration,
    LimitSettings,
    ModelSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.exchange import CallClass, Exchange, Request, RequestKind
from eelgrasslock.requests.parse_filter import ParseFilter

CONFIGURATION = Configuration(
    deployment="riga",
    domains=["riga-a"],
    services={
        "hydro-llm": ServiceSettings(kind=ServiceKind.ENGINE),
        "licence-app": ServiceSettings(kind=ServiceKind.PLAIN),
    },
    models={"hydro": ModelSettings(service="hydro-llm", context_tokens=1_000)},
    aliases={"draft": AliasSettings(models=["retired", "hydro"])},
    limits=LimitSettings(body_bytes=10_000),
)
MESSAGES = [{"role": "user", "content": "Assess well 7."}]


class Parsed:
    def __init__(self):
        self.exchange = None

    async def proceed(self, exchange):
        self.exchange = exchange


async def parse(method, path, body=b"", headers=None, configuration=CONFIGURATION):
    clock = ManualClock(100.0)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lower = {name.lower(): value for name, value in (headers or {}).items()}
    request = Request(method=method, path=path, headers=lower, body=data)
    parsed = Parsed()
    exchange = Exchange(request=request, responder=None)
    await ParseFilter(lambda: configuration, clock).handle(exchange, parsed.proceed)
    return parsed.exchange


def call(**changes):
    return {"model": "hydro", "messages": MESSAGES, "max_tokens": 10, **changes}


class TestParseFilter:
    async def test_model_call(self):
        headers = {"Eelgrass-Class": "lookup", "Eelgrass-Deadline": "5"}
        exchange = await parse(
            "POST", "/v1/chat/completions", call(stream=True), headers
        )
        assert exchange.kind is RequestKind.MODEL
        assert exchange.service == "hydro-llm"
        assert exchange.call_class is CallClass.LOOKUP
        assert exchange.deadline == 105.0
        assert exchange.stream
        assert exchange.max_tokens == 10

    async def test_alias_goes_to_its_first_known_model(self):
        exchange = await parse("POST", "/v1/chat/completions", call(model="draft"))
        assert exchange.service == "hydro-llm"

    async def test_plain_call(self):
        exchange = await parse("GET", "/services/licence-app/licences/7")
        assert exchange.kind is RequestKind.PLAIN
        assert (exchange.service, exchange.rest) == ("licence-app", "/licences/7")

    @pytest.mark.parametrize(
        ("method", "path", "kind"),
        [
            ("POST", "/v1/programs", RequestKind.PROGRAM_CREATE),
            ("GET", "/v1/programs/d~i~1", RequestKind.PROGRAM_READ),
            ("DELETE", "/v1/programs/d~i~1", RequestKind.PROGRAM_END),
            ("GET", "/v1/programs/d~i~1/resume", RequestKind.PROGRAM_RESUME),
            ("GET", "/v1/programs/d~i~1/explain", RequestKind.PROGRAM_EXPLAIN),
            ("GET", "/v1/models", RequestKind.MODELS_READ),
        ],
    )
    async def test_program_calls(self, method, path, kind):
        assert (await parse(method, path)).kind is kind

    @pytest.mark.parametrize(
        ("body", "headers", "code", "status"),
        [
            (b"{", {}, "invalid_request", 400),
            (b"\xff\xfe", {}, "invalid_request", 400),
            (b"[" * 5_000, {}, "invalid_request", 400),
            ([], {}, "invalid_request", 400),
            (call(model=""), {}, "invalid_request", 400),
            (call(model="gone"), {}, "unknown_model", 404),
            (call(messages=[]), {}, "invalid_request", 400),
            (call(messages=[{"content": "x"}]), {}, "invalid_request", 400),
            (call(stream="yes"), {}, "invalid_request", 400),
            (call(max_tokens=0), {}, "invalid_request", 400),
            (call(max_tokens=True), {}, "invalid_request", 400),
            (call(max_tokens=2_000), {}, "context_length_exceeded", 400),
            (call(n=2), {}, "invalid_request", 400),
            (b" " * 20_000, {}, "body_too_large", 413),
            (call(), {"Eelgrass-Turn": "-1"}, "invalid_request", 400),
            (call(), {"Eelgrass-Turn": "²"}, "invalid_request", 400),
            (call(), {"Eelgrass-Class": "vip"}, "invalid_request", 400),
            (call(), {"Eelgrass-Deadline": "nan"}, "invalid_request", 400),
            (call(), {"Eelgrass-Program": "7"}, "unknown_program", 404),
        ],
    )
    async def test_bad_input_is_one_clear_refusal(self, body, headers, code, status):
        with pytest.raises(Refusal) as caught:
            await parse("POST", "/v1/chat/completions", body, headers)
        assert (caught.value.code, caught.value.status) == (code, status)
        assert caught.value.ran is Ran.NO

    @pytest.mark.parametrize(
        ("method", "path", "code"),
        [
            ("GET", "/nowhere", "not_found"),
            ("GET", "/v1/programsx", "not_found"),
            ("GET", "/v1/chat/completions", "method_not_allowed"),
            ("GET", "/services/hydro-llm/x", "unknown_service"),
            ("POST", "/services/licence-app/search/../fees", "invalid_request"),
            ("POST", "/services/licence-app/./fees", "invalid_request"),
            ("POST", "/services/licence-app/a/..", "invalid_request"),
            ("PUT", "/v1/programs/d~i~1", "not_found"),
        ],
    )
    async def test_unknown_places(self, method, path, code):
        with pytest.raises(Refusal) as caught:
            await parse(method, path)
        assert caught.value.code == code

    async def test_without_configuration_tells_when_to_come_back(self):
        with pytest.raises(Refusal) as caught:
            await parse("GET", "/v1/models", configuration=None)
        assert caught.value.code == "no_configuration"
        assert caught.value.retry_after
