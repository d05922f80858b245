"""Builds typed settings from placed values, by the fields of the classes."""

import difflib
import enum
import functools
import types
import typing
from typing import Any

import attrs

from eelgrasslock.configuration.field_checks import check_field
from eelgrasslock.configuration.yaml_places import (
    Path,
    PlacedValue,
    Unreadable,
    join_path,
)
from eelgrasslock.exceptions import Finding

_TYPE_WORDS = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list: "a list",
    dict: "a mapping",
}


def nearest(word: str, known: list[str]) -> str:
    """Return a sentence that names the known word most like this one."""
    matches = difflib.get_close_matches(word, known, n=1, cutoff=0.5)
    if matches:
        return f"Did you mean {matches[0]!r}?"
    if not known:
        return "None is known."
    return f"Known: {', '.join(sorted(known)[:12])}."


def structure(
    placed: PlacedValue, kind: Any, findings: list[Finding], path: Path = ()
) -> Any:
    """Return a placed value as an object of a type.

    Parameters
    ----------
    placed : PlacedValue
        The value.
    kind : type
        An attrs class, an enumeration, a scalar type, or a list or dict of
        these.
    findings : list of Finding
        Whatever is wrong is added to it; where something is wrong, the result
        is `Unreadable.VALUE`.
    path : tuple of str
        The value's key path.
    """
    return _Structurer(findings).build(placed, kind, path, None)


class _Structurer:
    """Walks types and values side by side."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings

    def build(self, placed: PlacedValue, kind: Any, path: Path, base: Any) -> Any:
        if placed.value is Unreadable.VALUE:
            return Unreadable.VALUE
        origin = typing.get_origin(kind)
        if isinstance(kind, types.GenericAlias) and origin is dict:
            return self.build_dict(placed, typing.get_args(kind)[1], path)
        if isinstance(kind, types.GenericAlias) and origin is list:
            return self.build_list(placed, typing.get_args(kind)[0], path)
        if attrs.has(kind):
            return self.build_class_once(placed, kind, path, base)
        if issubclass(kind, enum.Enum):
            return self.build_enum(placed, kind, path)
        return self.build_scalar(placed, kind, path)

    def build_dict(self, placed: PlacedValue, kind: Any, path: Path) -> Any:
        if not isinstance(placed.value, dict):
            return self.wrong_type(placed, dict, path)
        items = {
            key: self.build(item, kind, (*path, key), None)
            for key, item in placed.value.items()
        }
        return _whole(items, items.values())

    def build_list(self, placed: PlacedValue, kind: Any, path: Path) -> Any:
        if not isinstance(placed.value, list):
            return self.wrong_type(placed, list, path)
        items = [
            self.build(item, kind, (*path, str(place)), None)
            for place, item in enumerate(placed.value)
        ]
        return _whole(items, items)

    def build_class_once(
        self, placed: PlacedValue, kind: Any, path: Path, base: Any
    ) -> Any:
        if type(placed.built) is kind and base is None:
            return placed.built
        before = len(self.findings)
        result = self.build_class(placed, kind, path, base)
        if len(self.findings) == before and base is None:
            placed.built = result
        return result

    def build_class(self, placed: PlacedValue, kind: Any, path: Path, base: Any) -> Any:
        if not isinstance(placed.value, dict):
            return self.wrong_type(placed, dict, path)
        fields = _fields(kind)
        for key, item in placed.value.items():
            if key not in fields:
                message = f"The key is unknown. {nearest(key, list(fields))}"
                self.report(message, item, (*path, key))
                continue
            for complaint in check_field(kind, key, item, (*path, key)):
                self.report(complaint.message, complaint.placed, complaint.path)
        given: dict[str, Any] = {}
        for name, attribute in fields.items():
            default = _default(attribute, base)
            if name in placed.value:
                item = placed.value[name]
                here = (*path, name)
                given[name] = self.build(item, attribute.type, here, default)
            elif default is not attrs.NOTHING:
                given[name] = default
            else:
                given[name] = Unreadable.VALUE
                self.report(f"The key {name!r} is missing.", placed, path)
        if any(value is Unreadable.VALUE for value in given.values()):
            return Unreadable.VALUE
        return kind(**given)

    def build_enum(self, placed: PlacedValue, kind: Any, path: Path) -> Any:
        known = [member.value for member in kind]
        if placed.value in known:
            return kind(placed.value)
        hint = nearest(str(placed.value), known)
        self.report(f"{placed.value!r} is not allowed. {hint}", placed, path)
        return Unreadable.VALUE

    def build_scalar(self, placed: PlacedValue, kind: Any, path: Path) -> Any:
        value = placed.value
        if type(value) is kind:
            return value
        if kind is float and type(value) is int:
            return float(value)
        return self.wrong_type(placed, kind, path)

    def wrong_type(self, placed: PlacedValue, kind: type, path: Path) -> Unreadable:
        expected = _TYPE_WORDS[kind]
        found = _TYPE_WORDS.get(type(placed.value), "nothing")
        self.report(f"Expected {expected}, found {found}.", placed, path)
        return Unreadable.VALUE

    def report(self, message: str, placed: PlacedValue, path: Path) -> None:
        place = placed.place
        finding = Finding(message, place.file, place.line, join_path(path))
        self.findings.append(finding)


@functools.cache
def _fields(kind: Any) -> dict[str, Any]:
    return attrs.fields_dict(attrs.resolve_types(kind))


def _default(attribute: Any, base: Any) -> Any:
    if base is not None and base is not attrs.NOTHING:
        return getattr(base, attribute.name)
    default = attribute.default
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return default.factory()
    return default


def _whole(result: Any, items: Any) -> Any:
    broken = any(item is Unreadable.VALUE for item in items)
    return Unreadable.VALUE if broken else result
