"""The digest by which repetitions of a request are recognised."""

import xxhash

from eelgrasslock.exchanges.messages import GatewayRequest


def request_digest(request: GatewayRequest) -> str:
    """Return a digest of what a caller repeats: method, target, program and body.

    Parameters
    ----------
    request : GatewayRequest
        The request as its caller sent it; a turn without its chain.
    """
    text = f"{request.method} {request.target} {request.program_key}"
    return xxhash.xxh64_hexdigest(
        text.encode("utf-8", "surrogateescape") + request.body
    )


def body_digest(body: bytes) -> str:
    """Return the digest of a body, empty for an empty body."""
    return xxhash.xxh64_hexdigest(body) if body else ""
