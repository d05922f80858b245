"""Tracks the prompt contexts of live programs on each engine."""

from collections import OrderedDict

from attrs import define

from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.endpoint_state import EndpointState

IDLE_TIMEOUT_SECONDS = 180.0


@define(eq=False)
class LiveContext:
    """The context of one program.

    Attributes
    ----------
    state : EndpointState
        The engine that ran the program's last call.
    tokens : int
        Length of its last prompt, without the shared part.
    shared_tokens : int
        Part of its first prompt that was cached by calls of other programs.
    last_used_at : float
        Start of its last call on the monotonic clock, in seconds.
    """

    state: EndpointState
    tokens: int
    shared_tokens: int
    last_used_at: float


class LiveContexts:
    """The contexts of the programs that are expected to call again.

    A program is live until it ends, or until it has made no call for
    `IDLE_TIMEOUT_SECONDS`: callers may crash, and single calls are never ended.
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
        """Record that a call of a program starts on an engine."""
        shared = cached_tokens
        previous = self.contexts.get(call.program)
        if previous is not None:
            shared = previous.shared_tokens
            previous.state.live_tokens -= previous.tokens
        tokens = max(0, call.prompt_tokens - shared)
        state.live_tokens += tokens
        self.contexts[call.program] = LiveContext(state, tokens, shared, now)
        self.contexts.move_to_end(call.program)

    def remove(self, program: str) -> None:
        """Remove a program."""
        context = self.contexts.pop(program, None)
        if context is not None:
            context.state.live_tokens -= context.tokens

    def drop_idle(self, now: float) -> None:
        """Remove the programs whose idle timeout has passed."""
        while self.contexts:
            program, context = next(iter(self.contexts.items()))
            if now - context.last_used_at <= IDLE_TIMEOUT_SECONDS:
                return
            self.remove(program)
