"""Counts the context of live programs on each engine."""

from collections import OrderedDict

from attrs import define

from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.endpoint_state import EndpointState

IDLE_TIMEOUT_SECONDS = 180.0


@define(eq=False)
class LiveContext:
    """One program's context.

    Attributes
    ----------
    state : EndpointState
        The engine that ran the program's last call.
    tokens : int
        The length of its last prompt, without what others had computed.
    shared_tokens : int
        The part of its first prompt that others had computed.
    last_used_at : float
        When its last call started, on the monotonic clock.
    """

    state: EndpointState
    tokens: int
    shared_tokens: int
    last_used_at: float


class LiveContexts:
    """The contexts of the programs that are expected to call again.

    A program counts until it ends, or until it has made no call for
    `IDLE_TIMEOUT_SECONDS`: callers may die, and single calls have no end.
    """

    def __init__(self) -> None:
        self.contexts: OrderedDict[str, LiveContext] = OrderedDict()

    def last_endpoint(self, program: str) -> str:
        """Return the engine that ran a program's last call, or an empty string."""
        context = self.contexts.get(program)
        return context.state.name if context is not None else ""

    def record_call(
        self, call: Call, state: EndpointState, cached_tokens: int, now: float
    ) -> None:
        """Note that a program's call starts on an engine."""
        shared = cached_tokens
        former = self.contexts.get(call.program)
        if former is not None:
            shared = former.shared_tokens
            former.state.live_tokens -= former.tokens
        tokens = max(0, call.prompt_tokens - shared)
        state.live_tokens += tokens
        self.contexts[call.program] = LiveContext(state, tokens, shared, now)
        self.contexts.move_to_end(call.program)

    def remove(self, program: str) -> None:
        """Count a program no more."""
        context = self.contexts.pop(program, None)
        if context is not None:
            context.state.live_tokens -= context.tokens

    def drop_idle(self, now: float) -> None:
        """Count programs no more that made no call for long."""
        while self.contexts:
            program, context = next(iter(self.contexts.items()))
            if now - context.last_used_at <= IDLE_TIMEOUT_SECONDS:
                return
            self.remove(program)
