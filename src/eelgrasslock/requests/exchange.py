"""One request on its way through the filter chain."""

import enum
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from attrs import define, field, frozen

from eelgrasslock.requests.usage import Usage

PROGRAM_HEADER = "Eelgrass-Program"
SECRET_HEADER = "Eelgrass-Secret"
TURN_HEADER = "Eelgrass-Turn"
HISTORY_HEADER = "Eelgrass-History"
CLASS_HEADER = "Eelgrass-Class"
DEADLINE_HEADER = "Eelgrass-Deadline"
JOURNALED_HEADER = "Eelgrass-Journaled"
ENDPOINT_HEADER = "Eelgrass-Endpoint"
RAN_HEADER = "Eelgrass-Ran"
ACTION_HEADER = "Idempotency-Key"
ISSUED_AT_HEADER = "Eelgrass-Issued-At"


class CallClass(enum.IntEnum):
    """How urgent a call is; a lower value goes first."""

    LOOKUP = 0
    CALLER_WAITING = 1
    BACKGROUND = 2


class RequestKind(enum.Enum):
    """What a request asks for."""

    MODEL = "model"
    PLAIN = "plain"
    MODELS_READ = "models_read"
    PROGRAM_CREATE = "program_create"
    PROGRAM_READ = "program_read"
    PROGRAM_END = "program_end"
    PROGRAM_RESUME = "program_resume"
    PROGRAM_EXPLAIN = "program_explain"


@frozen(kw_only=True)
class Request:
    """A request as it came in; the same object travels between peers.

    Attributes
    ----------
    method, path, query : str
        As in HTTP; `path` starts with a slash.
    headers : dict of str to str
        Names are in lower case.
    body : bytes
        The whole body.
    forwarded_by : str
        The incarnation of the daemon that forwarded it, or empty.
    trace : dict of str to str
        The trace context, as W3C headers.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    forwarded_by: str = ""
    trace: dict[str, str] = field(factory=dict)

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name.lower(), "")


class Responder(Protocol):
    """Where an answer goes: the caller's connection, or the forwarding peer."""

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""

    async def write(self, chunk: bytes) -> None:
        """Send part of the body, waiting while the reader is slow."""

    async def finish(self) -> None:
        """End the body."""


@frozen(kw_only=True)
class CallResult:
    """A model call's whole answer, before the caller has seen its end.

    Attributes
    ----------
    message : dict
        The assistant's message, as in the chat-completions interface.
    answer : dict
        The whole ``chat.completion`` object.
    usage : Usage
        What the engine reported for the answer.
    tokens : int
        All tokens that the call used, broken attempts included.
    endpoint, reason : str
        Where it ran, and why there.
    """

    message: dict[str, Any]
    answer: dict[str, Any]
    usage: Usage
    tokens: int
    endpoint: str
    reason: str


BeforeFinal = Callable[[CallResult], Awaitable[None]]


@define
class Exchange:
    """A request, its answer's way back, and what the filters have found.

    Attributes
    ----------
    request : Request
        As it came in.
    responder : Responder
        Where the answer goes.
    kind : RequestKind or None
        Set by the parse filter.
    body : dict
        The JSON body of a model or program call.
    program : str
        The program's id, empty for a single call.
    turn : int or None
        The turn's number, if the caller gave one.
    builds_on : str
        The digest of the history that the caller builds on.
    model, service, rest : str
        What is called; `rest` is the path inside a plain service.
    stream : bool
        Whether the caller wants server-sent events.
    call_class : CallClass
        How urgent it is.
    deadline : float or None
        On the monotonic clock, in seconds.
    prompt_tokens, max_tokens : int
        The prompt's estimated length and the answer's limit.
    digest : str
        Digest of the whole request.
    blocks : tuple of int
        Chained hashes of the prompt's blocks, for the prefix cache.
    started : bool
        Whether the answer has begun.
    journaled : bool
        Whether the log holds the turn; the answer's last event says so.
    before_final : list of callables
        Awaited by the dispatch filter with the `CallResult` when the answer
        is whole and before its final event is sent. A `Refusal` raised there
        takes the final event's place.
    tokens_used : int
        Tokens that endpoints have spent so far on a call that may yet fail.
    token_allowance : int
        The tokens that all attempts together may use, 0 for no bound. Another
        attempt is made only if its worst case still fits.
    sent : bool or None
        Whether a byte of the request may have left for an endpoint. The
        dispatch filter sets it to False when it takes the call and to True
        before it sends; None counts as True.
    """

    request: Request
    responder: Responder
    kind: RequestKind | None = None
    body: dict[str, Any] = field(factory=dict)
    program: str = ""
    turn: int | None = None
    builds_on: str = ""
    model: str = ""
    service: str = ""
    rest: str = ""
    stream: bool = False
    call_class: CallClass = CallClass.CALLER_WAITING
    deadline: float | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    digest: str = ""
    blocks: tuple[int, ...] = ()
    started: bool = False
    journaled: bool = True
    before_final: list[BeforeFinal] = field(factory=list)
    tokens_used: int = 0
    token_allowance: int = 0
    sent: bool | None = None


Proceed = Callable[[Exchange], Awaitable[None]]


class Filter(Protocol):
    """One step of the chain."""

    name: str

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Do the step and call `proceed` for the rest of the chain.

        Raises
        ------
        Refusal
            To give the request its final answer.
        """


def chain(filters: list[Filter], last: Proceed) -> Proceed:
    """Return one callable that runs the filters in order, then `last`."""
    proceed = last
    for one in reversed(filters):
        proceed = _bind(one, proceed)
    return proceed


def _bind(one: Filter, proceed: Proceed) -> Proceed:
    async def run(exchange: Exchange) -> None:
        await one.handle(exchange, proceed)

    return run
