"""Calls between daemons that tell and ask at which version streams began."""

from collections.abc import Iterable
from typing import Any

from attrs import frozen

from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.streams.stream_table import StreamOrigin


@frozen(kw_only=True)
class FoundOrigin:
    """A daemon's answer to the question where a stream began.

    Attributes
    ----------
    service, version : str
        Its service and version, empty if the daemon does not know the stream.
    only_version : str
        The one version at which any stream of the service can have begun as far
        as the daemon knows, empty if there may be several.
    """

    service: str
    version: str
    only_version: str


async def tell_origins(
    mesh: PeerMesh, entry: DaemonEntry, origins: Iterable[StreamOrigin], now: float
) -> None:
    """Tell a daemon where streams began; raises the errors of `PeerMesh.call`."""
    streams = [
        {
            "key": one.key,
            "service": one.service,
            "version": one.version,
            "seconds": max(0.0, one.expires_at - now),
        }
        for one in origins
    ]

    async def send(peer: Any) -> None:
        await peer.tellStreams(streams=streams)

    await mesh.call(entry, send)


async def ask_origin(
    mesh: PeerMesh, entry: DaemonEntry, key: int, service: str
) -> FoundOrigin:
    """Ask a daemon where a stream began; raises the errors of `PeerMesh.call`."""

    async def send(peer: Any) -> Any:
        return await peer.findStream(key=key, service=service)

    found = await mesh.call(entry, send)
    return FoundOrigin(
        service=found.service, version=found.version, only_version=found.onlyVersion
    )


def told_origins(message: dict[str, Any], now: float) -> list[StreamOrigin]:
    """Return the origins that another daemon tells."""
    return [
        StreamOrigin(
            key=one.key,
            service=one.service,
            version=one.version,
            expires_at=now + one.seconds,
        )
        for one in message["streams"]
    ]
