"""The control path, over which faults are switched."""

import json
from typing import Any

import attrs
from aiohttp import web


def add_control(app: web.Application, faults: Any) -> None:
    """Serve ``GET`` and ``POST /control`` and ``GET /health`` for some faults.

    Parameters
    ----------
    app : aiohttp.web.Application
        The stand-in's application.
    faults : object
        An instance of an attrs class; its fields are the switches.
    """

    async def show(request: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(faults))

    async def change(request: web.Request) -> web.Response:
        try:
            changes = await request.json()
        except json.JSONDecodeError:
            return web.json_response({"error": "Not JSON."}, status=400)
        known = set(attrs.fields_dict(type(faults)))
        unknown = sorted(set(changes) - known)
        if unknown:
            sentence = f"Unknown: {unknown}; known: {sorted(known)}."
            return web.json_response({"error": sentence}, status=400)
        for name, value in changes.items():
            setattr(faults, name, value)
        return await show(request)

    async def health(request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    app.router.add_get("/control", show)
    app.router.add_post("/control", change)
    app.router.add_get("/health", health)


def use_up(faults: Any, name: str) -> bool:
    """Take one from a counter of faults; return whether there was one."""
    left = getattr(faults, name)
    if left <= 0:
        return False
    setattr(faults, name, left - 1)
    return True
