"""The streams whose software version a daemon knows, for a limited time."""

from collections import OrderedDict
from collections.abc import Iterator

import xxhash
from attrs import define

MAX_STREAMS = 50_000


@define(kw_only=True)
class StreamOrigin:
    """Where a stream began.

    Attributes
    ----------
    key : int
        Hash of the id of the request that brought its first event.
    service, version : str
        The service, and the software version of the endpoint.
    expires_at : float
        Until when the stream may be resumed, on the monotonic clock.
    is_own : bool
        Whether this daemon relays the stream itself.
    is_told : bool
        Whether other daemons have been told.
    """

    key: int
    service: str
    version: str
    expires_at: float
    is_own: bool = False
    is_told: bool = False


def stream_key(request_id: str) -> int:
    """Return the key of the stream whose first event a request brought."""
    return xxhash.xxh64_intdigest(request_id.encode())


class StreamTable:
    """Origins of streams by key, dropped when they expire or become too many."""

    def __init__(self) -> None:
        self.origins: OrderedDict[int, StreamOrigin] = OrderedDict()

    def put(self, origin: StreamOrigin, now: float) -> None:
        """Add an origin, or replace the one of the same stream."""
        self.origins.pop(origin.key, None)
        self.origins[origin.key] = origin
        self._drop_expired(now)

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return a stream's origin, None if it is unknown or has expired."""
        origin = self.origins.get(key)
        return None if origin is None or origin.expires_at <= now else origin

    def untold(self, now: float) -> Iterator[StreamOrigin]:
        """Yield this daemon's own streams of which no other daemon knows."""
        for origin in self.origins.values():
            if origin.is_own and not origin.is_told and origin.expires_at > now:
                yield origin

    def _drop_expired(self, now: float) -> None:
        while self.origins:
            oldest = next(iter(self.origins.values()))
            if oldest.expires_at > now and len(self.origins) <= MAX_STREAMS:
                return
            del self.origins[oldest.key]
