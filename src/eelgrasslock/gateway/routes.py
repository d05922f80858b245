"""The routes of a configuration, and which of them a request takes."""

import enum

from attrs import field, frozen


class RouteKind(enum.Enum):
    """What may be repeated, and how an answer comes."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen(kw_only=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    Attributes
    ----------
    service : str
        Its name.
    weight : float
        Its share, relative to the others.
    """

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes
    ----------
    name, host, prefix : str
        The route's name and what selects it; the prefix begins and ends with
        a slash.
    kind : RouteKind
        What may be repeated.
    services : tuple of WeightedService
        Where its requests go.
    timeout_seconds : float
        The longest that a caller is kept waiting.
    target_latency_seconds : float
        When an answer is still on time.
    max_endpoints : int
        To how many endpoints one request may be sent.
    priority : int
        Its rank; 0 goes first.
    is_turn : bool
        Whether its requests are turns of agent programs.
    resumable : bool
        Whether a broken stream may go on at another endpoint.
    max_event_gap_seconds : float
        The longest pause between events that is still on time; 0 if none is
        stated.
    retention_seconds : float
        How long after a turn its program may come again.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be repeated after an unknown outcome."""
        return self.kind is RouteKind.SAFE

    def select_service(self, point: float) -> str:
        """Return the service at a point of the unit interval."""
        total = sum(one.weight for one in self.services)
        left = point * total
        for one in self.services:
            left -= one.weight
            if left < 0:
                return one.service
        return self.services[-1].service


@frozen(kw_only=True)
class EngineSpec:
    """What the configuration says of a service's model engines.

    Attributes
    ----------
    slots : int
        How many calls an engine runs at once.
    cache_tokens : int
        The size of its prefix cache.
    tokens_per_event : int
        What one event of a stream counts against a budget.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@frozen(kw_only=True)
class ServiceSpec:
    """A group of endpoints that can stand in for each other.

    Attributes
    ----------
    name : str
        Its name.
    max_connections : int
        How many connections one endpoint takes from all callers.
    engine : EngineSpec or None
        For model engines.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None


@frozen(kw_only=True)
class RequestLimits:
    """What callers may send.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        The largest head and body.
    header_timeout_seconds, idle_timeout_seconds : float
        How long a caller may take for a head, and idle between requests.
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
        Versions only grow.
    routes : tuple of Route
        All routes.
    services : dict of str to ServiceSpec
        By name.
    limits : RequestLimits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceSpec] = field(factory=dict)
    limits: RequestLimits = RequestLimits()


class RouteTable:
    """Finds the route with the longest prefix that begins a path.

    Parameters
    ----------
    routes : tuple of Route
        The routes of one configuration.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.by_host: dict[str, dict[str, Route]] = {}
        self.top_turn_priority: dict[str, int] = {}
        for route in routes:
            self.by_host.setdefault(route.host.lower(), {})[route.prefix] = route
            for one in route.services if route.is_turn else ():
                first = self.top_turn_priority.get(one.service, route.priority)
                self.top_turn_priority[one.service] = min(first, route.priority)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host, with or without port, and a path."""
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
        """Return whether no turns of a service go before those of a route."""
        return route.priority <= self.top_turn_priority.get(service, route.priority)
