"""The first filter: what does the request ask for, and is it well formed."""

import hashlib
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration, ServiceKind
from eelgrasslock.exceptions import Refusal
from eelgrasslock.programs.program_ids import parse_program_id
from eelgrasslock.requests.aliases import resolve_models
from eelgrasslock.requests.exchange import (
    CLASS_HEADER,
    DEADLINE_HEADER,
    HISTORY_HEADER,
    PROGRAM_HEADER,
    TURN_HEADER,
    CallClass,
    Exchange,
    Proceed,
    Request,
    RequestKind,
)
from eelgrasslock.requests.tokens import block_hashes, estimate_tokens, prompt_text

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
PROGRAMS_PATH = "/v1/programs"
SERVICES_PREFIX = "/services/"

_DIGEST_BYTES = 16
_DOT_SEGMENTS = frozenset({".", ".."})

_CLASS_NAMES = {
    "lookup": CallClass.LOOKUP,
    "caller-waiting": CallClass.CALLER_WAITING,
    "background": CallClass.BACKGROUND,
}

_PROGRAM_KINDS = {
    ("POST", ""): RequestKind.PROGRAM_CREATE,
    ("GET", "one"): RequestKind.PROGRAM_READ,
    ("DELETE", "one"): RequestKind.PROGRAM_END,
    ("GET", "resume"): RequestKind.PROGRAM_RESUME,
    ("GET", "explain"): RequestKind.PROGRAM_EXPLAIN,
}


def request_digest(request: Request) -> str:
    """Return the digest of a request's method, path, query and body, as hex."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method, request.path, request.query):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class ParseFilter:
    """Recognizes the request and fills in the exchange.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, or None while there is none.
    clock : Clock
        For the caller's deadline.
    """

    name = "parse"

    def __init__(
        self, configuration: Callable[[], Configuration | None], clock: Clock
    ) -> None:
        self.configuration = configuration
        self.clock = clock

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Parse the request and go on.

        Raises
        ------
        Refusal
            If the request is malformed or names something unknown.
        """
        configuration = self.configuration()
        if configuration is None:
            raise Refusal(
                "no_configuration",
                "This daemon has not learned the deployment's configuration yet.",
                503,
                retry_after=2.0,
            )
        request = exchange.request
        if len(request.body) > configuration.limits.body_bytes:
            raise Refusal("body_too_large", "The request body is too large.", 413)
        exchange.digest = request_digest(request)
        self._read_common_headers(exchange, configuration)
        if request.path == CHAT_PATH:
            self._parse_model_call(exchange, configuration)
        elif request.path == MODELS_PATH:
            exchange.kind = RequestKind.MODELS_READ
        elif request.path.startswith(SERVICES_PREFIX):
            self._parse_plain_call(exchange, configuration)
        elif f"{request.path}/".startswith(f"{PROGRAMS_PATH}/"):
            self._parse_program_call(exchange)
        else:
            raise Refusal("not_found", f"There is nothing at {request.path}.", 404)
        await proceed(exchange)

    def _read_common_headers(
        self, exchange: Exchange, configuration: Configuration
    ) -> None:
        request = exchange.request
        exchange.program = request.header(PROGRAM_HEADER)
        if exchange.program:
            _check_program_id(exchange.program)
        exchange.builds_on = request.header(HISTORY_HEADER)
        turn = request.header(TURN_HEADER)
        if turn:
            exchange.turn = _whole_number(turn, TURN_HEADER)
        name = request.header(CLASS_HEADER)
        if name:
            exchange.call_class = _call_class(name)
        seconds = configuration.limits.call_seconds
        text = request.header(DEADLINE_HEADER)
        if text:
            seconds = min(seconds, _seconds(text, DEADLINE_HEADER))
        exchange.deadline = self.clock.monotonic() + seconds

    def _parse_model_call(
        self, exchange: Exchange, configuration: Configuration
    ) -> None:
        _require_method(exchange.request, "POST")
        exchange.kind = RequestKind.MODEL
        body = _json_object(exchange.request.body)
        exchange.body = body
        exchange.model = _text_field(body, "model")
        _check_messages(body.get("messages"))
        exchange.stream = _flag_field(body, "stream")
        if body.get("n", 1) != 1:
            raise _invalid("Only n = 1 is supported.")
        names = resolve_models(configuration, exchange.model)
        if not names:
            raise Refusal(
                "unknown_model", f"No model is named {exchange.model!r}.", 404
            )
        model = configuration.models[names[0]]
        exchange.service = model.service
        exchange.max_tokens = _max_tokens(body, model.default_output_tokens)
        exchange.prompt_tokens = estimate_tokens(prompt_text(body["messages"]))
        exchange.blocks = block_hashes(body["messages"])
        if exchange.prompt_tokens + exchange.max_tokens > model.context_tokens:
            raise Refusal(
                "context_length_exceeded",
                f"Prompt and answer pass the model's {model.context_tokens} tokens.",
                400,
            )

    def _parse_plain_call(
        self, exchange: Exchange, configuration: Configuration
    ) -> None:
        exchange.kind = RequestKind.PLAIN
        rest = exchange.request.path[len(SERVICES_PREFIX) :]
        name, _, path = rest.partition("/")
        service = configuration.services.get(unquote(name))
        if service is None or service.kind is not ServiceKind.PLAIN:
            raise Refusal(
                "unknown_service", f"No plain service is named {name!r}.", 404
            )
        # A service would resolve these, and so run another operation than the
        # one that the settings were asked about.
        if _DOT_SEGMENTS & set(path.split("/")):
            raise _invalid("The path holds a segment of dots.")
        exchange.service = unquote(name)
        exchange.rest = "/" + path

    def _parse_program_call(self, exchange: Exchange) -> None:
        request = exchange.request
        rest = request.path[len(PROGRAMS_PATH) :].strip("/")
        program, _, action = rest.partition("/")
        step = action or ("one" if program else "")
        kind = _PROGRAM_KINDS.get((request.method, step))
        if kind is None:
            raise Refusal(
                "not_found", f"There is no {request.method} at {request.path}.", 404
            )
        exchange.kind = kind
        if program:
            _check_program_id(program)
            exchange.program = program
        if kind is RequestKind.PROGRAM_CREATE:
            exchange.body = _json_object(request.body) if request.body else {}
            exchange.program = str(exchange.body.get("parent") or "")
            if exchange.program:
                _check_program_id(exchange.program)


def _invalid(sentence: str) -> Refusal:
    return Refusal("invalid_request", sentence, 400)


def _require_method(request: Request, method: str) -> None:
    if request.method != method:
        raise Refusal("method_not_allowed", f"{request.path} takes {method}.", 405)


def _json_object(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except ValueError as error:
        raise _invalid(f"The body is not JSON: {_json_place(error)}.") from error
    except RecursionError as error:
        raise _invalid("The body is nested too deeply.") from error
    if not isinstance(body, dict):
        raise _invalid("The body is not a JSON object.")
    return body


def _json_place(error: ValueError) -> str:
    if isinstance(error, json.JSONDecodeError):
        return f"line {error.lineno}, column {error.colno}"
    return "it is not UTF-8 text"


def _text_field(body: dict[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise _invalid(f"{name}: a non-empty string is required.")
    return value


def _flag_field(body: dict[str, Any], name: str) -> bool:
    value = body.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise _invalid(f"{name}: true or false is required.")
    return value


def _max_tokens(body: dict[str, Any], default: int) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise _invalid(f"{name}: a whole number above 0 is required.")
        return value
    return default


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        raise _invalid("messages: a non-empty list is required.")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _invalid(f"messages.{index}: an object with a role is required.")


def _check_program_id(program: str) -> None:
    try:
        parse_program_id(program)
    except ValueError as error:
        raise Refusal("unknown_program", "No program has this id.", 404) from error


def _whole_number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise _invalid(f"{name}: a whole number is required.")
    return int(text)


def _seconds(text: str, name: str) -> float:
    try:
        seconds = float(text)
    except ValueError as error:
        raise _invalid(f"{name}: a number of seconds is required.") from error
    if not 0.0 < seconds < float("inf"):
        raise _invalid(f"{name}: a number of seconds above 0 is required.")
    return seconds


def _call_class(name: str) -> CallClass:
    if name not in _CLASS_NAMES:
        known = ", ".join(_CLASS_NAMES)
        raise _invalid(f"{CLASS_HEADER}: one of {known} is required.")
    return _CLASS_NAMES[name]
