"""Calls between daemons for tokens of quotas."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen

from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.quotas.lease_bucket import Lease


@frozen(kw_only=True)
class LeaseRequest:
    """A daemon's request for tokens.

    Attributes
    ----------
    workspace : str
        The workspace's name.
    needed, extra : int
        Number of tokens for requests that wait, and for those that may follow.
    """

    workspace: str
    needed: int
    extra: int


async def call_for_lease(
    mesh: PeerMesh, entry: DaemonEntry, request: LeaseRequest, timeout_seconds: float
) -> Lease | None:
    """Return a daemon's lease, None if it does not own the tokens.

    Raises the errors of `PeerMesh.call`.
    """

    async def send(peer: Any) -> Any:
        return await peer.leaseRequests(
            workspace=request.workspace, needed=request.needed, extra=request.extra
        )

    found = await mesh.call(entry, send, timeout_seconds)
    if not found.isOwner:
        return None
    return Lease(count=found.count, wait_seconds=found.waitSeconds)


async def serve_lease(
    answer: Callable[[LeaseRequest], Awaitable[Lease | None]],
    message: dict[str, Any],
    results: Any,
) -> None:
    """Answer a peer's call for tokens."""
    request = LeaseRequest(
        workspace=message["workspace"],
        needed=message["needed"],
        extra=message["extra"],
    )
    lease = await answer(request)
    results.isOwner = lease is not None
    if lease is not None:
        results.count = lease.count
        results.waitSeconds = lease.wait_seconds
