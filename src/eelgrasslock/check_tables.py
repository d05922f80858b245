"""Tables of what the settings' values must be."""

from collections.abc import Callable

from attrs import frozen

from eelgrasslock import text_formats
from eelgrasslock.yaml_places import Path

ANY = "*"
_HTTP_METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
_LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")


@frozen
class Bound:
    """The least and the greatest value of a number, by key path."""

    path: Path
    least: float
    most: float


@frozen
class Format:
    """A test of a text, by key path."""

    path: Path
    test: Callable[[str], str]


@frozen
class Reference:
    """A name that must be a key or an item of the target."""

    path: Path
    target: str
    word: str


_PROGRAM = ("limits", "program")
BOUNDS = (
    Bound(("models", ANY, "context_tokens"), 1, 100_000_000),
    Bound(("models", ANY, "default_output_tokens"), 1, 10_000_000),
    Bound(("models", ANY, "token_price"), 0, 1_000_000),
    Bound(("endpoints", ANY, "batch_limit"), 1, 100_000),
    Bound(("endpoints", ANY, "cache_tokens"), 0, 10_000_000_000),
    Bound(("endpoints", ANY, "prefill_tokens_per_second"), 1, 100_000_000),
    Bound(("endpoints", ANY, "decode_tokens_per_second"), 0.1, 1_000_000),
    Bound(("weights", "latency"), 0, 1_000),
    Bound(("weights", "wasted_cache"), 0, 1_000),
    Bound((*_PROGRAM, "tokens"), 1, 10_000_000_000),
    Bound((*_PROGRAM, "turns"), 1, 1_000_000),
    Bound((*_PROGRAM, "age"), 1, 31_536_000),
    Bound((*_PROGRAM, "money"), 0, 1_000_000_000),
    Bound(("limits", "body_bytes"), 1_024, 268_435_456),
    Bound(("limits", "call_seconds"), 1, 86_400),
    Bound(("limits", "progress_seconds"), 0.1, 3_600),
    Bound(("limits", "lookup_wait_seconds"), 0, 3_600),
    Bound(("limits", "caller_wait_seconds"), 0, 3_600),
    Bound(("limits", "background_wait_seconds"), 0, 86_400),
    Bound(("limits", "retries_per_call"), 0, 10),
    Bound(("limits", "retry_ratio"), 0, 1),
)
FORMATS = (
    Format(("deployment",), text_formats.plain_name),
    Format(("domains", ANY), text_formats.plain_name),
    Format(
        ("services", ANY, "status_path"),
        text_formats.optional(text_formats.status_path),
    ),
    Format(("services", ANY, "methods", ANY, "path"), text_formats.absolute_path),
    Format(
        ("services", ANY, "methods", ANY, "method"), text_formats.one_of(_HTTP_METHODS)
    ),
    Format(("endpoints", ANY, "url"), text_formats.url),
    Format(
        ("endpoints", ANY, "credential_env"),
        text_formats.optional(text_formats.environment_name),
    ),
    Format(("quarantined", ANY), text_formats.name),
)
REFERENCES = (
    Reference(("models", ANY, "service"), "services", "service"),
    Reference(("endpoints", ANY, "service"), "services", "service"),
    Reference(("endpoints", ANY, "domain"), "domains", "failure domain"),
    Reference(("endpoints", ANY, "models", ANY), "models", "model"),
    Reference(("aliases", ANY, "models", ANY), "models", "model"),
)
NAMED = ("services", "models", "endpoints", "aliases")
UNIQUE = (
    ("domains",),
    ("quarantined",),
    ("aliases", ANY, "models"),
    ("endpoints", ANY, "models"),
)
DAEMON_BOUNDS = (
    Bound(("drain_seconds",), 0, 3_600),
    Bound(("action_shards",), 1, 64),
)
DAEMON_FORMATS = (
    Format(("name",), text_formats.plain_name),
    Format(("domain",), text_formats.plain_name),
    Format(("http_address",), text_formats.address),
    Format(("peer_address",), text_formats.address),
    Format(("seeds", ANY), text_formats.address),
    Format(("statsd_address",), text_formats.optional(text_formats.address)),
    Format(("log_url",), text_formats.url),
    Format(("vm_list_url",), text_formats.optional(text_formats.url)),
    Format(("weight_store_url",), text_formats.optional(text_formats.url)),
    Format(("otlp_url",), text_formats.optional(text_formats.url)),
    Format(("log_level",), text_formats.one_of(_LOG_LEVELS)),
)
DAEMON_KEYS = (
    Format(("peer_keys", ANY), text_formats.shared_key),
    Format(("operator_keys", ANY), text_formats.shared_key),
)
