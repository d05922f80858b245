"""The way of a model's answer from an engine to the caller."""

import json
from typing import Any

from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.chat_message import MessageBuilder
from eelgrasslock.requests.exchange import (
    ENDPOINT_HEADER,
    JOURNALED_HEADER,
    CallResult,
    Exchange,
)
from eelgrasslock.requests.refusal_body import refusal_body
from eelgrasslock.requests.sse import DONE_EVENT, EVENT_STREAM_TYPE, encode_event
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import Assignment, CallOutcome

_EXTRA_KEY = "eelgrass"
_BAD_GATEWAY = 502


class AnswerRelay:
    """Passes an answer on as it comes, but for its last event.

    When an attempt breaks and another one begins, its answer is compared with
    what the caller has already seen and passed on from where that ends. An
    answer that differs can't be continued.

    Parameters
    ----------
    exchange : Exchange
        The call, and where its answer goes.
    id : str
        The answer's id.
    created : int
        The answer's time, in seconds since the epoch.
    """

    def __init__(self, exchange: Exchange, id: str, created: int) -> None:
        self.exchange = exchange
        self.id = id
        self.created = created
        self.endpoint = ""
        self.tokens = 0
        self._sent_text = ""
        self._sent_others: list[dict[str, Any]] = []
        self._message = MessageBuilder()
        self._finish_reason = ""
        self._usage: dict[str, Any] = {}
        self._text_length = 0
        self._others = 0

    def begin(self, endpoint: str) -> None:
        """Begin an attempt on an endpoint."""
        self.endpoint = endpoint
        self.tokens = 0
        self._message = MessageBuilder()
        self._finish_reason = ""
        self._usage = {}
        self._text_length = 0
        self._others = 0

    async def take(self, chunk: dict[str, Any]) -> None:
        """Take in one chunk of the attempt, and pass on what is new in it.

        Raises
        ------
        Refusal
            If the answer differs from what the caller has seen.
        """
        if chunk.get("usage"):
            self._usage = chunk["usage"]
        await self._begin_answer()
        for choice in chunk.get("choices") or []:
            delta = choice.get("delta") or {}
            if delta.get("content") or delta.get("tool_calls"):
                self.tokens += 1
            self._message.add(delta)
            self._finish_reason = choice.get("finish_reason") or self._finish_reason
            if self.exchange.stream:
                await self._pass_on(delta)

    def end(self) -> Usage:
        """End the attempt and return what it used.

        Raises
        ------
        EndpointFailure
            If the answer is not whole.
        Refusal
            If it is shorter than what the caller has seen.
        """
        if not self._finish_reason:
            message = "The answer has no finish reason."
            raise EndpointFailure(message, CallOutcome.BROKEN, Ran.YES)
        if self._text_length < len(self._sent_text):
            raise _diverged()
        if self._others < len(self._sent_others):
            raise _diverged()
        return _usage(self._usage, self.exchange.prompt_tokens, self.tokens)

    def result(self, assignment: Assignment, usage: Usage, tokens: int) -> CallResult:
        """Return the whole answer for those who settle the call."""
        message = self._message.message()
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": self._finish_reason,
        }
        answer = {
            **self._head("chat.completion"),
            "choices": [choice],
            "usage": _usage_object(usage),
        }
        return CallResult(
            message=message,
            answer=answer,
            usage=usage,
            tokens=tokens,
            endpoint=assignment.endpoint,
            reason=assignment.reason,
        )

    async def finish(self, result: CallResult) -> None:
        """Send what was held back, or the whole answer if it isn't streamed."""
        if self.exchange.stream:
            await self._finish_stream(result)
            return
        headers = self._headers("application/json")
        headers[JOURNALED_HEADER] = str(self.exchange.journaled).lower()
        self.exchange.started = True
        await self.exchange.responder.start(200, headers)
        await self.exchange.responder.write(json.dumps(result.answer).encode())
        await self.exchange.responder.finish()

    async def fail(self, refusal: Refusal) -> None:
        """End an answer that has begun by an error event."""
        event = b"data: " + refusal_body(refusal) + b"\n\n"
        await self.exchange.responder.write(event)
        await self.exchange.responder.finish()

    async def _begin_answer(self) -> None:
        if not self.exchange.stream or self.exchange.started:
            return
        self.exchange.started = True
        headers = self._headers(EVENT_STREAM_TYPE)
        headers["Cache-Control"] = "no-cache"
        await self.exchange.responder.start(200, headers)

    async def _pass_on(self, delta: dict[str, Any]) -> None:
        content = delta.get("content")
        fresh = self._fresh_others(
            {key: value for key, value in delta.items() if key != "content"}
        )
        if content:
            text = self._fresh_text(content)
            if text:
                fresh["content"] = text
        elif "content" in delta and fresh:
            fresh["content"] = content
        if fresh:
            await self._write(self._chunk(fresh, None))

    def _fresh_text(self, content: str) -> str:
        """Return the part of a text that the caller hasn't seen."""
        start = self._text_length
        self._text_length += len(content)
        seen = self._sent_text[start : self._text_length]
        if not content.startswith(seen):
            raise _diverged()
        fresh = content[len(seen) :]
        self._sent_text += fresh
        return fresh

    def _fresh_others(self, others: dict[str, Any]) -> dict[str, Any]:
        """Return the other parts of a delta unless the caller has seen them."""
        if not others:
            return {}
        index = self._others
        self._others += 1
        if index == len(self._sent_others):
            self._sent_others.append(others)
            return dict(others)
        if self._sent_others[index] != others:
            raise _diverged()
        return {}

    async def _finish_stream(self, result: CallResult) -> None:
        last = self._chunk({}, self._finish_reason)
        last[_EXTRA_KEY] = {
            "endpoint": self.endpoint,
            "journaled": self.exchange.journaled,
        }
        await self._write(last)
        options = self.exchange.body.get("stream_options") or {}
        if options.get("include_usage"):
            await self._write(self._usage_chunk(result.usage))
        await self.exchange.responder.write(DONE_EVENT)
        await self.exchange.responder.finish()

    async def _write(self, chunk: dict[str, Any]) -> None:
        await self.exchange.responder.write(encode_event(chunk))

    def _chunk(
        self, delta: dict[str, Any], finish_reason: str | None
    ) -> dict[str, Any]:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        return {**self._head("chat.completion.chunk"), "choices": [choice]}

    def _usage_chunk(self, usage: Usage) -> dict[str, Any]:
        head = self._head("chat.completion.chunk")
        return {**head, "choices": [], "usage": _usage_object(usage)}

    def _head(self, kind: str) -> dict[str, Any]:
        return {
            "id": self.id,
            "object": kind,
            "created": self.created,
            "model": self.exchange.model,
        }

    def _headers(self, content_type: str) -> dict[str, str]:
        return {"Content-Type": content_type, ENDPOINT_HEADER: self.endpoint}


def _diverged() -> Refusal:
    return Refusal(
        "answer_broken",
        "The answer broke off and could not be continued.",
        _BAD_GATEWAY,
        Ran.YES,
    )


def _usage(reported: dict[str, Any], prompt_tokens: int, tokens: int) -> Usage:
    details = reported.get("prompt_tokens_details") or {}
    return Usage(
        prompt_tokens=int(reported.get("prompt_tokens", prompt_tokens)),
        cached_tokens=int(details.get("cached_tokens", 0)),
        completion_tokens=int(reported.get("completion_tokens", tokens)),
    )


def _usage_object(usage: Usage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
