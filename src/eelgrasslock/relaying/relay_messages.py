"""Requests that daemons pass on to each other, and the heads of their responses.

Both travel as the `Request` and the fields of `peer.capnp`. Names that begin with a
colon are no headers of HTTP; several values of one header are joined by a line end.
"""

import json
from collections.abc import Iterable

from attrs import asdict, evolve, frozen

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.exchanges.interfaces import MessageCodec
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.exchanges.request_digest import request_digest, wide_digests
from eelgrasslock.http.messages import Header
from eelgrasslock.requests.exchange import Request
from eelgrasslock.responses.responder import ResponseWriter
from eelgrasslock.routing.routes import Route, RouteKind, ServiceSpec, WeightedService
from eelgrasslock.streams.stream_controller import KnownOrigin

_ROUTE = ":route"
_SECONDS = ":seconds"
_SERVICE = ":service"
_VERSION = ":version"
_PREFERRED = ":preferred"
_DIGEST = ":digest"
_REFUSAL = ":refusal"
_ENDPOINT = ":endpoint"
_ENDPOINT_VERSION = ":endpoint-version"
_EXECUTIONS = ":executions"
_LENGTH = ":length"
_SEPARATOR = "\n"

# The fields of a route that daemons tell each other. An older build rejects a route
# with any other field, so none is added; a newer build may leave fields out.
_ROUTE_FIELDS = (
    "name",
    "host",
    "prefix",
    "kind",
    "services",
    "timeout_seconds",
    "target_latency_seconds",
    "max_endpoints",
    "priority",
    "is_turn",
    "resumable",
    "max_event_gap_seconds",
    "retention_seconds",
)


@frozen(kw_only=True)
class RelayedHead:
    """The head of a response that a peer relays, or its refusal.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : tuple of (str, str)
        The headers for the caller.
    content_length : int or None
        The length of the body, if it is known.
    endpoint, endpoint_version : str
        The endpoint of the last attempt, and its software version.
    possible_executions : int
        How many endpoints may have run the request.
    refusal : Refusal or None
        The peer's refusal, None for an endpoint's response.
    """

    status: int
    headers: tuple[Header, ...]
    content_length: int | None
    endpoint: str
    endpoint_version: str
    possible_executions: int
    refusal: Refusal | None


def encode_relayed_request(
    context: RequestContext, seconds: float, incarnation: str
) -> Request:
    """Return the request for a peer.

    Parameters
    ----------
    context : RequestContext
        The request with its route and service.
    seconds : float
        The time in which the peer must answer.
    incarnation : str
        The incarnation of this daemon.
    """
    request = context.request
    fields = _join(request.headers)
    fields[_ROUTE] = _encode_route(context)
    fields[_SECONDS] = repr(seconds)
    fields[_SERVICE] = context.service.name
    fields[_VERSION] = context.version
    fields[_PREFERRED] = context.preferred_endpoint
    fields[_DIGEST] = context.digest
    return Request(
        method=request.method,
        path=request.target,
        headers=fields,
        body=request.body,
        forwarded_by=incarnation,
    )


def decode_relayed_request(
    message: Request,
    responder: ResponseWriter,
    services: dict[str, ServiceSpec],
    codec: MessageCodec,
    now: float,
) -> RequestContext:
    """Return the request that a peer passed on.

    Raises
    ------
    Refusal
        If a header of the request is invalid.
    """
    fields = dict(message.headers)
    route = _decode_route(fields.pop(_ROUTE))
    seconds = float(fields.pop(_SECONDS))
    service = fields.pop(_SERVICE)
    version = fields.pop(_VERSION)
    preferred = fields.pop(_PREFERRED)
    digest = fields.pop(_DIGEST, "")
    request = codec.decode_request(
        message.method, message.path, list(_split(fields)), message.body, now
    )
    origin = KnownOrigin(service=service, version=version, source="peer")
    return RequestContext(
        request=request,
        responder=responder,
        route=route,
        service=services.get(service, ServiceSpec(name=service)),
        deadline=now + seconds,
        preferred_endpoint=preferred,
        origin=origin if version else None,
        relayed_by=message.forwarded_by,
        digest=digest or request_digest(request),
        wide_digests=wide_digests(request),
    )


def encode_head(
    context: RequestContext, headers: Iterable[Header], content_length: int | None
) -> dict[str, str]:
    """Return the fields of a response's head."""
    fields = _join(headers) | _attempt_fields(context)
    if content_length is not None:
        fields[_LENGTH] = str(content_length)
    return fields


def encode_refusal(refusal: Refusal, context: RequestContext | None) -> dict[str, str]:
    """Return the fields of a refusal."""
    values = [refusal.code, refusal.sentence, refusal.ran.value, refusal.retry_after]
    fields = {} if context is None else _attempt_fields(context)
    return fields | {_REFUSAL: json.dumps(values)}


def decode_head(status: int, fields: dict[str, str]) -> RelayedHead:
    """Return the head of a response that a peer relays."""
    length = fields.get(_LENGTH)
    refusal = fields.get(_REFUSAL)
    return RelayedHead(
        status=status,
        headers=tuple(_split(fields)),
        content_length=None if length is None else int(length),
        endpoint=fields.get(_ENDPOINT, ""),
        endpoint_version=fields.get(_ENDPOINT_VERSION, ""),
        possible_executions=int(fields.get(_EXECUTIONS, "0")),
        refusal=None if refusal is None else _decode_refusal(status, refusal),
    )


def _attempt_fields(context: RequestContext) -> dict[str, str]:
    return {
        _ENDPOINT: context.endpoint,
        _ENDPOINT_VERSION: context.endpoint_version,
        _EXECUTIONS: str(context.possible_executions),
    }


def _decode_refusal(status: int, text: str) -> Refusal:
    code, sentence, ran, retry_after = json.loads(text)
    return Refusal(code, sentence, status, Ran(ran), retry_after)


def _encode_route(context: RequestContext) -> str:
    """Return the route, with the endpoints that the request may still be sent to."""
    left = max(1, context.route.max_endpoints - context.possible_executions)
    all_values = asdict(evolve(context.route, max_endpoints=left))
    values = {name: all_values[name] for name in _ROUTE_FIELDS}
    values["kind"] = context.route.kind.value
    return json.dumps(values)


def _decode_route(text: str) -> Route:
    told = json.loads(text)
    values = {name: told[name] for name in _ROUTE_FIELDS if name in told}
    values["kind"] = RouteKind(values["kind"])
    values["services"] = tuple(WeightedService(**one) for one in values["services"])
    return Route(**values)


def _join(headers: Iterable[Header]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for name, value in headers:
        fields[name] = f"{fields[name]}{_SEPARATOR}{value}" if name in fields else value
    return fields


def _split(fields: dict[str, str]) -> Iterable[Header]:
    for name, values in fields.items():
        if not name.startswith(":"):
            for value in values.split(_SEPARATOR):
                yield name, value
