"""The digests by which repetitions of a request are recognised."""

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


def wide_digests(request: GatewayRequest) -> tuple[str, ...]:
    """Return digests of what a request may share with its repetitions.

    A request that crashes endpoints may come back from another program, with another
    body or another query. The narrowest digest is the first: the body at a path,
    the program at a path, the target, the path. None goes beyond a workspace.

    Parameters
    ----------
    request : GatewayRequest
        The request as its caller sent it.
    """
    where = f"{request.workspace}\n{request.method} {request.host}"
    at_path = f"{where}{request.path}"
    shared = {"path": at_path}
    if request.target != request.path:
        shared["target"] = f"{where}{request.target}"
    if request.program:
        shared["program"] = f"{at_path}\n{request.program}"
    if request.body:
        shared["body"] = f"{where}{request.target}\n{body_digest(request.body)}"
    return tuple(f"{kind}-{_hash(text)}" for kind, text in reversed(shared.items()))


def _hash(text: str) -> str:
    return xxhash.xxh64_hexdigest(text.encode("utf-8", "surrogateescape"))


def body_digest(body: bytes) -> str:
    """Return the digest of a body, empty for an empty body."""
    return xxhash.xxh64_hexdigest(body) if body else ""
