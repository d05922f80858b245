"""Forwarding a request over one connection to a peer, with certainty of its start."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from eelgrasslock.exceptions import PeerUnavailable, Ran
from eelgrasslock.peers.peer_connection import ConnectionLost, PeerConnection
from eelgrasslock.requests.exchange import Request, Responder

_ID_BYTES = 16


async def forward_once(
    connection: PeerConnection,
    reconnect: Callable[[], Awaitable[PeerConnection]],
    request: Request,
    responder: Responder,
    disown_timeout_seconds: float,
) -> None:
    """Forward a request over a connection, and stream its response to a responder.

    If the connection is lost before a response, the peer is asked over a new one
    whether the request has started; if it has not, it never will.

    Raises
    ------
    PeerUnavailable
        With ``ran`` as ``NO`` if the request did not start and never will, else
        ``UNKNOWN``.
    """
    id = secrets.token_hex(_ID_BYTES)
    try:
        await connection.forward(id, request, responder)
    except ConnectionLost as error:
        has_started = error.response_started or await _has_started(
            reconnect, id, disown_timeout_seconds
        )
        ran = Ran.UNKNOWN if has_started else Ran.NO
        message = f"Lost the connection to {connection.incarnation} during a request."
        raise PeerUnavailable(message, ran) from error


async def _has_started(
    reconnect: Callable[[], Awaitable[PeerConnection]],
    id: str,
    timeout_seconds: float,
) -> bool:
    async def send(peer: Any) -> bool:
        return (await peer.disown(id=id)).started

    try:
        connection = await reconnect()
        return await connection.call(send, timeout_seconds)
    except (PeerUnavailable, ConnectionLost, TimeoutError):
        return True
