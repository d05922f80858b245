"""A stand-in engine's size, speed and faults."""

from attrs import define, field


@define(kw_only=True)
class EngineFaults:
    """What can be switched on an engine.

    Attributes
    ----------
    leaving : bool
        The load report says so, and new calls are refused with 503.
    hang : bool
        Nothing but the control path is answered.
    outage : bool
        New calls answer 503.
    refuse : int
        So many calls get 429 with `retry_after`.
    retry_after : int
        In seconds.
    fail : int
        So many calls get 500, with a secret-looking text.
    slow_factor : float
        How many times longer each step takes.
    break_streams, silent_streams : int
        So many connections are cut off, or go silent without being closed,
        after `fault_after_events` events.
    fault_after_events : int
        See above.
    forget_streams : bool
        Streams can't be resumed.
    load_lag_seconds, event_lag_seconds : float
        How late load reports and cache events are.
    event_loss : float
        The share of cache events that is lost.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    load_down : bool
        The load report answers 503.
    """

    leaving: bool = False
    hang: bool = False
    outage: bool = False
    refuse: int = 0
    retry_after: int = 1
    fail: int = 0
    slow_factor: float = 1.0
    break_streams: int = 0
    silent_streams: int = 0
    fault_after_events: int = 3
    forget_streams: bool = False
    load_lag_seconds: float = 0.5
    event_lag_seconds: float = 0.5
    event_loss: float = 0.02
    checks_fencing: bool = False
    load_down: bool = False


@define(kw_only=True)
class EngineShape:
    """An engine's size and speed.

    Attributes
    ----------
    name : str
        Its id.
    models : list of str
        What it runs; empty means any.
    batch_limit : int
        How many calls it runs at once.
    cache_tokens, context_tokens : int
        The prefix cache's size, and the longest prompt and answer.
    prefill_tokens_per_second, decode_tokens_per_second : float
        For one call in an empty batch.
    """

    name: str = "engine"
    models: list[str] = field(factory=list)
    batch_limit: int = 16
    cache_tokens: int = 200_000
    context_tokens: int = 131_072
    prefill_tokens_per_second: float = 8_000.0
    decode_tokens_per_second: float = 40.0
