"""The stand-in for a plain service."""

import asyncio
from typing import Any

from aiohttp import web
from attrs import asdict, define, field

from eelgrasslock_standins.control import add_control, use_up
from eelgrasslock_standins.serving import ScaledClock, drop_connection

_ACTION_HEADER = "Idempotency-Key"
_READ_METHODS = ("GET", "HEAD", "OPTIONS")


@define(kw_only=True)
class ServiceFaults:
    """What can be switched on a plain service.

    Attributes
    ----------
    outage : bool
        Everything answers 503, without acting.
    leaving : bool
        The load report says that the endpoint leaves.
    hang : bool
        Nothing is answered, and nothing acts.
    slow_seconds : float
        Added to each call, before it acts.
    refuse : int
        So many calls get 429, without acting.
    fail : int
        So many calls get 500 after they acted.
    lose_answers : int
        So many calls act and lose their answer.
    lose_requests : int
        So many calls are cut off before they act.
    """

    outage: bool = False
    leaving: bool = False
    hang: bool = False
    slow_seconds: float = 0.0
    refuse: int = 0
    fail: int = 0
    lose_answers: int = 0
    lose_requests: int = 0


@define
class Posting:
    """One request that took effect."""

    number: int
    method: str
    path: str
    action: str
    body: str
    headers: dict[str, str] = field(factory=dict)


class ServiceStandin:
    """A service that acts on each posting, however often it comes.

    Parameters
    ----------
    name : str
        Shown in its answers.
    clock : ScaledClock
        Times slowness.
    faults : ServiceFaults
        The switches.
    """

    def __init__(self, name: str, clock: ScaledClock, faults: ServiceFaults) -> None:
        self.name = name
        self.clock = clock
        self.faults = faults
        self.postings: list[Posting] = []
        self.running = 0
        self.reads = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/postings", self._show)
        app.router.add_get("/actions/{action}", self._status)
        app.router.add_get("/load", self._load)
        add_control(app, self.faults)
        app.router.add_route("*", "/{path:.*}", self._any)
        return app

    async def _show(self, request: web.Request) -> web.Response:
        postings = [asdict(posting) for posting in self.postings]
        figures = {"count": len(postings), "reads": self.reads, "postings": postings}
        return web.json_response(figures)

    async def _status(self, request: web.Request) -> web.Response:
        action = request.match_info["action"]
        if self.faults.outage:
            return web.json_response({"error": "outage"}, status=503)
        for posting in self.postings:
            if posting.action == action:
                answer = {"action": action, "ran": True, **self._answer(posting)}
                return web.json_response(answer)
        return web.json_response({"action": action, "ran": False}, status=404)

    async def _load(self, request: web.Request) -> web.Response:
        if self.faults.outage:
            return web.json_response({"error": "outage"}, status=503)
        report = {
            "running": self.running,
            "queued": 0,
            "cache_used_tokens": 0,
            "time": self.clock.now(),
            "leaving": self.faults.leaving,
        }
        return web.json_response(report)

    async def _any(self, request: web.Request) -> web.Response:
        body = await request.text()
        self.running += 1
        try:
            if self.faults.hang:
                await asyncio.Event().wait()
            await self.clock.sleep(self.faults.slow_seconds)
            return self._run(request, body)
        finally:
            self.running -= 1

    def _run(self, request: web.Request, body: str) -> web.Response:
        if self.faults.outage:
            return web.json_response({"error": "outage"}, status=503)
        if use_up(self.faults, "refuse"):
            headers = {"Retry-After": "1"}
            return web.json_response({"error": "busy"}, status=429, headers=headers)
        if use_up(self.faults, "lose_requests"):
            return drop_connection(request)
        answer, status = self._act(request, body)
        if use_up(self.faults, "lose_answers"):
            return drop_connection(request)
        if use_up(self.faults, "fail"):
            return web.json_response({"error": "failed"}, status=500)
        return web.json_response(answer, status=status)

    def _act(self, request: web.Request, body: str) -> tuple[dict[str, Any], int]:
        if request.method in _READ_METHODS:
            self.reads += 1
            return {"service": self.name, "path": request.path, "state": "known"}, 200
        posting = Posting(
            number=len(self.postings) + 1,
            method=request.method,
            path=request.path,
            action=request.headers.get(_ACTION_HEADER, ""),
            body=body,
            headers=dict(request.headers),
        )
        self.postings.append(posting)
        return self._answer(posting), 201

    def _answer(self, posting: Posting) -> dict[str, Any]:
        return {"service": self.name, "number": posting.number, "path": posting.path}
