"""The peers' interface, loaded from its schema file."""

import pathlib
from typing import Any

import capnp

_FILE = pathlib.Path(__file__).with_name("peer.capnp")

schema: Any = capnp.load(str(_FILE))


def encode_fields(values: dict[str, str]) -> list[dict[str, str]]:
    """Return names and values for a list of fields."""
    return [{"name": name, "value": value} for name, value in values.items()]


def decode_fields(values: Any) -> dict[str, str]:
    """Return a list of fields as names and values."""
    return {field.name: field.value for field in values}
