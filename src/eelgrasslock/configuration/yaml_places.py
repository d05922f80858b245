"""YAML whose every value remembers its file and line."""

import enum
from collections.abc import Iterator
from typing import Any

import yaml
from attrs import define, frozen

from eelgrasslock.exceptions import Finding

MAX_FILE_BYTES = 1_048_576
MAX_DEPTH = 32

_TEXT_TAG = "tag:yaml.org,2002:str"
_SCALAR_TAGS = {
    f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null")
}
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_CONSTRUCTOR = yaml.constructor.SafeConstructor()


class Unreadable(enum.Enum):
    """Stands for a value that a finding has been reported about."""

    VALUE = "value"


Scalar = str | int | float | bool | Unreadable | None
Path = tuple[str, ...]


@frozen
class Place:
    """Where a value stands.

    Attributes
    ----------
    file : str
        The file's name.
    line : int
        The line, counted from 1.
    """

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@define(eq=False)
class PlacedValue:
    """A value with its place; not changed once it is made.

    Attributes
    ----------
    value : scalar, dict of str to PlacedValue, or list of PlacedValue
        What was written.
    place : Place
        Where.
    overrides : tuple of Place
        Where values stood that this one took the place of, the oldest first.
    removes : bool
        Whether a null stands somewhere among its mappings.
    built : object
        The typed object that was made of it, so that a value that is part of
        the next version as well is not built again.
    """

    value: "Scalar | dict[str, PlacedValue] | list[PlacedValue]"
    place: Place
    overrides: tuple[Place, ...] = ()
    removes: bool = False
    built: Any = None


def join_path(path: Path) -> str:
    """Return a key path as text, its parts joined by dots."""
    return ".".join(path)


def plain(placed: PlacedValue) -> Any:
    """Return a value without its places."""
    value = placed.value
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, list):
        return [plain(item) for item in value]
    return value


def leaves(placed: PlacedValue, path: Path = ()) -> Iterator[tuple[Path, PlacedValue]]:
    """Yield each value that is no mapping, with its key path."""
    value = placed.value
    if not isinstance(value, dict):
        yield path, placed
        return
    for key, item in value.items():
        yield from leaves(item, (*path, key))


def parse_yaml(file: str, text: str, findings: list[Finding]) -> PlacedValue | None:
    """Return the content of one file, or None when nothing of it can be used.

    Parameters
    ----------
    file : str
        The file's name, for places.
    text : str
        Its text.
    findings : list of Finding
        Whatever is wrong is added to it.
    """
    size = len(text.encode(errors="surrogatepass"))
    if size > MAX_FILE_BYTES:
        message = f"The file has {size} bytes; {MAX_FILE_BYTES} are allowed."
        findings.append(Finding(message, file, 1))
        return None
    try:
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        findings.append(_syntax_finding(file, text, error))
        return None
    except RecursionError:
        findings.append(Finding("The file is nested too deeply.", file, 1))
        return None
    if node is None:
        return PlacedValue({}, Place(file, 1))
    return _Converter(file, findings).convert(node, ())


def _syntax_finding(file: str, text: str, error: yaml.YAMLError) -> Finding:
    if isinstance(error, yaml.reader.ReaderError):
        line = text.count("\n", 0, error.position) + 1
        return Finding("The file holds a character that YAML forbids.", file, line)
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 1
    problem = getattr(error, "problem", None) or "it can't be read"
    return Finding(f"The file is not valid YAML: {problem}.", file, line)


class _Converter:
    """Turns the nodes of one file into placed values."""

    def __init__(self, file: str, findings: list[Finding]) -> None:
        self.file = file
        self.findings = findings
        self.seen: set[int] = set()

    def convert(self, node: yaml.Node, path: Path) -> PlacedValue:
        place = Place(self.file, node.start_mark.line + 1)
        if len(path) > MAX_DEPTH:
            self.report("The value is nested too deeply.", node, path)
            return PlacedValue(Unreadable.VALUE, place)
        if id(node) in self.seen:
            self.report("YAML anchors and aliases are not used here.", node, path)
            return PlacedValue(Unreadable.VALUE, place)
        self.seen.add(id(node))
        if isinstance(node, yaml.MappingNode):
            value = self.mapping(node, path)
            removes = any(item.removes for item in value.values())
            return PlacedValue(value, place, removes=removes)
        if isinstance(node, yaml.SequenceNode):
            items = enumerate(node.value)
            parts = [self.convert(item, (*path, str(n))) for n, item in items]
            return PlacedValue(parts, place)
        scalar = self.scalar(node, path)
        return PlacedValue(scalar, place, removes=scalar is None)

    def mapping(self, node: yaml.MappingNode, path: Path) -> dict[str, PlacedValue]:
        result: dict[str, PlacedValue] = {}
        for key_node, value_node in node.value:
            key = self.key(key_node, path)
            if key is None:
                continue
            here = (*path, key)
            if key in result:
                message = (
                    f"The key stands twice, first at line {result[key].place.line}."
                )
                self.report(message, key_node, here)
                continue
            value = self.convert(value_node, here)
            value.place = Place(self.file, key_node.start_mark.line + 1)
            result[key] = value
        return result

    def key(self, node: yaml.Node, path: Path) -> str | None:
        if isinstance(node, yaml.ScalarNode) and node.tag == _TEXT_TAG:
            return node.value
        shown = node.value if isinstance(node, yaml.ScalarNode) else "this key"
        self.report(f"A key must be text; put {shown} in quotes.", node, path)
        return None

    def scalar(self, node: yaml.Node, path: Path) -> Scalar:
        if node.tag == _TEXT_TAG:
            return node.value
        if node.tag not in _SCALAR_TAGS:
            kind = node.tag.rpartition(":")[2]
            message = f"A value of the kind {kind!r} is not used here; quote it."
            self.report(message, node, path)
            return Unreadable.VALUE
        try:
            return _CONSTRUCTOR.construct_object(node)
        except (ValueError, KeyError, yaml.YAMLError):
            self.report(f"{node.value!r} can't be read as a value.", node, path)
            return Unreadable.VALUE

    def report(self, message: str, node: yaml.Node, path: Path) -> None:
        line = node.start_mark.line + 1
        self.findings.append(Finding(message, self.file, line, join_path(path)))
