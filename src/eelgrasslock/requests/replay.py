"""Giving a stored answer again, whole, as JSON or as server-sent events."""

import json
from typing import Any

from eelgrasslock.requests.exchange import JOURNALED_HEADER, Exchange
from eelgrasslock.requests.sse import DONE_EVENT, EVENT_STREAM_TYPE, encode_event

_JSON_TYPE = "application/json"
_EXTRA_KEY = "eelgrass"


async def replay_answer(exchange: Exchange, answer: dict[str, Any]) -> None:
    """Send a stored ``chat.completion`` the way the caller wants it."""
    exchange.started = True
    if exchange.stream:
        await _replay_events(exchange, answer)
        return
    headers = {
        "Content-Type": _JSON_TYPE,
        JOURNALED_HEADER: str(exchange.journaled).lower(),
    }
    await exchange.responder.start(200, headers)
    await exchange.responder.write(json.dumps(answer).encode())
    await exchange.responder.finish()


async def _replay_events(exchange: Exchange, answer: dict[str, Any]) -> None:
    headers = {"Content-Type": EVENT_STREAM_TYPE, "Cache-Control": "no-cache"}
    await exchange.responder.start(200, headers)
    for chunk in _chunks(exchange, answer):
        await exchange.responder.write(encode_event(chunk))
    await exchange.responder.write(DONE_EVENT)
    await exchange.responder.finish()


def _wants_usage(exchange: Exchange) -> bool:
    options = exchange.body.get("stream_options") or {}
    return bool(options.get("include_usage"))


def _chunks(exchange: Exchange, answer: dict[str, Any]) -> list[dict[str, Any]]:
    choices = answer.get("choices", [])
    deltas = [_choice(choice, _delta(choice), None) for choice in choices]
    ends = [_choice(choice, {}, choice.get("finish_reason")) for choice in choices]
    chunks = [_chunk(answer, deltas), _chunk(answer, ends)]
    chunks[-1][_EXTRA_KEY] = {"journaled": exchange.journaled}
    if _wants_usage(exchange) and answer.get("usage"):
        last = _chunk(answer, [])
        last["usage"] = answer["usage"]
        chunks.append(last)
    return chunks


def _chunk(answer: dict[str, Any], choices: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "id": answer.get("id", ""),
        "object": "chat.completion.chunk",
        "created": answer.get("created", 0),
        "model": answer.get("model", ""),
        "choices": choices,
    }


def _choice(
    choice: dict[str, Any], delta: dict[str, Any], finish_reason: str | None
) -> dict[str, Any]:
    return {
        "index": choice.get("index", 0),
        "delta": delta,
        "finish_reason": finish_reason,
    }


def _delta(choice: dict[str, Any]) -> dict[str, Any]:
    delta = dict(choice.get("message", {}))
    if delta.get("tool_calls"):
        delta["tool_calls"] = [
            {"index": index, **call} for index, call in enumerate(delta["tool_calls"])
        ]
    return delta
