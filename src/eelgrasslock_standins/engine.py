"""The stand-in for a model engine, over HTTP."""

import asyncio
import contextlib
import json
import os
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web

from eelgrasslock.requests.tokens import estimate_tokens, prompt_text
from eelgrasslock_standins.answers import CRASH_MARK
from eelgrasslock_standins.control import add_control, use_up
from eelgrasslock_standins.engine_core import EngineCore, Session
from eelgrasslock_standins.engine_stream import EngineStream
from eelgrasslock_standins.generation import Generation

_MAX_BODY_BYTES = 64 * 2**20
_CRASH_STATUS = 70
_ORPHAN_SECONDS = 10.0
_ORPHAN_CHECK_SECONDS = 1.0


class EngineStandin:
    """The HTTP side of an engine.

    Parameters
    ----------
    core : EngineCore
        Does the work.
    credential : str
        The bearer token that calls must carry, or empty.
    """

    def __init__(self, core: EngineCore, credential: str = "") -> None:
        self.core = core
        self.faults = core.faults
        self.credential = credential

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            client_max_size=_MAX_BODY_BYTES, middlewares=[self._guard]
        )
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/v1/streams/{stream}", self._resume)
        app.router.add_delete("/v1/streams/{stream}", self._cancel)
        app.router.add_get("/load", self._load)
        app.router.add_get("/cache/events", self._events)
        app.router.add_get("/sessions", self._sessions)
        app.router.add_post("/sessions/{program}/release", self._release)
        app.router.add_post("/kv/export", self._export)
        app.router.add_post("/kv/import", self._import)
        app.router.add_get("/orders", self._orders)
        app.router.add_post("/orders", self._order)
        app.router.add_get("/stats", self._stats)
        add_control(app, self.faults)
        app.cleanup_ctx.append(self._work)
        app.on_response_prepare.append(self._name_epoch)
        return app

    async def _name_epoch(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["X-Engine-Epoch"] = self.core.epoch

    async def _work(self, app: web.Application) -> AsyncIterator[None]:
        tasks = [
            asyncio.create_task(self.core.run()),
            asyncio.create_task(self._cancel_orphans()),
        ]
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _cancel_orphans(self) -> None:
        clock = self.core.clock
        while True:
            await clock.sleep(_ORPHAN_CHECK_SECONDS)
            for stream in self.core.streams.values():
                idle = clock.monotonic() - stream.idle_since
                if not stream.done and not stream.readers and idle > _ORPHAN_SECONDS:
                    stream.cancel()

    @web.middleware
    async def _guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path in ("/control", "/health", "/stats"):
            return await handler(request)
        if self.faults.hang:
            await asyncio.Event().wait()
        if self.credential:
            given = request.headers.get("Authorization", "")
            if given != f"Bearer {self.credential}":
                return _error(401, "unauthorized", "Wrong credential.")
        return await handler(request)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.json()
        except json.JSONDecodeError:
            return _error(400, "invalid_request_error", "The body is not JSON.")
        refused = self._refuse(body)
        if refused is not None:
            return refused
        if CRASH_MARK in prompt_text(body["messages"]):
            os._exit(_CRASH_STATUS)
        generation = self._start(request, body)
        if body.get("stream"):
            return await self._send(request, generation.stream, 0)
        return await self._whole(request, generation)

    def _start(self, request: web.Request, body: dict[str, Any]) -> Generation:
        options = body.get("stream_options") or {}
        limit = body.get("max_completion_tokens") or body.get("max_tokens")
        generation = self.core.start(
            model=body["model"],
            messages=body["messages"],
            tools=body.get("tools") or [],
            limit=limit,
            program=request.headers.get("Eelgrass-Program", ""),
            include_usage=bool(options.get("include_usage")),
        )
        generation.stream.idle_since = self.core.clock.monotonic()
        return generation

    def _refuse(self, body: Any) -> web.Response | None:
        if self.faults.outage or self.faults.leaving:
            return _error(503, "unavailable", "The engine takes no call.")
        if use_up(self.faults, "refuse"):
            headers = {"Retry-After": str(self.faults.retry_after)}
            return _error(429, "rate_limit", "The engine is busy.", headers)
        if use_up(self.faults, "fail"):
            return _error(500, "internal", "Trace: secret=upstream-text at worker 7.")
        if not isinstance(body, dict) or not _is_messages(body.get("messages")):
            return _error(400, "invalid_request_error", "Messages are missing.")
        models = self.core.shape.models
        if not isinstance(body.get("model"), str) or (
            models and body["model"] not in models
        ):
            return _error(404, "model_not_found", "No such model here.")
        tokens = estimate_tokens(prompt_text(body["messages"]))
        if tokens > self.core.shape.context_tokens:
            return _error(400, "context_length_exceeded", "The prompt is too long.")
        return None

    async def _whole(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        stream = generation.stream
        stream.readers += 1
        try:
            async for _ in stream.read(0):
                pass
        finally:
            self._leave(stream)
        if stream.cancelled:
            return _error(499, "cancelled", "The call was cancelled.")
        headers = {"X-Stream-Id": stream.id}
        return web.json_response(generation.completion(), headers=headers)

    async def _send(
        self, request: web.Request, stream: EngineStream, start: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        response.headers["X-Stream-Id"] = stream.id
        await response.prepare(request)
        broken = use_up(self.faults, "break_streams")
        silent = not broken and use_up(self.faults, "silent_streams")
        last = start + self.faults.fault_after_events
        stream.readers += 1
        try:
            async for number, event in stream.read(start):
                if number >= last and broken:
                    break
                if number >= last and silent:
                    await asyncio.Event().wait()
                await response.write(f"id: {number}\ndata: {event}\n\n".encode())
        except ConnectionError:
            return response
        finally:
            self._leave(stream)
        if (broken or stream.cancelled) and request.transport is not None:
            request.transport.abort()
            return response
        with contextlib.suppress(ConnectionError):
            await response.write_eof()
        return response

    def _leave(self, stream: EngineStream) -> None:
        stream.readers -= 1
        stream.idle_since = self.core.clock.monotonic()

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream = self.core.streams.get(request.match_info["stream"])
        if stream is None or stream.cancelled or self.faults.forget_streams:
            return _error(404, "stream_not_found", "No such stream.")
        return await self._send(request, stream, int(request.query.get("from", "0")))

    async def _cancel(self, request: web.Request) -> web.Response:
        stream = self.core.streams.get(request.match_info["stream"])
        if stream is None:
            return _error(404, "stream_not_found", "No such stream.")
        if not stream.done:
            stream.cancel()
        return web.json_response({"cancelled": stream.cancelled})

    async def _load(self, request: web.Request) -> web.Response:
        if self.faults.load_down:
            return _error(503, "unavailable", "No report.")
        sample = self.core.load()
        report = {
            "running": sample.running,
            "queued": sample.queued,
            "cache_used_tokens": sample.cache_used_tokens,
            "time": sample.time,
            "leaving": self.faults.leaving,
        }
        return web.json_response(report)

    async def _events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        known = self.core.cache.events_after(after, self.faults.event_lag_seconds)
        events = [
            {"number": one.number, "stored": one.stored, "evicted": one.evicted}
            for one in known
        ]
        return web.json_response({"epoch": self.core.epoch, "events": events})

    async def _sessions(self, request: web.Request) -> web.Response:
        sessions = [
            {"program": program, "blocks": len(session.blocks)}
            for program, session in self.core.sessions.items()
        ]
        return web.json_response({"sessions": sessions})

    async def _release(self, request: web.Request) -> web.Response:
        fence = int((await request.json())["fence"])
        if not self.core.release(request.match_info["program"], fence):
            return _error(409, "old_fence", "The fencing number is old.")
        return web.json_response({"released": True})

    async def _export(self, request: web.Request) -> web.Response:
        program = (await request.json())["program"]
        blocks = self.core.export(program)
        return web.json_response({"program": program, "blocks": list(blocks)})

    async def _import(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.core.sessions.setdefault(body["program"], Session())
        await self.core.load_blocks(body["program"], tuple(body["blocks"]))
        return web.json_response({"imported": len(body["blocks"])})

    async def _orders(self, request: web.Request) -> web.Response:
        return web.json_response({"applied": self.core.applied})

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self.core.order(body["kind"], body["value"], int(body["fence"])):
            return _error(409, "old_fence", "The fencing number is old.")
        return web.json_response({"applied": self.core.applied})

    async def _stats(self, request: web.Request) -> web.Response:
        figures = {
            "calls": self.core.calls,
            "prompt_tokens": self.core.prompt_tokens,
            "cached_tokens": self.core.cached_tokens,
            "running": len(self.core.running),
            "waiting": len(self.core.waiting),
        }
        return web.json_response(figures)


def _is_messages(messages: Any) -> bool:
    if not isinstance(messages, list) or not messages:
        return False
    return all(isinstance(message, dict) for message in messages)


def _error(
    status: int, code: str, sentence: str, headers: dict[str, str] | None = None
) -> web.Response:
    error = {"message": sentence, "type": code, "code": code, "param": None}
    return web.json_response({"error": error}, status=status, headers=headers)
