"""Health and readiness, for the platform's balancer."""

from typing import Protocol

from aiohttp import web

HEALTH_PATH = "/health"
READY_PATH = "/ready"


class Readiness(Protocol):
    """What the balancer needs to know of a daemon."""

    def unready_reasons(self) -> list[str]:
        """Return why new requests should go elsewhere; empty if they needn't."""


def health_routes(readiness: Readiness) -> list[web.RouteDef]:
    """Return the routes that answer the balancer's probes."""

    async def health(request: web.Request) -> web.Response:
        return web.json_response({"status": "alive"})

    async def ready(request: web.Request) -> web.Response:
        reasons = readiness.unready_reasons()
        status = 503 if reasons else 200
        return web.json_response(
            {"ready": not reasons, "reasons": reasons}, status=status
        )

    return [web.get(HEALTH_PATH, health), web.get(READY_PATH, ready)]
