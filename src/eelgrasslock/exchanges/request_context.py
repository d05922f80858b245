"""The state of one request while the gateway processes it."""

from attrs import define, field

from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.http.messages import Framing
from eelgrasslock.responses.event_counter import EventCounter
from eelgrasslock.responses.responder import ResponseWriter
from eelgrasslock.routing.routes import Route, RouteKind, ServiceSpec
from eelgrasslock.streams.stream_controller import KnownOrigin
from eelgrasslock.turns.turn_in_progress import TurnInProgress


@define(eq=False)
class RequestContext:
    """A request, its route and the progress of its attempts.

    Attributes
    ----------
    request : GatewayRequest
        The decoded request.
    responder : ResponseWriter
        Sends the response to the caller.
    route : Route
        The route that matched the request.
    service : ServiceSpec
        The service that the route selected.
    deadline : float
        When the request times out, on the monotonic clock.
    tried_endpoints : set of str
        Endpoints that the request must not be sent to again.
    possible_executions : int
        How many endpoints may have run the request.
    event_counter : EventCounter
        Counts the events that were relayed to the caller.
    endpoint : str
        The endpoint of the last attempt.
    queued_seconds : float
        The total time for which the request waited for endpoints.
    response_status : int
        The status of the response, 0 until there is one.
    response_framing : Framing or None
        How the endpoint marks the end of its response, None until there is one.
    ended_by_connection : bool
        Whether the end of its connection marked the end of the response.
    continuations : int
        How often the endpoint was asked for what follows the last event.
    outlived_response : bool or None
        Whether the endpoint answered after the end of such a response, None if it was
        not asked.
    named_limit : float or None
        The requests a second that the endpoint of the last response named, None
        without a readable limit.
    endpoint_crashed : bool
        Whether the endpoint crashed while its response was relayed.
    preferred_endpoint : str
        The engine that has the program's context in its cache, empty if unknown.
    configuration_version : int
        The version of the configuration that selected the route.
    relayed_by, relayed_through : str
        The incarnation of the peer that passed the request on, and the name of the
        one that it is passed on to; empty for none.
    origin : KnownOrigin or None
        Where the stream that the request resumes began, None for a new one.
    endpoint_version : str
        The software version of the endpoint of the last attempt.
    endpoints_age_seconds : float or None
        How old the view of the endpoints was when the request was last sent, None
        before that.
    turn : TurnInProgress or None
        The turn with its chain, None unless the route keeps turns.
    digest : str
        Identifies repetitions of the request.
    wide_digests : tuple of str
        Identify what its repetitions may have in common, the narrowest first.
    """

    request: GatewayRequest
    responder: ResponseWriter
    route: Route
    service: ServiceSpec
    deadline: float
    tried_endpoints: set[str] = field(factory=set)
    possible_executions: int = 0
    event_counter: EventCounter = field(factory=EventCounter)
    endpoint: str = ""
    queued_seconds: float = 0.0
    response_status: int = 0
    response_framing: Framing | None = None
    ended_by_connection: bool = False
    continuations: int = 0
    outlived_response: bool | None = None
    named_limit: float | None = None
    endpoint_crashed: bool = False
    preferred_endpoint: str = ""
    configuration_version: int = 0
    relayed_by: str = ""
    relayed_through: str = ""
    origin: KnownOrigin | None = None
    endpoint_version: str = ""
    endpoints_age_seconds: float | None = None
    turn: TurnInProgress | None = None
    digest: str = ""
    wide_digests: tuple[str, ...] = ()

    @property
    def route_kind(self) -> str:
        """The route's kind as a metric label."""
        return self.route.kind.value

    @property
    def version(self) -> str:
        """The software version that the endpoint must have, empty for any."""
        return "" if self.origin is None else self.origin.version

    @property
    def stream_id(self) -> str:
        """The id of the request that brings or brought the stream's first event."""
        return self.request.resumed_request or self.request.id

    @property
    def in_event(self) -> bool | None:
        """Whether the last relayed event is incomplete, None without a stream."""
        is_stream = self.route.kind is RouteKind.STREAM
        return self.event_counter.in_event if is_stream else None

    @property
    def is_stream_whole(self) -> bool:
        """Whether a stream that ends after the relayed bytes may be complete.

        The end of a connection marks the end of a stream only after an event, which
        the caller may have had before.
        """
        counter = self.event_counter
        if counter.in_event:
            return False
        is_marked = self.response_framing is not Framing.CLOSE
        return is_marked or counter.completed > 0 or self.is_resumed

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has events of the stream from an earlier response."""
        return self.request.last_event_id is not None

    @property
    def tokens_used(self) -> int:
        """Tokens that were relayed to the caller, as counted against a budget."""
        engine = self.service.engine
        return self.event_counter.started * engine.tokens_per_event if engine else 0

    @property
    def max_generated_tokens(self) -> int:
        """The most tokens that the request may generate, rounded up to whole events."""
        engine = self.service.engine
        if engine is None or not engine.tokens_per_event:
            return self.request.output_tokens
        events = -(-self.request.output_tokens // engine.tokens_per_event)
        return events * engine.tokens_per_event
