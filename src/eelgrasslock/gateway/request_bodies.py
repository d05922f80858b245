"""The bodies of callers' requests."""

from aiohttp import web

from eelgrasslock.exceptions import Refusal

SHORTAGE_RETRY_SECONDS = 1.0
SHORTAGE_STATUS = 503


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return a body that is still coming, with no more buffered than is read."""
    parts: list[bytes] = []
    size = 0
    while part := await request.content.readany():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            raise web.HTTPRequestEntityTooLarge(max_bytes)
    return b"".join(parts)


def request_bytes(request: web.BaseRequest) -> int:
    """Return about how many bytes a request took."""
    size = len(request.raw_path)
    size += sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    return size + request.content.total_bytes


def shortage_refusal() -> Refusal:
    """Return the refusal of a request whose body is not read to its end."""
    sentence = "Memory is short; another daemon takes the request."
    return Refusal(
        "memory_short",
        sentence,
        SHORTAGE_STATUS,
        retry_after=SHORTAGE_RETRY_SECONDS,
    )
