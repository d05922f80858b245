"""Calls between daemons for tokens of endpoints with limits."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen

from eelgrasslock.clock import Clock
from eelgrasslock.limits.grant_queue import Grant
from eelgrasslock.limits.limit_table import EndpointLimit
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh


@frozen(kw_only=True)
class GrantRequest:
    """A daemon's request for tokens.

    Attributes
    ----------
    endpoint, asker : str
        The endpoint, and the name of the daemon that asks.
    count : int
        Number of tokens, 0 to tell of a limit only.
    urgency : int
        Lower values go first.
    limit : EndpointLimit
        The limit as the asker knows it.
    """

    endpoint: str
    asker: str
    count: int
    urgency: int
    limit: EndpointLimit


@frozen(kw_only=True)
class GrantAnswer:
    """The owner's answer.

    Attributes
    ----------
    grant : Grant or None
        The tokens; None if the daemon that was asked is not the owner.
    limit : EndpointLimit
        The newest limit that it knows.
    """

    grant: Grant | None
    limit: EndpointLimit


async def call_for_grant(
    mesh: PeerMesh, entry: DaemonEntry, request: GrantRequest, clock: Clock
) -> GrantAnswer:
    """Ask another daemon for tokens; raises the errors of `PeerMesh.call`."""
    limit = request.limit

    async def send(peer: Any) -> Any:
        return await peer.grantRequests(
            endpoint=request.endpoint,
            asker=request.asker,
            count=request.count,
            urgency=request.urgency,
            limited=limit.per_second is not None,
            perSecond=limit.per_second or 0.0,
            age=clock.monotonic() - limit.seen_at,
        )

    found = await mesh.call(entry, send)
    grant = Grant(
        count=found.count, wait_seconds=found.waitSeconds, askers=found.askers
    )
    return GrantAnswer(
        grant=grant if found.isOwner else None,
        limit=_decode_limit(found.limited, found.perSecond, found.age, clock),
    )


async def serve_grant(
    answer: Callable[[GrantRequest], Awaitable[GrantAnswer]],
    message: dict[str, Any],
    results: Any,
    clock: Clock,
) -> None:
    """Answer a peer's call for tokens."""
    request = GrantRequest(
        endpoint=message["endpoint"],
        asker=message["asker"],
        count=message["count"],
        urgency=message["urgency"],
        limit=_decode_limit(
            message["limited"], message["perSecond"], message["age"], clock
        ),
    )
    found = await answer(request)
    results.isOwner = found.grant is not None
    if found.grant is not None:
        results.count = found.grant.count
        results.waitSeconds = found.grant.wait_seconds
        results.askers = found.grant.askers
    results.limited = found.limit.per_second is not None
    results.perSecond = found.limit.per_second or 0.0
    results.age = clock.monotonic() - found.limit.seen_at


def _decode_limit(
    is_limited: bool, per_second: float, age: float, clock: Clock
) -> EndpointLimit:
    """Return the limit in a message, which holds its age instead of a time."""
    return EndpointLimit(
        per_second=per_second if is_limited else None,
        seen_at=clock.monotonic() - age,
    )
