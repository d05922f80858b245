"""One call on a stand-in engine, and the objects that its answer is sent as."""

from typing import Any

from attrs import define

from eelgrasslock_standins.answers import Answer
from eelgrasslock_standins.engine_stream import EngineStream


@define
class Generation:
    """One call on the engine."""

    model: str
    messages: list[dict[str, Any]]
    answer: Answer
    stream: EngineStream
    blocks: tuple[int, ...]
    prompt_tokens: int
    program: str
    include_usage: bool
    cached_tokens: int = 0
    prefill_left: int = 0
    sent: int = 0

    def chunk(
        self, delta: dict[str, Any], finish_reason: str | None = None
    ) -> dict[str, Any]:
        """Return one ``chat.completion.chunk`` object."""
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        return {**self._head("chat.completion.chunk"), "choices": [choice]}

    def usage(self) -> dict[str, Any]:
        """Return the usage object."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.sent,
            "total_tokens": self.prompt_tokens + self.sent,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def usage_chunk(self) -> dict[str, Any]:
        """Return the chunk that carries the usage."""
        head = self._head("chat.completion.chunk")
        return {**head, "choices": [], "usage": self.usage()}

    def completion(self) -> dict[str, Any]:
        """Return the whole ``chat.completion`` object."""
        choice = {
            "index": 0,
            "message": self.answer.message(self.sent),
            "finish_reason": self.answer.finish_reason,
        }
        head = self._head("chat.completion")
        return {**head, "choices": [choice], "usage": self.usage()}

    def next_delta(self) -> dict[str, Any]:
        """Return the delta with the next token."""
        token = self.answer.tokens[self.sent]
        if not self.answer.tool:
            return {"content": token}
        call: dict[str, Any] = {"index": 0, "function": {"arguments": token}}
        if self.sent == 0:
            call["id"] = f"call_{self.answer.tool}"
            call["type"] = "function"
            call["function"]["name"] = self.answer.tool
        return {"tool_calls": [call]}

    def _head(self, kind: str) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{self.stream.id}",
            "object": kind,
            "created": 0,
            "model": self.model,
        }
