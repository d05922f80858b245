"""The headers of requests and answers on the platform."""

from eelgrasslock.exceptions import Refusal
from eelgrasslock.gateway.messages import (
    EndpointLoadHeader,
    EndpointResponse,
    GatewayRequest,
    PromptPart,
)
from eelgrasslock.http.messages import Header, OutgoingRequest, ResponseHead

READY_PATH = "/eelgrasslock/readyz"

_REQUEST_ID = "request-id"
_DEADLINE = "deadline-ms"
_PROMPT = "prompt-prefix"
_RESUME = "last-event-id"
_TOKENS = "token-usage"
_PROGRAM = "program-id"
_SESSION = "session-id"
_FINISH = "finish-ms"
_BUDGET = "token-budget"
_EXPECT = "expect-instance"
_STAMP = "server-stamp"
_NOT_RUN = "not-run"
_LOAD = "server-load"

_PER_CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_FRAMING = frozenset({"content-length", "expect"})
_SET_BY_US = frozenset(
    {_DEADLINE, _EXPECT, "hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch"}
)
_ENDPOINTS_OWN = frozenset({_LOAD, _NOT_RUN, "instance-id", "date", "server"})
_DIGITS = 18


class PlatformMessageCodec:
    """Translates requests and answers."""

    ready_path = READY_PATH

    def decode_request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        received_at: float,
    ) -> GatewayRequest:
        """Return a caller's request; see `gateway.interfaces.MessageCodec`."""
        values = {name.lower(): value.strip() for name, value in headers}
        dropped = _PER_CONNECTION | _FRAMING | _SET_BY_US | _connection_words(values)
        kept = [pair for pair in headers if pair[0].lower() not in dropped]
        prompt_tokens, output_tokens = _token_usage(values.get(_TOKENS, ""))
        return GatewayRequest(
            id=values.get(_REQUEST_ID, ""),
            method=method,
            host=values.get("host", ""),
            target=target,
            headers=tuple(kept),
            body=body,
            received_at=received_at,
            caller_timeout_seconds=_milliseconds(values, _DEADLINE),
            program=values.get(_PROGRAM, ""),
            session=values.get(_SESSION, ""),
            program_time_left_seconds=_time_left(values, _FINISH),
            budget_tokens=_whole(values, _BUDGET),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt_parts=_prompt_parts(values.get(_PROMPT, "")),
            last_event_id=_whole(values, _RESUME),
        )

    def encode_request(
        self, request: GatewayRequest, endpoint: str, seconds: float
    ) -> OutgoingRequest:
        """Return the request for one endpoint."""
        milliseconds = max(1, int(seconds * 1_000))
        own = (("Deadline-Ms", str(milliseconds)), ("Expect-Instance", endpoint))
        return OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=request.headers + own,
            body=request.body,
            expected_response_id=request.id,
            response_id_header=_REQUEST_ID,
        )

    def decode_response(self, head: ResponseHead) -> EndpointResponse:
        """Return the head of an endpoint's answer."""
        values = {name.lower(): value.strip() for name, value in head.headers}
        dropped = _PER_CONNECTION | _FRAMING | _ENDPOINTS_OWN
        dropped |= _connection_words(values)
        kept = [pair for pair in head.headers if pair[0].lower() not in dropped]
        misdirected = head.status == 421
        encoding = values.get("content-encoding", "identity").lower()
        return EndpointResponse(
            status=head.status,
            headers=tuple(kept),
            not_run=misdirected or _NOT_RUN in values,
            is_valid=_STAMP in values and encoding in ("", "identity"),
            load=_load(values.get(_LOAD, "")),
            content_length=_whole(values, "content-length"),
            keep_alive_seconds=_keep_seconds(values.get("keep-alive", "")),
            retry_after_seconds=_seconds(values.get("retry-after", "")),
        )

    def refusal_headers(self, request_id: str) -> list[Header]:
        """Return the headers that an answer of our own carries."""
        return [("Request-Id", request_id)] if request_id else []


def _connection_words(values: dict[str, str]) -> frozenset[str]:
    words = values.get("connection", "").lower().split(",")
    return frozenset(word.strip() for word in words)


def _milliseconds(values: dict[str, str], name: str) -> float | None:
    number = _whole(values, name)
    return None if number is None else number / 1_000


def _time_left(values: dict[str, str], name: str) -> float | None:
    """Return seconds that are left, negative where the time is over."""
    text = values.get(name, "")
    if not text.startswith("-"):
        return _milliseconds(values, name)
    seconds = _milliseconds({name: text.removeprefix("-")}, name)
    return None if seconds is None else -seconds


def _whole(values: dict[str, str], name: str) -> int | None:
    text = values.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > _DIGITS:
        raise Refusal("bad_header", f"The header {name} is no whole number.", 400)
    return int(text)


def _token_usage(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    if prompt.strip().isdigit() and output.strip().isdigit():
        return int(prompt), int(output)
    return 0, 0


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts up to the first that can't be read."""
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if not name or not tokens.isdigit():
            break
        parts.append(PromptPart(id=name, tokens=int(tokens)))
    return tuple(parts)


def _load(text: str) -> EndpointLoadHeader | None:
    words = [word.strip() for word in text.split(",")]
    if len(words) != 3 or not all(word.isdigit() for word in words):
        return None
    running, waiting, slots = (int(word) for word in words)
    return EndpointLoadHeader(running=running, waiting=waiting, slots=slots)


def _keep_seconds(text: str) -> float | None:
    for word in text.lower().split(","):
        name, _, value = word.strip().partition("=")
        if name == "timeout" and value.isdigit():
            return float(value)
    return None


def _seconds(text: str) -> float | None:
    try:
        return max(0.0, float(text))
    except ValueError:
        return None
