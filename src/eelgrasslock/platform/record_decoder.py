"""Decoding of the records that the platform and its operators write."""

import json
from collections.abc import Callable
from functools import partial
from typing import Any

from eelgrasslock.exceptions import Finding, RecordError
from eelgrasslock.gateway.endpoint_registry import EndpointRecord
from eelgrasslock.gateway.interfaces import Topics
from eelgrasslock.gateway.routes import (
    EngineSpec,
    RequestLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceSpec,
    WeightedService,
)

_CONFIGURATION_KEY = "config"
_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class PlatformRecordDecoder:
    """Decodes the records of `keyed.servers` and `keyed.op`."""

    topics = Topics(endpoints="keyed.servers", configuration="keyed.op")

    def decode_endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Decode an endpoint's entry."""
        try:
            entry = json.loads(value)
            return EndpointRecord(
                id=key,
                service=_non_empty_string(entry, "service"),
                address=_address(entry),
                domain=_non_empty_string(entry, "zone"),
                slots=_non_negative_integer(entry, "slots"),
                leaving=_LEAVING_BY_STATE[entry["state"]],
                warmup_seconds=entry.get("coldLeftMs", 0) / 1_000,
                started_at_ms=int(entry.get("born", 0)),
                version=_non_empty_string(entry, "version"),
            )
        except _DECODE_ERRORS as error:
            raise RecordError(f"The entry of {key} is invalid: {error!r}") from error

    def decode_configuration(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | None:
        """Decode a configuration; return None for a record with another key."""
        if key != _CONFIGURATION_KEY:
            return None
        try:
            entry = json.loads(value)
            services = [_service(item) for item in entry["services"]]
            return RoutingConfiguration(
                version=_non_negative_integer(entry, "version"),
                routes=tuple(_route(item) for item in entry["routes"]),
                services={service.name: service for service in services},
                limits=_limits(entry.get("limits", {})),
            )
        except _DECODE_ERRORS as error:
            raise RecordError(f"The configuration is invalid: {error!r}") from error


def configuration_findings(file: str, value: bytes) -> list[Finding]:
    """Return all faults of a configuration document, with their paths."""
    try:
        entry = json.loads(value)
    except ValueError as error:
        return [Finding(f"The file is not JSON: {error}.", file)]
    if not isinstance(entry, dict):
        return [Finding("The document is not an object.", file)]
    findings = [
        *_findings(file, "version", lambda: _non_negative_integer(entry, "version")),
        *_findings(file, "limits", lambda: _limits(entry.get("limits", {}))),
    ]
    for name, decode in (("routes", _route), ("services", _service)):
        items = entry.get(name)
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


def _non_empty_string(entry: dict[str, Any], name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a non-empty string.")
    return value


def _non_negative_integer(entry: dict[str, Any], name: str) -> int:
    value = entry[name]
    if type(value) is not int or value < 0:
        raise ValueError(f"{name} is not a whole number of 0 or more.")
    return value


def _flag(entry: dict[str, Any], name: str) -> bool:
    value = entry.get(name, False)
    if type(value) is not bool:
        raise ValueError(f"{name} is neither true nor false.")
    return value


def _address(entry: dict[str, Any]) -> str:
    address = _non_empty_string(entry, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("address is not an IP and a port.")
    return address


def _route(entry: dict[str, Any]) -> Route:
    split = entry.get("trafficSplit")
    if split:
        services = tuple(
            WeightedService(service=part["service"], weight=float(part["weight"]))
            for part in split
        )
    else:
        services = (
            WeightedService(service=_non_empty_string(entry, "service"), weight=1.0),
        )
    kind = _ROUTE_KINDS[entry["kind"]]
    return Route(
        name=_non_empty_string(entry, "name"),
        host=_non_empty_string(entry, "host"),
        prefix=_non_empty_string(entry, "pathPrefix"),
        kind=kind,
        services=services,
        timeout_seconds=entry["timeoutMs"] / 1_000,
        target_latency_seconds=entry.get("targetLatencyMs", entry["timeoutMs"]) / 1_000,
        max_endpoints=int(entry.get("maxAttempts", 1)),
        priority=int(entry.get("priority", 0)),
        is_turn="retainsContext" in entry and kind is RouteKind.STREAM,
        resumable=bool(entry.get("resumable", False)),
        max_event_gap_seconds=entry.get("gapAimMs", 0) / 1_000,
        retention_seconds=float(entry.get("retentionS", 0.0)),
        keeps_turns=kind is RouteKind.STREAM and _flag(entry, "retainsContext"),
        is_sticky=_flag(entry, "sticky"),
    )


def _service(entry: dict[str, Any]) -> ServiceSpec:
    engine = entry.get("engine")
    return ServiceSpec(
        name=_non_empty_string(entry, "name"),
        max_connections=int(entry.get("maxConns", 0)),
        engine=None if engine is None else _engine(engine),
    )


def _engine(entry: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=_non_negative_integer(entry, "slots"),
        cache_tokens=int(entry.get("kvCapacityTokens", 0)),
        tokens_per_event=int(entry.get("tokensPerEvent", 1)),
    )


def _limits(entry: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    header_timeout_seconds = entry.get(
        "headerTimeoutMs", default.header_timeout_seconds * 1_000
    )
    idle_timeout_seconds = entry.get(
        "idleTimeoutMs", default.idle_timeout_seconds * 1_000
    )
    return RequestLimits(
        max_header_bytes=int(entry.get("maxHeaderBytes", default.max_header_bytes)),
        max_body_bytes=int(entry.get("maxBodyBytes", default.max_body_bytes)),
        header_timeout_seconds=header_timeout_seconds / 1_000,
        idle_timeout_seconds=idle_timeout_seconds / 1_000,
    )
