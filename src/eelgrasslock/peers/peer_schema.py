"""The schema of calls between peers, loaded from `peer.capnp`."""

import pathlib
from typing import Any

import capnp

_FILE = pathlib.Path(__file__).with_name("peer.capnp")

schema: Any = capnp.load(str(_FILE))


def encode_fields(values: dict[str, str]) -> list[dict[str, str]]:
    """Return a dictionary as a list of `Field` structs."""
    return [{"name": name, "value": value} for name, value in values.items()]


def decode_fields(values: Any) -> dict[str, str]:
    """Return a list of `Field` structs as a dictionary."""
    return {field.name: field.value for field in values}
