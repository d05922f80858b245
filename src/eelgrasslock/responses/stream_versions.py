"""Lets resumed streams go on at the software version that began them only."""

import asyncio

from eelgrasslock.exceptions import Refusal
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.routing.routes import Route, RouteKind
from eelgrasslock.scheduling.admission import VERSION_RETRY_SECONDS
from eelgrasslock.streams.stream_controller import KnownOrigin, StreamController

# How long the first event may wait until another daemon knows the version.
MAX_RECORDING_SECONDS = 0.1


class Recording:
    """The telling of other daemons at which version a stream began.

    Parameters
    ----------
    told : asyncio.Future or None
        Done once another daemon knows, None if none needs to be told.
    """

    def __init__(self, told: asyncio.Future[None] | None) -> None:
        self.told = told

    async def wait(self) -> None:
        """Wait until another daemon knows, the first time that this is called."""
        if self.told is None:
            return
        await asyncio.wait({self.told}, timeout=MAX_RECORDING_SECONDS)
        self.told = None


class StreamVersions:
    """Records where streams begin, and finds it out when they are resumed.

    Parameters
    ----------
    controller : StreamController
        Keeps the origins of streams over all daemons.
    """

    def __init__(self, controller: StreamController) -> None:
        self.controller = controller

    def begin(self, context: RequestContext, version: str) -> Recording:
        """Record that an endpoint of a version begins to answer with a stream."""
        route = context.route
        if not route.resumable or not context.stream_id:
            return Recording(None)
        told = self.controller.begin(
            context.stream_id,
            context.service.name,
            version,
            route.resume_seconds,
            len(route.services) == 1,
        )
        return Recording(told)

    async def find_origin(
        self, request: GatewayRequest, route: Route
    ) -> KnownOrigin | None:
        """Return where the stream that a request resumes began, None for a new one.

        Raises
        ------
        Refusal
            If that can't be known, or the route leads to that service no more.
        """
        is_resumed = bool(request.resumed_request or request.last_event_id)
        if route.kind is not RouteKind.STREAM or not route.resumable or not is_resumed:
            return None
        services = [one.service for one in route.services]
        only_service = services[0] if len(services) == 1 else ""
        origin = await self.controller.find(request.resumed_request, only_service)
        if origin is None or origin.service not in services:
            raise _unknown_version()
        return origin


def _unknown_version() -> Refusal:
    sentence = "The version at which this stream began is not known here."
    return Refusal("version_unknown", sentence, 503, retry_after=VERSION_RETRY_SECONDS)
