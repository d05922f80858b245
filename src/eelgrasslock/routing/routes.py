"""Routes, services and limits of a configuration, and the lookup of routes."""

import enum

from attrs import field, frozen

from eelgrasslock.workspaces.workspace import Workspace

# A caller gives a stream up after the longest of these: seconds, a multiple of the
# latency objective, a multiple of the objective between two events.
MIN_CALLER_GAP_SECONDS = 2.0
CALLER_GAP_TARGETS = 4
CALLER_GAP_PAUSES = 8


class RouteKind(enum.Enum):
    """Whether a route's requests may be repeated, and whether it streams.

    Attributes
    ----------
    SAFE
        Idempotent requests, which may be sent to several endpoints.
    UNSAFE
        Requests that must not run twice.
    STREAM
        Requests whose response is a stream of events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen(kw_only=True)
class WeightedService:
    """A service and its share of a route's requests.

    Attributes
    ----------
    service : str
        The name of the service.
    weight : float
        The share, relative to the weights of the other services.
    """

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """The handling of requests for one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        The name of the route, and the host and path prefix that it matches; the
        prefix begins and ends with a slash.
    kind : RouteKind
        Whether requests may be repeated, and whether responses are streams.
    services : tuple of WeightedService
        The services that receive the requests.
    timeout_seconds : float
        The maximum time for which a caller waits.
    target_latency_seconds : float
        The latency objective of a response.
    max_endpoints : int
        The number of endpoints that one request may be sent to.
    priority : int
        The priority of the route; 0 is the highest.
    is_turn : bool
        Whether the requests are turns of agent programs.
    resumable : bool
        Whether an interrupted stream may continue at another endpoint.
    max_event_gap_seconds : float
        The latency objective between two events; 0 if none is configured.
    retention_seconds : float
        How long after a turn the program's next turn may come.
    keeps_turns : bool
        Whether turns carry their new input only, and the fleet keeps the rest.
    is_sticky : bool
        Whether an endpoint that served an object is faster when it comes again.
    is_public : bool
        Whether requests need no key of a workspace.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    target_latency_seconds: float
    max_endpoints: int = 1
    priority: int = 0
    is_turn: bool = False
    resumable: bool = False
    max_event_gap_seconds: float = 0.0
    retention_seconds: float = 0.0
    keeps_turns: bool = False
    is_sticky: bool = False
    is_public: bool = False

    @property
    def resume_seconds(self) -> float:
        """How long after its first event a stream may be resumed.

        It may last until its timeout, its caller gives it up after a gap, and
        refusals may delay the attempt that resumes it as long as the caller waits.
        """
        gap_seconds = max(
            MIN_CALLER_GAP_SECONDS,
            CALLER_GAP_TARGETS * self.target_latency_seconds,
            CALLER_GAP_PAUSES * self.max_event_gap_seconds,
        )
        return 2 * self.timeout_seconds + gap_seconds

    @property
    def is_idempotent(self) -> bool:
        """Whether a request with an unknown outcome may be repeated."""
        return self.kind is RouteKind.SAFE

    def select_service(self, fraction: float) -> str:
        """Return the service at a fraction, from 0 to 1, of the total weight."""
        total = sum(one.weight for one in self.services)
        remaining = fraction * total
        for one in self.services:
            remaining -= one.weight
            if remaining < 0:
                return one.service
        return self.services[-1].service


@frozen(kw_only=True)
class EngineSpec:
    """The properties of a service's model engines.

    Attributes
    ----------
    slots : int
        How many calls an engine runs concurrently.
    cache_tokens : int
        The size of an engine's prefix cache.
    tokens_per_event : int
        How many tokens one event of a stream counts against a budget.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@frozen(kw_only=True)
class ServiceSpec:
    """A group of interchangeable endpoints.

    Attributes
    ----------
    name : str
        The name of the service.
    max_connections : int
        How many connections one endpoint accepts from all callers.
    engine : EngineSpec or None
        The properties of the model engines, None for other services.
    health_path : str
        Where endpoints say whether they are healthy.
    """

    name: str
    max_connections: int = 0
    health_path: str = "/"
    engine: EngineSpec | None = None


@frozen(kw_only=True)
class RequestLimits:
    """The limits on requests of callers.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        The maximum sizes of head and body.
    header_timeout_seconds, idle_timeout_seconds : float
        How long a caller may take to send a head, and how long a connection may be
        idle between requests.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 5.0
    idle_timeout_seconds: float = 30.0


@frozen(kw_only=True)
class RoutingConfiguration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        The version number; newer versions have higher numbers.
    routes : tuple of Route
        The routes.
    services : dict of str to ServiceSpec
        The services, by name.
    limits : RequestLimits
        The limits on requests.
    workspaces : tuple of Workspace
        The workspaces; without any, requests need no keys.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceSpec] = field(factory=dict)
    limits: RequestLimits = RequestLimits()
    workspaces: tuple[Workspace, ...] = ()


class RouteTable:
    """Finds the route with the longest prefix of a path.

    Parameters
    ----------
    routes : tuple of Route
        The routes of one configuration.

    Attributes
    ----------
    by_host : dict of str to dict of str to Route
        The routes by lower-case host and path prefix.
    top_turn_priority : dict of str to int
        The highest priority of each service's turns.
    resume_seconds : float
        How long after its first event a stream of any route may be resumed.
    turn_retention_seconds : float
        The longest time for which a route keeps turns, 0 if none does.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.by_host: dict[str, dict[str, Route]] = {}
        self.top_turn_priority: dict[str, int] = {}
        self.resume_seconds = max(
            (one.resume_seconds for one in routes if one.resumable), default=0.0
        )
        self.turn_retention_seconds = max(
            (one.retention_seconds for one in routes if one.keeps_turns), default=0.0
        )
        for route in routes:
            self.by_host.setdefault(route.host.lower(), {})[route.prefix] = route
            for one in route.services if route.is_turn else ():
                top = self.top_turn_priority.get(one.service, route.priority)
                self.top_turn_priority[one.service] = min(top, route.priority)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a host, with or without port, and a path."""
        prefixes = self.by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def has_top_priority(self, route: Route, service: str) -> bool:
        """Return whether no turns of a service have priority over those of a route."""
        return route.priority <= self.top_turn_priority.get(service, route.priority)
