"""What is passed between callers, the gateway and endpoints."""

from attrs import frozen

from eelgrasslock.http.messages import Header


@frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes
    ----------
    id : str
        Names the part.
    tokens : int
        Its length.
    """

    id: str
    tokens: int


@frozen(kw_only=True)
class GatewayRequest:
    """A caller's request, decoded once.

    Attributes
    ----------
    id : str
        The caller's id of this attempt; empty if it gave none.
    method, host, target : str
        As in HTTP; `target` is path and query, never changed.
    headers : tuple of (str, str)
        Those that are passed on.
    body : bytes
        The whole body.
    received : float
        When its head was read, on the monotonic clock.
    caller_timeout_seconds : float or None
        How long the caller waits.
    program, session : str
        The agent program and its line of turns; empty outside of programs.
    program_time_left_seconds : float or None
        How long until its program should be finished.
    budget_tokens : int or None
        What all turns of its program may generate.
    prompt_tokens, output_tokens : int
        The prompt's length and the answer's limit.
    parts : tuple of PromptPart
        The prompt's parts in order.
    last_event_id : int or None
        The last event that the caller has of a broken stream.
    """

    id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
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

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@frozen(kw_only=True)
class EndpointLoadHeader:
    """What an endpoint says of its load with an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in work, requests that wait, and places.
    """

    running: int
    waiting: int
    slots: int


@frozen(kw_only=True)
class EndpointResponse:
    """The head of an endpoint's answer, decoded once.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : tuple of (str, str)
        Those that are passed on to the caller.
    not_run : bool
        Whether the endpoint says that it did not and will not run it.
    sound : bool
        Whether a success may be passed on: it is signed and not encoded.
    load : EndpointLoadHeader or None
        The endpoint's load.
    content_length : int or None
        The body's length, if it was given.
    keep_alive_seconds : float or None
        How long the endpoint keeps the connection.
    retry_after_seconds : float or None
        When it asks to be tried again.
    """

    status: int
    headers: tuple[Header, ...]
    not_run: bool
    is_valid: bool
    load: EndpointLoadHeader | None = None
    content_length: int | None = None
    keep_alive_seconds: float | None = None
    retry_after_seconds: float | None = None
