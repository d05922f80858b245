"""A dispatch filter with real endpoints, and the exchanges it is given."""

import json

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
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.service_client import ServiceClient
from eelgrasslock.requests.attempts import DispatchParts
from eelgrasslock.requests.dispatch_filter import DispatchFilter
from eelgrasslock.requests.exchange import Exchange, Request, RequestKind
from eelgrasslock.scheduling.dispatch import Dispatcher
from fake_scheduler import FakeScheduler
from processes import free_ports

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


class DispatchHarness:
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


def dead_url():
    return f"http://127.0.0.1:{free_ports(1)[0]}"
