"""Finds what a valid configuration has no use for, and limits that conflict."""

from collections.abc import Iterable

from eelgrasslock.exceptions import Finding
from eelgrasslock.routing.routes import Route, RouteKind, RoutingConfiguration
from eelgrasslock.workspaces.workspace import Workspace


def review_configuration(
    file: str, configuration: RoutingConfiguration
) -> list[Finding]:
    """Return what an operator should look at before a configuration is sent.

    Parameters
    ----------
    file : str
        The name of the document.
    configuration : RoutingConfiguration
        The decoded document.
    """
    found = [
        *_duplicate_routes(configuration.routes),
        *_route_findings(configuration),
        *_service_findings(configuration),
        *_workspace_findings(configuration.workspaces),
    ]
    return [Finding(message, file, 0, path) for path, message in found]


_Found = Iterable[tuple[str, str]]


def _duplicate_routes(routes: tuple[Route, ...]) -> _Found:
    last = {(one.host.lower(), one.prefix): number for number, one in enumerate(routes)}
    for number, route in enumerate(routes):
        other = last[route.host.lower(), route.prefix]
        if other != number:
            name = routes[other].name
            yield (
                f"routes.{number}",
                f"Never matches: route {name} has its host and path.",
            )


def _route_findings(configuration: RoutingConfiguration) -> _Found:
    for number, route in enumerate(configuration.routes):
        path = f"routes.{number}"
        for message in (
            *_matching(route),
            *_targets(route, configuration),
            *_times(route),
        ):
            yield path, message


def _matching(route: Route) -> Iterable[str]:
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield "Never matches: its path prefix must begin and end with a slash."
    if ":" in route.host:
        yield "Never matches: hosts are compared without their port."


def _targets(route: Route, configuration: RoutingConfiguration) -> Iterable[str]:
    weights = [one.weight for one in route.services]
    for one in route.services:
        if one.service not in configuration.services:
            yield f"Its service {one.service} is not among the services."
        if len(weights) > 1 and one.weight == 0:
            yield f"Service {one.service} never gets a request: its weight is 0."
    if route.max_endpoints < 1:
        yield "Its requests may be sent to no endpoint at all."


def _times(route: Route) -> Iterable[str]:
    if route.target_latency_seconds > route.timeout_seconds:
        yield "Its latency objective is longer than its timeout."
    if route.max_event_gap_seconds > route.timeout_seconds:
        yield "Its longest pause between events is longer than its timeout."
    is_stream = route.kind is RouteKind.STREAM
    if not is_stream and (route.resumable or route.max_event_gap_seconds):
        yield "What it says of streams has no effect: it has none."
    if route.keeps_turns and not route.retention_seconds:
        yield "Its turns are kept for no time at all."


def _service_findings(configuration: RoutingConfiguration) -> _Found:
    used = {one.service for route in configuration.routes for one in route.services}
    for number, service in enumerate(configuration.services.values()):
        path = f"services.{number}"
        if service.name not in used:
            yield path, f"No route leads to service {service.name}."
        engine = service.engine
        if engine and 0 < service.max_connections < engine.slots:
            yield path, "Its endpoints take fewer connections than they have slots."


def _workspace_findings(workspaces: tuple[Workspace, ...]) -> _Found:
    names: dict[str, int] = {}
    holders: dict[str, str] = {}
    for number, one in enumerate(workspaces):
        path = f"workspaces.{number}"
        if one.name in names:
            yield path, f"Workspace {one.name} stands twice; the later one counts."
        names[one.name] = number
        if not one.api_keys:
            yield path, f"Nobody can call as {one.name}: it has no key."
        if one.burst and not one.requests_per_second:
            yield path, f"The burst of {one.name} has no effect without a rate."
        for key in one.api_keys:
            holder = holders.setdefault(key, one.name)
            if holder != one.name:
                yield path, f"A key of {one.name} is one of {holder}, too."
