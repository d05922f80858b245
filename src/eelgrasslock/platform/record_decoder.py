"""Decoding of the records that the platform and its operators write."""

from collections.abc import Callable
from functools import partial
from typing import Any

from eelgrasslock.checked_json import (
    check_address,
    check_integer,
    check_number,
    check_text,
    parse_json,
)
from eelgrasslock.exceptions import Finding, RecordError
from eelgrasslock.exchanges.interfaces import Topics
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.routing.routes import (
    EngineSpec,
    RequestLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceSpec,
    WeightedService,
)
from eelgrasslock.workspaces.workspace import Workspace

_CONFIGURATION_KEY = "config"
_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
MAX_SLOTS = 100_000
MAX_COUNT = 2**53
MAX_WEIGHT = 1e9
MAX_MILLISECONDS = 86_400_000
MAX_RETENTION_SECONDS = 86_400 * 365
MAX_TIME_MS = 2**53


class PlatformRecordDecoder:
    """Decodes the records of `keyed.servers` and `keyed.op`."""

    topics = Topics(endpoints="keyed.servers", configuration="keyed.op")

    def decode_endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Decode an endpoint's entry."""
        try:
            entry = parse_json(value)
            return EndpointRecord(
                id=_endpoint_id(key),
                service=_text(entry, "service"),
                address=check_address(entry["address"], "address"),
                domain=_text(entry, "zone"),
                slots=check_integer(entry["slots"], "slots", MAX_SLOTS),
                leaving=_LEAVING_BY_STATE[entry["state"]],
                warmup_seconds=_cold_seconds(entry.get("coldLeftMs", 0)),
                started_at_ms=check_integer(entry.get("born", 0), "born", MAX_TIME_MS),
                version=_text(entry, "version"),
            )
        except _DECODE_ERRORS as error:
            raise RecordError(f"The entry of {key} is invalid: {error!r}") from error

    def decode_configuration(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | None:
        """Decode a configuration; return None for a record with another key."""
        if key != _CONFIGURATION_KEY:
            return None
        return decode_document(value)


def decode_document(value: bytes) -> RoutingConfiguration:
    """Return the configuration in a document.

    Raises
    ------
    RecordError
        If it is no valid configuration.
    """
    try:
        entry = parse_json(value)
        services = [_service(item) for item in entry["services"]]
        return RoutingConfiguration(
            version=_version(entry),
            routes=tuple(_route(item) for item in entry["routes"]),
            services={service.name: service for service in services},
            limits=_limits(entry.get("limits", {})),
            workspaces=tuple(_workspace(one) for one in entry.get("tenants") or ()),
        )
    except _DECODE_ERRORS as error:
        raise RecordError(f"The configuration is invalid: {error!r}") from error


def configuration_findings(file: str, value: bytes) -> list[Finding]:
    """Return all faults of a configuration document, with their paths."""
    try:
        entry = parse_json(value)
    except ValueError as error:
        return [Finding(f"The file is not JSON: {error}.", file)]
    if not isinstance(entry, dict):
        return [Finding("The document is not an object.", file)]
    findings = [
        *_findings(file, "version", lambda: _version(entry)),
        *_findings(file, "limits", lambda: _limits(entry.get("limits", {}))),
    ]
    lists = (("routes", _route), ("services", _service), ("tenants", _workspace))
    for name, decode in lists:
        items = entry.get(name, [] if name == "tenants" else None)
        if not isinstance(items, list):
            findings.append(Finding(f"{name} is missing or not a list.", file, 0, name))
            continue
        for index, item in enumerate(items):
            findings += _findings(file, f"{name}.{index}", partial(decode, item))
    return findings


def _findings(file: str, path: str, decode: Callable[[], object]) -> list[Finding]:
    try:
        decode()
    except KeyError as error:
        return [Finding(f"{error.args[0]!r} is missing or unknown.", file, 0, path)]
    except _DECODE_ERRORS as error:
        return [Finding(f"The value is invalid: {error}", file, 0, path)]
    return []


def _flag(entry: dict[str, Any], name: str) -> bool:
    value = entry.get(name, False)
    if type(value) is not bool:
        raise ValueError(f"{name} is neither true nor false.")
    return value


def _endpoint_id(key: str) -> str:
    """Return the id of an endpoint, which is sent as the value of a header."""
    if not key or not key.isascii() or not key.isprintable():
        raise ValueError("The key is not printable ASCII.")
    return key


def _route(entry: dict[str, Any]) -> Route:
    split = entry.get("trafficSplit")
    if split:
        services = tuple(
            WeightedService(
                service=_text(part, "service"),
                weight=check_number(part["weight"], "weight", MAX_WEIGHT),
            )
            for part in split
        )
    else:
        services = (WeightedService(service=_text(entry, "service"), weight=1.0),)
    kind = _ROUTE_KINDS[entry["kind"]]
    return Route(
        name=_text(entry, "name"),
        host=_text(entry, "host"),
        prefix=_text(entry, "pathPrefix"),
        kind=kind,
        services=services,
        timeout_seconds=_seconds(entry, "timeoutMs"),
        target_latency_seconds=_seconds(entry, "targetLatencyMs", entry["timeoutMs"]),
        max_endpoints=_count(entry, "maxAttempts", 1),
        priority=_count(entry, "priority", 0),
        is_turn="retainsContext" in entry and kind is RouteKind.STREAM,
        resumable=bool(entry.get("resumable", False)),
        max_event_gap_seconds=_seconds(entry, "gapAimMs", 0),
        retention_seconds=check_number(
            entry.get("retentionS", 0.0), "retentionS", MAX_RETENTION_SECONDS
        ),
        keeps_turns=kind is RouteKind.STREAM and _flag(entry, "retainsContext"),
        is_sticky=_flag(entry, "sticky"),
        is_public=_flag(entry, "public"),
    )


def _workspace(entry: dict[str, Any]) -> Workspace:
    priority = entry.get("priority")
    return Workspace(
        name=_text(entry, "name"),
        api_keys=frozenset(check_text(key, "apiKeys") for key in entry["apiKeys"]),
        priority=None if priority is None else _count(entry, "priority", 0),
        requests_per_second=_rate(entry, "ratePerS"),
        burst=_rate(entry, "burst"),
    )


def _rate(entry: dict[str, Any], name: str) -> float:
    return check_number(entry.get(name) or 0, name, MAX_COUNT)


def _service(entry: dict[str, Any]) -> ServiceSpec:
    engine = entry.get("engine")
    return ServiceSpec(
        name=_text(entry, "name"),
        max_connections=_count(entry, "maxConns", 0),
        health_path=_health_path(entry),
        engine=None if engine is None else _engine(engine),
    )


def _health_path(entry: dict[str, Any]) -> str:
    path = entry.get("healthPath", "")
    return path if isinstance(path, str) and path.startswith("/") else "/"


def _engine(entry: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=check_integer(entry["slots"], "slots", MAX_SLOTS),
        cache_tokens=_count(entry, "kvCapacityTokens", 0),
        tokens_per_event=_count(entry, "tokensPerEvent", 1),
    )


def _limits(entry: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        max_header_bytes=_count(entry, "maxHeaderBytes", default.max_header_bytes),
        max_body_bytes=_count(entry, "maxBodyBytes", default.max_body_bytes),
        header_timeout_seconds=_seconds(
            entry, "headerTimeoutMs", default.header_timeout_seconds * 1_000
        ),
        idle_timeout_seconds=_seconds(
            entry, "idleTimeoutMs", default.idle_timeout_seconds * 1_000
        ),
    )


def _text(entry: dict[str, Any], name: str) -> str:
    return check_text(entry[name], name)


def _version(entry: dict[str, Any]) -> int:
    return check_integer(entry["version"], "version", MAX_COUNT)


def _count(entry: dict[str, Any], name: str, default: int) -> int:
    return check_integer(entry.get(name, default), name, MAX_COUNT)


def _seconds(entry: dict[str, Any], name: str, default: Any = None) -> float:
    """Return a field in milliseconds as seconds; without a default it must exist."""
    value = entry[name] if default is None else entry.get(name, default)
    return check_number(value, name, MAX_MILLISECONDS) / 1_000


def _cold_seconds(value: Any) -> float:
    """Return how long an endpoint is still slow; 0 if that time has passed."""
    is_past = type(value) in (int, float) and value < 0
    milliseconds = 0 if is_past else value
    return check_number(milliseconds, "coldLeftMs", MAX_MILLISECONDS) / 1_000
