"""Tables of what the settings' values must be, by class and field."""

from collections.abc import Callable

from attrs import frozen

from eelgrasslock.configuration import text_formats
from eelgrasslock.configuration.settings import (
    AliasSettings,
    Configuration,
    DaemonSettings,
    EndpointSettings,
    LimitSettings,
    MethodSettings,
    ModelSettings,
    ServiceSettings,
    WeightSettings,
)
from eelgrasslock.programs.journal_records import ProgramLimits

MAX_ALIAS_MODELS = 5
_HTTP_METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
_LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")


@frozen
class Bound:
    """The least and the greatest value of a number."""

    least: float
    most: float


@frozen
class Format:
    """What a text, each item of a list or each key of a mapping looks like.

    Attributes
    ----------
    test : callable
        Returns what is wrong with a text, or an empty string.
    secret : bool
        Whether the text must not be shown.
    """

    test: Callable[[str], str]
    secret: bool = False


@frozen
class Length:
    """The least and the greatest length of a list without duplicates."""

    least: int
    most: int


FieldCheck = Bound | Format | Length

_ANY_LENGTH = Length(0, 1_000_000)
_NAME = Format(text_formats.name)
_PLAIN_NAME = Format(text_formats.plain_name)
_ADDRESS = Format(text_formats.address)
_URL = Format(text_formats.url)
_OPTIONAL_URL = Format(text_formats.optional(text_formats.url))
_KEY = Format(text_formats.shared_key, secret=True)

FIELD_CHECKS: dict[type, dict[str, tuple[FieldCheck, ...]]] = {
    Configuration: {
        "deployment": (_PLAIN_NAME,),
        "domains": (_PLAIN_NAME, Length(1, 1_000)),
        "services": (_NAME,),
        "models": (_NAME,),
        "endpoints": (_NAME,),
        "aliases": (_NAME,),
        "quarantined": (_NAME, _ANY_LENGTH),
        "released": (_NAME,),
    },
    ServiceSettings: {
        "status_path": (Format(text_formats.optional(text_formats.status_path)),),
    },
    MethodSettings: {
        "method": (Format(text_formats.one_of(_HTTP_METHODS)),),
        "path": (Format(text_formats.absolute_path),),
    },
    ModelSettings: {
        "context_tokens": (Bound(1, 100_000_000),),
        "default_output_tokens": (Bound(1, 10_000_000),),
        "token_price": (Bound(0, 1_000_000),),
    },
    EndpointSettings: {
        "url": (_URL,),
        "models": (_ANY_LENGTH,),
        "batch_limit": (Bound(1, 100_000),),
        "cache_tokens": (Bound(0, 10_000_000_000),),
        "prefill_tokens_per_second": (Bound(1, 100_000_000),),
        "decode_tokens_per_second": (Bound(0.1, 1_000_000),),
        "credential_env": (
            Format(text_formats.optional(text_formats.environment_name)),
        ),
    },
    AliasSettings: {"models": (Length(1, MAX_ALIAS_MODELS),)},
    WeightSettings: {
        "latency": (Bound(0, 1_000),),
        "wasted_cache": (Bound(0, 1_000),),
    },
    ProgramLimits: {
        "tokens": (Bound(1, 10_000_000_000),),
        "turns": (Bound(1, 1_000_000),),
        "age": (Bound(1, 31_536_000),),
        "money": (Bound(0, 1_000_000_000),),
    },
    LimitSettings: {
        "body_bytes": (Bound(1_024, 268_435_456),),
        "call_seconds": (Bound(1, 86_400),),
        "progress_seconds": (Bound(0.1, 3_600),),
        "lookup_wait_seconds": (Bound(0, 3_600),),
        "caller_wait_seconds": (Bound(0, 3_600),),
        "background_wait_seconds": (Bound(0, 86_400),),
        "retries_per_call": (Bound(0, 10),),
        "retry_ratio": (Bound(0, 1),),
    },
    DaemonSettings: {
        "name": (_PLAIN_NAME,),
        "domain": (_PLAIN_NAME,),
        "http_address": (_ADDRESS,),
        "peer_address": (_ADDRESS,),
        "seeds": (_ADDRESS, _ANY_LENGTH),
        "statsd_address": (Format(text_formats.optional(text_formats.address)),),
        "log_url": (_URL,),
        "vm_list_url": (_OPTIONAL_URL,),
        "weight_store_url": (_OPTIONAL_URL,),
        "otlp_url": (_OPTIONAL_URL,),
        "log_level": (Format(text_formats.one_of(_LOG_LEVELS)),),
        "drain_seconds": (Bound(0, 3_600),),
        "action_shards": (Bound(1, 64),),
        "peer_keys": (_KEY,),
        "operator_keys": (_KEY,),
    },
}
