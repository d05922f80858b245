"""Which endpoint requests for the same object prefer, so that it is faster."""

from collections.abc import Iterable

import xxhash

from eelgrasslock.registry.endpoint_registry import EndpointRecord


def preferred_endpoint(
    records: Iterable[EndpointRecord], service: str, key: str
) -> str:
    """Return the endpoint that requests for an object prefer, empty for none.

    All daemons with the same view of the endpoints name the same one by rendezvous
    hashing, without a word between them, so that it mostly served the object last.

    Parameters
    ----------
    records : iterable of EndpointRecord
        The registered endpoints.
    service : str
        The service of the request.
    key : str
        Names the object.
    """
    names = [one.id for one in records if one.service == service and not one.leaving]
    return max(names, key=lambda name: _weight(key, name), default="")


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\n{name}".encode("utf-8", "surrogateescape"))
