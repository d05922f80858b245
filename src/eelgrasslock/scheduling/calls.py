"""Data types that the scheduler and its callers share."""

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
        Unique id of the call.
    program : str
        Id of its program; a single call is a program of its own.
    service : str
        Name of the service whose endpoints can run it.
    model : str
        Name of the model, empty for a plain service.
    call_class : CallClass
        The class that sets its priority and wait limit.
    blocks : tuple of int
        Chained hashes of the prompt's blocks of `BLOCK_TOKENS` tokens each.
    keys : tuple of int
        Chained hashes of the prompt's chunks, if they are known without
        `blocks`.
    prompt_tokens, max_tokens : int
        Length of the prompt, and limit of the answer's length.
    deadline : float or None
        Time on the monotonic clock, in seconds.
    preferred_endpoint : str
        The engine that has the program's context in its cache according to
        other daemons, empty if none is known.
    digest : str
        Digest of the request, to find requests that crash endpoints.
    wide_digests : tuple of str
        Digests of what its repetitions may have in common, the narrowest first.
    limits_copies : bool
        Whether a few calls with its digest run at once at most, although none has
        crashed an endpoint.
    excluded : frozenset of str
        Endpoints on which this call has failed.
    version : str
        The software version that an endpoint must have to run it, empty for any.
    workspace : str
        The workspace that sends it, empty if it has none.
    has_lower_priority : bool
        Whether another workspace has priority over its own.
    kind : str
        What its run time is compared with: that of calls of the same kind.
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
    wide_digests: tuple[str, ...] = ()
    limits_copies: bool = True
    excluded: frozenset[str] = frozenset()
    version: str = ""
    workspace: str = ""
    has_lower_priority: bool = False
    kind: str = ""

    @property
    def digests(self) -> tuple[str, ...]:
        """All of its digests, the narrowest first."""
        return (self.digest, *self.wide_digests) if self.digest else ()


@frozen(kw_only=True)
class Assignment:
    """The endpoint that is assigned to a call.

    Attributes
    ----------
    call : Call
        The call.
    endpoint : str
        The endpoint's id.
    cached_tokens : int
        Number of prompt tokens that are expected in its cache.
    predicted_seconds : float
        Expected run time of the call.
    reason : str
        A sentence that explains the choice.
    import_from : str
        The endpoint from which the prompt's KV cache should be imported before
        the call is sent, or empty. A failed import costs only time.
    """

    call: Call
    endpoint: str
    cached_tokens: int
    predicted_seconds: float
    reason: str
    import_from: str = ""


class CallOutcome(enum.Enum):
    """Outcome of an assigned call on its endpoint.

    `FAILED` is a whole answer that reports an error of the endpoint's own.
    """

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    CRASHED = "crashed"
    SILENT = "silent"
    CANCELLED = "cancelled"


@define(kw_only=True)
class LoadReport:
    """A load report of an engine, which is delayed.

    Attributes
    ----------
    running, queued : int
        Number of calls in its batch, and in its queue.
    cache_used_tokens : int
        Number of tokens in its prefix cache.
    time : float
        Time at which the engine made the report, in seconds since the epoch.
    slots : int
        Number of calls that it runs at once, 0 if it does not say.
    slowdown : float or None
        How long work takes there, as a multiple of the usual time; None if it does
        not say.
    """

    running: int
    queued: int
    cache_used_tokens: int = 0
    time: float = 0.0
    slots: int = 0
    slowdown: float | None = None


@frozen(kw_only=True)
class CacheEvent:
    """A change of an engine's prefix cache, which is reported with a delay.

    Attributes
    ----------
    number : int
        Sequence number; a gap means that events were lost.
    stored, evicted : tuple of int
        Hashes of the blocks.
    """

    number: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


@frozen(kw_only=True)
class PeerLoad:
    """A peer's use of the endpoints, as reported with its heartbeat.

    Attributes
    ----------
    incarnation : str
        Incarnation of the peer.
    in_flight : dict of str to int
        Number of calls of the peer on each endpoint.
    waiting : int
        Number of calls that wait at the peer.
    suspect_digests : tuple of str
        Digests of requests that were in flight when an endpoint crashed, one
        entry for each crash that the peer observed.
    open_breakers : tuple of str
        Endpoints whose circuit breaker is not closed at the peer.
    """

    incarnation: str
    in_flight: dict[str, int]
    waiting: int = 0
    suspect_digests: tuple[str, ...] = ()
    open_breakers: tuple[str, ...] = ()
