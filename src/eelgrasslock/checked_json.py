"""JSON that another process wrote, read within bounds.

All functions raise `ValueError`, which decoders turn into their own errors.
"""

import ipaddress
import json
import math
from typing import Any, NoReturn

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON text whose numbers are finite.

    Raises
    ------
    ValueError
        If it is no JSON, is nested too deeply, or has a number that is too large.
    """
    try:
        return json.loads(
            data, parse_constant=_reject_constant, parse_float=_parse_finite
        )
    except RecursionError as error:
        raise ValueError("The value is nested too deeply.") from error


def check_text(value: Any, name: str) -> str:
    """Return a text that is not empty and has no lone surrogates.

    Raises
    ------
    ValueError
        If the value is none.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a non-empty string.")
    value.encode()
    return value


def check_number(value: Any, name: str, high: float) -> float:
    """Return a number from 0 up to a bound.

    Raises
    ------
    ValueError
        If the value is none.
    """
    if type(value) not in (int, float) or not 0 <= value <= high:
        raise ValueError(f"{name} is not a number from 0 to {high:g}.")
    return float(value)


def check_integer(value: Any, name: str, high: int) -> int:
    """Return a whole number from 0 up to a bound.

    Raises
    ------
    ValueError
        If the value is none.
    """
    is_whole = type(value) is int or (type(value) is float and value.is_integer())
    if not is_whole or not 0 <= value <= high:
        raise ValueError(f"{name} is not a whole number from 0 to {high}.")
    return int(value)


def check_address(value: Any, name: str) -> str:
    """Return an address, as ``ip:port``.

    Raises
    ------
    ValueError
        If the value is none.
    """
    host, _, port = check_text(value, name).rpartition(":")
    ipaddress.ip_address(host)
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{name} has no valid port.")
    return f"{host}:{port}"


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a number.")


def _parse_finite(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        raise ValueError("A number is too large.")
    return value
