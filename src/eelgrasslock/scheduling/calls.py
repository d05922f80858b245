"""The words that the scheduler and its callers share."""

import enum

from attrs import define, frozen

from eelgrasslock.requests.exchange import CallClass

BLOCK_TOKENS = 16


@frozen(kw_only=True)
class Call:
    """A call that waits for an endpoint.

    Attributes
    ----------
    id : str
        Unique to the call.
    program : str
        The program that it belongs to; a single call has one of its own.
    service : str
        The service whose endpoints can run it.
    model : str
        The model, empty for a plain service.
    call_class : CallClass
        How urgent it is.
    blocks : tuple of int
        Chained hashes of the prompt's blocks of `BLOCK_TOKENS` tokens each.
    keys : tuple of int
        Chained hashes of the prompt's chunks, where they are known without
        `blocks`.
    prompt_tokens, max_tokens : int
        The prompt's length and the answer's limit.
    deadline : float or None
        On the monotonic clock, in seconds.
    preferred_endpoint : str
        The engine that holds its program's context by the word of others, empty
        if none is known.
    digest : str
        Digest of the request, for poison detection.
    excluded : frozenset of str
        Endpoints that this call has failed on.
    """

    id: str
    program: str
    service: str
    model: str = ""
    call_class: CallClass = CallClass.CALLER_WAITING
    blocks: tuple[int, ...] = ()
    keys: tuple[int, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    deadline: float | None = None
    preferred_endpoint: str = ""
    digest: str = ""
    excluded: frozenset[str] = frozenset()


@frozen(kw_only=True)
class Assignment:
    """An endpoint for a call.

    Attributes
    ----------
    call : Call
        The call.
    endpoint : str
        The endpoint's id.
    cached_tokens : int
        The part of the prompt that is expected in its cache.
    predicted_seconds : float
        The expected time to the answer's end.
    reason : str
        One sentence that explains the choice.
    import_from : str
        An endpoint from which the prompt's KV cache is worth importing before
        the call is sent, or empty. A failed import only costs time.
    """

    call: Call
    endpoint: str
    cached_tokens: int
    predicted_seconds: float
    reason: str
    import_from: str = ""


class CallOutcome(enum.Enum):
    """How an assigned call ended on its endpoint."""

    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    CRASHED = "crashed"
    SILENT = "silent"
    CANCELLED = "cancelled"


@define(kw_only=True)
class LoadReport:
    """An engine's own word on its load; it lags.

    Attributes
    ----------
    running, queued : int
        Calls in its batch, and behind it.
    cache_used_tokens : int
        How full its prefix cache is.
    time : float
        When the engine made the report, in seconds since the epoch.
    """

    running: int
    queued: int
    cache_used_tokens: int = 0
    time: float = 0.0


@frozen(kw_only=True)
class CacheEvent:
    """An engine's late word on its prefix cache.

    Attributes
    ----------
    number : int
        Grows by one; a gap means lost events.
    stored, evicted : tuple of int
        Block hashes.
    """

    number: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


@frozen(kw_only=True)
class PeerLoad:
    """What a peer's heartbeat says of its own use of the endpoints.

    Attributes
    ----------
    incarnation : str
        The peer.
    in_flight : dict of str to int
        Calls of that peer on each endpoint.
    waiting : int
        Calls that wait at the peer.
    suspect_digests : tuple of str
        Request digests that were in flight when an endpoint crashed, each once
        for each crash that the peer saw.
    open_breakers : tuple of str
        Endpoints that the peer holds to be down.
    """

    incarnation: str
    in_flight: dict[str, int]
    waiting: int = 0
    suspect_digests: tuple[str, ...] = ()
    open_breakers: tuple[str, ...] = ()
