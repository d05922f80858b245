"""Decoded requests of callers and responses of endpoints."""

from attrs import field, frozen

from eelgrasslock.http.messages import Header
from eelgrasslock.workspaces.workspace import scoped_id


@frozen(kw_only=True)
class PromptPart:
    """A named part of a prompt, which several prompts may share.

    Attributes
    ----------
    id : str
        The name of the part.
    tokens : int
        The length of the part.
    """

    id: str
    tokens: int


@frozen(kw_only=True)
class GatewayRequest:
    """A decoded request of a caller.

    Attributes
    ----------
    id : str
        The request id that the caller sent, empty if it sent none.
    method, host, target : str
        As in HTTP; `target` is path and query, passed on unchanged.
    headers : tuple of (str, str)
        The headers to pass on.
    body : bytes
        The complete body.
    is_complete : bool
        Whether the body was received; it is not awaited any longer once the daemon
        ends.
    received_at : float
        When the head was read, on the monotonic clock.
    caller_timeout_seconds : float or None
        How long the caller waits for the response.
    program, session : str
        The agent program and its session of turns; empty outside of programs.
    program_time_left_seconds : float or None
        The time until the program should be finished, negative if it has passed.
    budget_tokens : int or None
        The number of tokens that all turns of the program may generate.
    prompt_tokens, output_tokens : int
        The length of the prompt and the limit of the output.
    prompt_parts : tuple of PromptPart
        The parts of the prompt, in order.
    last_event_id : int or None
        The last event that the caller received of an interrupted stream.
    resumed_request : str
        The id of the request that brought the first event of the stream that this
        one resumes; empty for a new stream.
    previous_turn : str
        The id of the turn that this one continues from; empty at the start of a
        chain.
    affinity_key : str
        Names the object that the request concerns; empty for none.
    api_key : str
        The key of the caller's workspace; empty for none.
    workspace : str
        The name of the workspace that holds the key; empty for none.
    """

    id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    is_complete: bool = True
    received_at: float = 0.0
    caller_timeout_seconds: float | None = None
    program: str = ""
    session: str = ""
    program_time_left_seconds: float | None = None
    budget_tokens: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None
    resumed_request: str = ""
    previous_turn: str = ""
    affinity_key: str = ""
    api_key: str = field(default="", repr=False)
    workspace: str = ""

    @property
    def program_key(self) -> str:
        """The program, told apart from one of the same id in another workspace."""
        return scoped_id(self.workspace, self.program)

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


@frozen(kw_only=True)
class EndpointLoadHeader:
    """The load that an endpoint reports in a response header.

    Attributes
    ----------
    running, waiting, slots : int
        Running requests, queued requests, and the number of slots.
    slowdown : float
        How long work takes there at this moment, as a multiple of the usual time.
    has_slowdown : bool
        Whether it said so.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    has_slowdown: bool = False


@frozen(kw_only=True)
class RequestLimitHeader:
    """The limit that an endpoint names in a response.

    Attributes
    ----------
    per_second : float or None
        The requests a second that it takes from all daemons together; None if the
        value can't be read.
    """

    per_second: float | None


@frozen(kw_only=True)
class EndpointResponse:
    """The decoded head of an endpoint's response.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : tuple of (str, str)
        The headers to pass on to the caller.
    not_run : bool
        Whether the endpoint states that it did not and will not run the request.
    claims_not_run : bool
        Whether its status alone would tell the caller so.
    is_misdirected : bool
        Whether another endpoint answered than the one that was expected.
    is_leaving : bool
        Whether the endpoint says that it leaves.
    is_own : bool
        Whether it echoes the request's id. Without it, a response may be the copy of
        one to another request, and promises nothing.
    is_valid : bool
        Whether a success may be passed on: it must be signed, not encoded, and echo
        the request's id.
    load : EndpointLoadHeader or None
        The load that the endpoint reported.
    is_load_malformed : bool
        Whether it reported a load that can't be read.
    request_limit : RequestLimitHeader or None
        The limit that the endpoint named, None if it named none.
    content_length : int or None
        The length of the body, if stated.
    keep_alive_seconds : float or None
        How long the endpoint keeps an idle connection open.
    retry_after_seconds : float or None
        The delay after which the endpoint may be tried again.
    """

    status: int
    headers: tuple[Header, ...]
    not_run: bool
    is_valid: bool
    is_own: bool = True
    claims_not_run: bool = False
    is_misdirected: bool = False
    is_leaving: bool = False
    load: EndpointLoadHeader | None = None
    is_load_malformed: bool = False
    request_limit: RequestLimitHeader | None = None
    content_length: int | None = None
    keep_alive_seconds: float | None = None
    retry_after_seconds: float | None = None
