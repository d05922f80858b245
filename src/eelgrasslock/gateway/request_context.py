"""One request on its way through the gateway."""

from attrs import define, field

from eelgrasslock.gateway.event_counter import EventCounter
from eelgrasslock.gateway.messages import GatewayRequest
from eelgrasslock.gateway.responder import CallerResponder
from eelgrasslock.gateway.routes import Route, ServiceSpec


@define(eq=False)
class RequestContext:
    """A request, its route, and what became of it so far.

    Attributes
    ----------
    request : GatewayRequest
        The request.
    responder : CallerResponder
        The way of its answer.
    route : Route
        The route that it takes.
    service : ServiceSpec
        The service that the route chose for it.
    deadline : float
        When its caller is no longer kept waiting, on the monotonic clock.
    offered : set of str
        Endpoints that it must not be sent to again.
    sent : int
        How many endpoints may have run it.
    counter : EventCounter
        Counts the events that the caller was given.
    endpoint : str
        The endpoint that was chosen last.
    queued_seconds : float
        How long it waited for endpoints in all.
    status : int
        The status that the caller was given, 0 before.
    endpoint_crashed : bool
        Whether the endpoint crashed in the middle of its answer.
    home : str
        The engine that holds its program's context, empty if none is known.
    version : int
        The version of the configuration that chose the route.
    """

    request: GatewayRequest
    responder: CallerResponder
    route: Route
    service: ServiceSpec
    deadline: float
    tried_endpoints: set[str] = field(factory=set)
    possible_executions: int = 0
    event_counter: EventCounter = field(factory=EventCounter)
    endpoint: str = ""
    queued_seconds: float = 0.0
    response_status: int = 0
    endpoint_crashed: bool = False
    home: str = ""
    configuration_version: int = 0

    @property
    def route_kind(self) -> str:
        """The route's kind, as a label."""
        return self.route.kind.value

    @property
    def tokens_used(self) -> int:
        """What the caller was given, as it counts against a budget."""
        engine = self.service.engine
        return self.event_counter.started * engine.tokens_per_event if engine else 0

    @property
    def max_generated_tokens(self) -> int:
        """The most that it may generate, in whole events."""
        engine = self.service.engine
        if engine is None or not engine.tokens_per_event:
            return self.request.output_tokens
        events = -(-self.request.output_tokens // engine.tokens_per_event)
        return events * engine.tokens_per_event
