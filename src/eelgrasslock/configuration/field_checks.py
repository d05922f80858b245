"""Checks single values by the tables of their class and field."""

from collections.abc import Iterator

from attrs import frozen

from eelgrasslock.configuration.check_tables import (
    FIELD_CHECKS,
    Bound,
    FieldCheck,
    Format,
    Length,
)
from eelgrasslock.configuration.yaml_places import Path, PlacedValue


@frozen
class Complaint:
    """What is wrong with a value, or with a part of it."""

    message: str
    placed: PlacedValue
    path: Path


def check_field(
    kind: type, name: str, placed: PlacedValue, path: Path
) -> Iterator[Complaint]:
    """Yield what is wrong with the value of a class's field.

    A value of a wrong type is passed over; that is for the structure step.
    """
    for check in FIELD_CHECKS.get(kind, {}).get(name, ()):
        yield from _apply(check, placed, path)


def _apply(check: FieldCheck, placed: PlacedValue, path: Path) -> Iterator[Complaint]:
    if isinstance(check, Bound):
        return _check_bound(check, placed, path)
    if isinstance(check, Format):
        return _check_format(check, placed, path)
    return _check_length(check, placed, path)


def _check_bound(bound: Bound, placed: PlacedValue, path: Path) -> Iterator[Complaint]:
    value = placed.value
    if type(value) is not int and type(value) is not float:
        return
    if not bound.least <= value <= bound.most:
        message = (
            f"{value} is out of range; it must be between "
            f"{bound.least:,} and {bound.most:,}."
        )
        yield Complaint(message, placed, path)


def _check_format(
    check: Format, placed: PlacedValue, path: Path
) -> Iterator[Complaint]:
    for text, place, where in _texts(placed, path):
        complaint = check.test(text)
        if complaint:
            subject = "The key" if check.secret else repr(text)
            yield Complaint(f"{subject} {complaint}.", place, where)


def _check_length(
    length: Length, placed: PlacedValue, path: Path
) -> Iterator[Complaint]:
    if not isinstance(placed.value, list):
        return
    count = len(placed.value)
    if not length.least <= count <= length.most:
        message = f"The list has {length.least} to {length.most} items, not {count}."
        yield Complaint(message, placed, path)
    seen: set[str] = set()
    for text, place, where in _texts(placed, path):
        if text in seen:
            yield Complaint(f"{text!r} stands twice in the list.", place, where)
        seen.add(text)


def _texts(placed: PlacedValue, path: Path) -> Iterator[tuple[str, PlacedValue, Path]]:
    value = placed.value
    if isinstance(value, str):
        yield value, placed, path
    elif isinstance(value, dict):
        for key, item in value.items():
            yield key, item, (*path, key)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            if isinstance(item.value, str):
                yield item.value, item, (*path, str(index))
