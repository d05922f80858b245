"""Checks of merged settings that go beyond the types of single values."""

from collections.abc import Iterator

from eelgrasslock import text_formats
from eelgrasslock.check_tables import (
    ANY,
    BOUNDS,
    DAEMON_BOUNDS,
    DAEMON_FORMATS,
    DAEMON_KEYS,
    FORMATS,
    NAMED,
    REFERENCES,
    UNIQUE,
    Bound,
    Format,
    Reference,
)
from eelgrasslock.exceptions import Finding
from eelgrasslock.settings import ServiceKind
from eelgrasslock.structuring import nearest
from eelgrasslock.yaml_places import Path, PlacedValue, join_path

MAX_ALIAS_MODELS = 5


def check_configuration(merged: PlacedValue, findings: list[Finding]) -> None:
    """Add what is wrong with a deployment's merged settings to the findings."""
    check = _Check(merged, findings)
    check.bounds(BOUNDS)
    check.formats(FORMATS)
    check.references(REFERENCES)
    for mapping in NAMED:
        check.names(mapping)
    for path in UNIQUE:
        check.unique(path)
    check.aliases()
    check.model_services()
    check.endpoint_models()
    check.endpoint_urls()
    check.methods()
    check.weights()
    check.domains()


def check_daemon_settings(merged: PlacedValue, findings: list[Finding]) -> None:
    """Add what is wrong with a daemon's merged settings to the findings."""
    check = _Check(merged, findings)
    check.bounds(DAEMON_BOUNDS)
    check.formats(DAEMON_FORMATS)
    check.formats(DAEMON_KEYS, shown=False)
    check.unique(("seeds",))


def _find(
    placed: PlacedValue, pattern: Path, path: Path = ()
) -> Iterator[tuple[Path, PlacedValue]]:
    if not pattern:
        yield path, placed
        return
    first, rest = pattern[0], pattern[1:]
    if first != ANY and isinstance(placed.value, dict):
        if first in placed.value:
            yield from _find(placed.value[first], rest, (*path, first))
        return
    for key, item in _children(placed):
        if first in (ANY, key):
            yield from _find(item, rest, (*path, key))


def _children(placed: PlacedValue) -> list[tuple[str, PlacedValue]]:
    if isinstance(placed.value, dict):
        return list(placed.value.items())
    if isinstance(placed.value, list):
        return [(str(place), item) for place, item in enumerate(placed.value)]
    return []


class _Check:
    """Runs checks over one merged tree."""

    def __init__(self, merged: PlacedValue, findings: list[Finding]) -> None:
        self.merged = merged
        self.findings = findings

    def report(self, message: str, path: Path, placed: PlacedValue) -> None:
        place = placed.place
        finding = Finding(message, place.file, place.line, join_path(path))
        self.findings.append(finding)

    def known(self, target: str) -> list[str]:
        for _, placed in _find(self.merged, (target,)):
            if isinstance(placed.value, dict):
                return list(placed.value)
        return [str(item.value) for _, item in _find(self.merged, (target, ANY))]

    def text(self, *path: str) -> str:
        for _, placed in _find(self.merged, path):
            return placed.value if isinstance(placed.value, str) else ""
        return ""

    def bounds(self, table: tuple[Bound, ...]) -> None:
        for bound in table:
            for path, placed in _find(self.merged, bound.path):
                value = placed.value
                if type(value) not in (int, float):
                    continue
                assert isinstance(value, int | float)
                if not bound.least <= value <= bound.most:
                    message = (
                        f"{value} is out of range; it must be between "
                        f"{bound.least:,} and {bound.most:,}."
                    )
                    self.report(message, path, placed)

    def formats(self, table: tuple[Format, ...], shown: bool = True) -> None:
        for entry in table:
            for path, placed in _find(self.merged, entry.path):
                if not isinstance(placed.value, str):
                    continue
                complaint = entry.test(placed.value)
                if complaint:
                    subject = repr(placed.value) if shown else "The key"
                    self.report(f"{subject} {complaint}.", path, placed)

    def references(self, table: tuple[Reference, ...]) -> None:
        for reference in table:
            known = self.known(reference.target)
            for path, placed in _find(self.merged, reference.path):
                value = placed.value
                if isinstance(value, str) and value not in known:
                    hint = nearest(value, known)
                    message = f"There is no {reference.word} {value!r}. {hint}"
                    self.report(message, path, placed)

    def names(self, mapping: str) -> None:
        for path, placed in _find(self.merged, (mapping, ANY)):
            complaint = text_formats.name(path[-1])
            if complaint:
                self.report(f"{path[-1]!r} {complaint}.", path, placed)

    def unique(self, pattern: Path) -> None:
        for path, placed in _find(self.merged, pattern):
            seen: set[str] = set()
            for key, item in _children(placed):
                if not isinstance(item.value, str):
                    continue
                if item.value in seen:
                    message = f"{item.value!r} stands twice in the list."
                    self.report(message, (*path, key), item)
                seen.add(item.value)

    def aliases(self) -> None:
        models = self.known("models")
        for path, placed in _find(self.merged, ("aliases", ANY)):
            if path[-1] in models:
                message = f"{path[-1]!r} names a model as well."
                self.report(message, path, placed)
        for path, placed in _find(self.merged, ("aliases", ANY, "models")):
            if not isinstance(placed.value, list):
                continue
            length = len(placed.value)
            if not 1 <= length <= MAX_ALIAS_MODELS:
                message = f"An alias has 1 to {MAX_ALIAS_MODELS} models, not {length}."
                self.report(message, path, placed)

    def model_services(self) -> None:
        for path, placed in _find(self.merged, ("models", ANY, "service")):
            kind = self.text("services", str(placed.value), "kind")
            if kind == ServiceKind.PLAIN.value:
                message = f"The service {placed.value!r} is plain and runs no model."
                self.report(message, path, placed)

    def endpoint_models(self) -> None:
        for path, placed in _find(self.merged, ("endpoints", ANY, "models", ANY)):
            service = self.text("endpoints", path[1], "service")
            other = self.text("models", str(placed.value), "service")
            if other and service and other != service:
                message = (
                    f"The model {placed.value!r} belongs to the service {other!r}, "
                    f"the endpoint to {service!r}."
                )
                self.report(message, path, placed)

    def endpoint_urls(self) -> None:
        first: dict[str, str] = {}
        for path, placed in _find(self.merged, ("endpoints", ANY, "url")):
            url = str(placed.value).rstrip("/")
            if url in first:
                message = f"The endpoint {first[url]!r} has the same URL."
                self.report(message, path, placed)
            first.setdefault(url, path[1])

    def methods(self) -> None:
        for path, placed in _find(self.merged, ("services", ANY, "methods")):
            seen: set[tuple[str, str]] = set()
            for key, item in _children(placed):
                here = (*path, key)
                operation = self.text(*here, "method"), self.text(*here, "path")
                if all(operation) and operation in seen:
                    message = f"{' '.join(operation)} stands twice."
                    self.report(message, here, item)
                seen.add(operation)

    def weights(self) -> None:
        for path, placed in _find(self.merged, ("weights",)):
            values = [item.value for _, item in _children(placed)]
            if len(values) == 2 and not any(values):
                self.report("At least one weight must be above 0.", path, placed)

    def domains(self) -> None:
        for path, placed in _find(self.merged, ("domains",)):
            if placed.value == []:
                self.report("At least one failure domain is needed.", path, placed)
