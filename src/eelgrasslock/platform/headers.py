"""Headers of requests and responses on the platform."""

import math
import secrets

from attrs import evolve

from eelgrasslock.exceptions import Refusal
from eelgrasslock.exchanges.messages import (
    EndpointLoadHeader,
    EndpointResponse,
    GatewayRequest,
    PromptPart,
    RequestLimitHeader,
)
from eelgrasslock.http.messages import Header, OutgoingRequest, ResponseHead

_ID_BYTES = 8
READY_PATH = "/eelgrasslock/readyz"
REPORT_PATH = "/eelgrasslock/report"

_REQUEST_ID = "request-id"
_DEADLINE_MS = "deadline-ms"
_PROMPT_PREFIX = "prompt-prefix"
_LAST_EVENT_ID = "last-event-id"
_RESUMES = "resumes"
_PREVIOUS_TURN = "previous-turn"
_COOKIE = "cookie"
_AFFINITY_KEY = "Affinity-Key"
_TOKEN_USAGE = "token-usage"
_PROGRAM_ID = "program-id"
_SESSION_ID = "session-id"
_FINISH_MS = "finish-ms"
_TOKEN_BUDGET = "token-budget"
_AUTHORIZATION = "authorization"
_KEY_SCHEME = "token"
_TENANT = "tenant"
_EXPECT_INSTANCE = "expect-instance"
_INSTANCE_ID = "instance-id"
_MISDIRECTED = 421
# Callers take these for a promise that the request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
_SERVER_STAMP = "server-stamp"
_NOT_RUN = "not-run"
_SERVER_LOAD = "server-load"
_SERVER_LIMIT = "server-limit"
_SERVER_LEAVING = "server-leaving"
_LEAVING = "1"

_HOP_BY_HOP = frozenset(
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
_SET_BY_GATEWAY = frozenset(
    {
        _DEADLINE_MS,
        _EXPECT_INSTANCE,
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
_ENDPOINT_ONLY = frozenset(
    {
        _SERVER_LOAD,
        _SERVER_LIMIT,
        _SERVER_LEAVING,
        _NOT_RUN,
        _INSTANCE_ID,
        "date",
        "server",
    }
)
_MAX_DIGITS = 18
# A prompt of more tokens fits no engine; its length must not cost time here.
_MAX_TOKENS = 4_000_000
# The fourth figure of a load for an endpoint that is as fast as usual.
_USUAL_PERCENT = 100
_MAX_CALLS = 1_000_000
_MAX_ID_CHARACTERS = 256


class PlatformMessageCodec:
    """Decodes and encodes requests and responses."""

    ready_path = READY_PATH
    report_path = REPORT_PATH

    def decode_request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        received_at: float,
    ) -> GatewayRequest:
        """Decode a caller's request; see `exchanges.interfaces.MessageCodec`."""
        values = {name.lower(): value.strip() for name, value in headers}
        dropped = _HOP_BY_HOP | _FRAMING | _SET_BY_GATEWAY | _connection_options(values)
        kept = [pair for pair in headers if pair[0].lower() not in dropped]
        prompt_tokens, output_tokens = _token_usage(values.get(_TOKEN_USAGE, ""))
        return GatewayRequest(
            id=_id(values, _REQUEST_ID),
            method=method,
            host=values.get("host", ""),
            target=target,
            headers=tuple(kept),
            body=body,
            received_at=received_at,
            caller_timeout_seconds=_seconds_from_milliseconds(values, _DEADLINE_MS),
            program=_id(values, _PROGRAM_ID),
            session=_id(values, _SESSION_ID),
            program_time_left_seconds=_remaining_seconds(values, _FINISH_MS),
            budget_tokens=_integer(values, _TOKEN_BUDGET),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt_parts=_prompt_parts(values.get(_PROMPT_PREFIX, "")),
            last_event_id=_integer(values, _LAST_EVENT_ID),
            resumed_request=_id(values, _RESUMES),
            previous_turn=_id(values, _PREVIOUS_TURN),
            affinity_key=_cookie(headers, _AFFINITY_KEY),
            api_key=_api_key(values.get(_AUTHORIZATION, "")),
        )

    def mark_workspace(self, request: GatewayRequest, name: str) -> GatewayRequest:
        """Name the workspace of a request in place of its key."""
        dropped = (_AUTHORIZATION, _TENANT)
        kept = [pair for pair in request.headers if pair[0].lower() not in dropped]
        if name:
            kept.append(("Tenant", name))
        return evolve(request, headers=tuple(kept), workspace=name)

    def encode_probe(self, path: str, endpoint: str) -> OutgoingRequest:
        """Return a request that asks an endpoint whether it is healthy."""
        headers = (
            ("Host", endpoint),
            ("Request-Id", secrets.token_hex(_ID_BYTES)),
            ("Expect-Instance", endpoint),
        )
        return OutgoingRequest(method="GET", target=path, headers=headers, body=b"")

    def encode_request(
        self, request: GatewayRequest, endpoint: str, seconds: float
    ) -> OutgoingRequest:
        """Encode the request for one endpoint."""
        milliseconds = max(1, int(seconds * 1_000))
        added = (("Deadline-Ms", str(milliseconds)), ("Expect-Instance", endpoint))
        return OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=request.headers + added,
            body=request.body,
            expected_response_id=request.id,
            response_id_header=_REQUEST_ID,
        )

    def encode_resumption(
        self,
        request: GatewayRequest,
        endpoint: str,
        seconds: float,
        last_event_id: int,
    ) -> OutgoingRequest:
        """Encode the request for the events after one that the caller has."""
        kept = [one for one in request.headers if one[0].lower() != _LAST_EVENT_ID]
        headers = (*kept, ("Last-Event-Id", str(last_event_id)))
        resumed = evolve(request, headers=headers, last_event_id=last_event_id)
        return self.encode_request(resumed, endpoint, seconds)

    def is_answer_of(self, head: ResponseHead, endpoint: str) -> bool:
        """Return whether a probe was answered by the endpoint that it was sent to."""
        named = head.header(_INSTANCE_ID) or endpoint
        return head.status != _MISDIRECTED and named == endpoint

    def decode_response(self, head: ResponseHead, request_id: str) -> EndpointResponse:
        """Decode the head of an endpoint's response."""
        values = {name.lower(): value.strip() for name, value in head.headers}
        dropped = _HOP_BY_HOP | _FRAMING | _ENDPOINT_ONLY
        dropped |= _connection_options(values)
        kept = [pair for pair in head.headers if pair[0].lower() not in dropped]
        misdirected = head.status == _MISDIRECTED
        is_own = not request_id or values.get(_REQUEST_ID) == request_id
        load = _endpoint_load(values.get(_SERVER_LOAD, ""))
        encoding = values.get("content-encoding", "identity").lower()
        return EndpointResponse(
            status=head.status,
            headers=tuple(kept),
            not_run=is_own and (misdirected or _NOT_RUN in values),
            is_own=is_own,
            claims_not_run=head.status in _PROMISES,
            is_misdirected=misdirected,
            is_leaving=values.get(_SERVER_LEAVING) == _LEAVING,
            is_valid=(
                _SERVER_STAMP in values and encoding in ("", "identity") and is_own
            ),
            load=load,
            is_load_malformed=load is None and _SERVER_LOAD in values,
            request_limit=_request_limit(values.get(_SERVER_LIMIT)),
            content_length=_digits(values.get("content-length", "")),
            keep_alive_seconds=_keep_alive_seconds(values.get("keep-alive", "")),
            retry_after_seconds=_retry_after_seconds(values.get("retry-after", "")),
        )

    def refusal_headers(self, request_id: str) -> list[Header]:
        """Return the headers of a response by this daemon."""
        return [("Request-Id", request_id)] if request_id else []


def _connection_options(values: dict[str, str]) -> frozenset[str]:
    options = values.get("connection", "").lower().split(",")
    return frozenset(option.strip() for option in options)


def _seconds_from_milliseconds(values: dict[str, str], name: str) -> float | None:
    number = _integer(values, name)
    return None if number is None else number / 1_000


def _remaining_seconds(values: dict[str, str], name: str) -> float | None:
    """Return the remaining seconds, negative if the time has passed."""
    text = values.get(name, "")
    if not text.startswith("-"):
        return _seconds_from_milliseconds(values, name)
    seconds = _seconds_from_milliseconds({name: text.removeprefix("-")}, name)
    return None if seconds is None else -seconds


def _integer(values: dict[str, str], name: str) -> int | None:
    text = values.get(name)
    if text is None:
        return None
    number = _digits(text)
    if number is None:
        raise Refusal("bad_header", f"The header {name} is no whole number.", 400)
    return number


def _digits(text: str) -> int | None:
    """Return the number that a text of ASCII digits stands for, else None."""
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    return int(text)


def _id(values: dict[str, str], name: str) -> str:
    text = values.get(name, "")
    if len(text) > _MAX_ID_CHARACTERS or not text.isprintable():
        raise Refusal("bad_header", f"The header {name} is no id.", 400)
    return text


def _cookie(headers: list[Header], wanted: str) -> str:
    """Return the value of a cookie, empty if there is none of that name."""
    for header, text in headers:
        if header.lower() != _COOKIE:
            continue
        for pair in text.split(";"):
            name, _, value = pair.strip().partition("=")
            if name == wanted:
                return value.strip('"')
    return ""


def _api_key(text: str) -> str:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME else ""


def _token_usage(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    numbers = _digits(prompt.strip()), _digits(output.strip())
    if numbers[0] is None or numbers[1] is None:
        return 0, 0
    return min(numbers[0], _MAX_TOKENS), min(numbers[1], _MAX_TOKENS)


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts before the first invalid one."""
    parts = []
    total = 0
    for entry in text.split(","):
        name, _, text = entry.strip().rpartition(":")
        tokens = _digits(text)
        if not name.isprintable() or not name or tokens is None:
            break
        total += tokens
        if total > _MAX_TOKENS:
            break
        parts.append(PromptPart(id=name, tokens=tokens))
    return tuple(parts)


def _endpoint_load(text: str) -> EndpointLoadHeader | None:
    """Return a load of three figures, or of four with the slowdown as the last."""
    numbers = [_digits(number.strip()) for number in text.split(",")]
    known = [one for one in numbers if one is not None and one <= _MAX_CALLS]
    if len(known) != len(numbers) or len(known) not in (3, 4):
        return None
    running, waiting, slots, *percent = known
    if percent == [0]:
        return None
    slowdown = percent[0] / _USUAL_PERCENT if percent else 1.0
    return EndpointLoadHeader(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=slowdown,
        has_slowdown=bool(percent),
    )


def _request_limit(text: str | None) -> RequestLimitHeader | None:
    if text is None:
        return None
    try:
        per_second = float(text)
    except ValueError:
        return RequestLimitHeader(per_second=None)
    if not math.isfinite(per_second) or per_second < 0:
        return RequestLimitHeader(per_second=None)
    return RequestLimitHeader(per_second=per_second)


def _keep_alive_seconds(text: str) -> float | None:
    for parameter in text.lower().split(","):
        name, _, value = parameter.strip().partition("=")
        seconds = _digits(value)
        if name == "timeout" and seconds is not None:
            return float(seconds)
    return None


def _retry_after_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return max(0.0, seconds) if math.isfinite(seconds) else None
