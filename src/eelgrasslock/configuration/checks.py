"""Checks how the values of a configuration go together."""

from collections.abc import Iterator

from eelgrasslock.configuration.settings import ServiceKind
from eelgrasslock.configuration.structuring import nearest
from eelgrasslock.configuration.yaml_places import Path, PlacedValue, join_path
from eelgrasslock.exceptions import Finding


def check_configuration(merged: PlacedValue, findings: list[Finding]) -> None:
    """Add what does not go together in merged settings to the findings.

    Works on the merged tree, so that a reference is checked although its
    neighbour has a wrong type.
    """
    check = _Check(merged, findings)
    check.models()
    check.aliases()
    check.endpoints()
    check.methods()
    check.weights()


def _child(placed: PlacedValue | None, key: str) -> PlacedValue | None:
    if placed is None or not isinstance(placed.value, dict):
        return None
    return placed.value.get(key)


def _text(placed: PlacedValue | None, key: str) -> str:
    child = _child(placed, key)
    return child.value if child and isinstance(child.value, str) else ""


def _items(placed: PlacedValue | None) -> list[tuple[str, PlacedValue]]:
    if placed is None:
        return []
    if isinstance(placed.value, dict):
        return list(placed.value.items())
    if isinstance(placed.value, list):
        return [(str(index), item) for index, item in enumerate(placed.value)]
    return []


def _names(placed: PlacedValue | None) -> list[str]:
    if placed is not None and isinstance(placed.value, list):
        return [item.value for item in placed.value if isinstance(item.value, str)]
    return [key for key, _ in _items(placed)]


class _Check:
    """Runs the checks over one merged tree."""

    def __init__(self, merged: PlacedValue, findings: list[Finding]) -> None:
        self.merged = merged
        self.findings = findings
        self.known = {
            name: dict.fromkeys(_names(_child(merged, name)))
            for name in ("domains", "services", "models")
        }

    def report(self, message: str, path: Path, placed: PlacedValue) -> None:
        place = placed.place
        finding = Finding(message, place.file, place.line, join_path(path))
        self.findings.append(finding)

    def entries(self, name: str) -> Iterator[tuple[Path, PlacedValue]]:
        for key, item in _items(_child(self.merged, name)):
            yield (name, key), item

    def refer(self, path: Path, owner: PlacedValue, key: str, target: str) -> None:
        placed = _child(owner, key)
        if placed is not None:
            self.refer_by(placed, (*path, key), target)

    def refer_by(self, placed: PlacedValue, path: Path, target: str) -> None:
        value = placed.value
        if not isinstance(value, str) or value in self.known[target]:
            return
        word = {"domains": "failure domain"}.get(target, target.removesuffix("s"))
        hint = nearest(value, list(self.known[target]))
        self.report(f"There is no {word} {value!r}. {hint}", path, placed)

    def models(self) -> None:
        services = _child(self.merged, "services")
        for path, entry in self.entries("models"):
            self.refer(path, entry, "service", "services")
            name = _text(entry, "service")
            if _text(_child(services, name), "kind") == ServiceKind.PLAIN.value:
                message = f"The service {name!r} is plain and runs no model."
                self.report(message, (*path, "service"), entry)

    def aliases(self) -> None:
        for path, entry in self.entries("aliases"):
            if path[-1] in self.known["models"]:
                message = f"{path[-1]!r} names a model as well."
                self.report(message, path, entry)
            for key, item in _items(_child(entry, "models")):
                self.refer_by(item, (*path, "models", key), "models")

    def endpoints(self) -> None:
        models = _child(self.merged, "models")
        urls: dict[str, str] = {}
        for path, entry in self.entries("endpoints"):
            self.refer(path, entry, "service", "services")
            self.refer(path, entry, "domain", "domains")
            for key, item in _items(_child(entry, "models")):
                here = (*path, "models", key)
                self.refer_by(item, here, "models")
                self.check_model(entry, models, item, here)
            self.check_url(path, entry, urls)

    def check_model(
        self,
        endpoint: PlacedValue,
        models: PlacedValue | None,
        item: PlacedValue,
        path: Path,
    ) -> None:
        service = _text(endpoint, "service")
        other = _text(_child(models, str(item.value)), "service")
        if service and other and service != other:
            message = (
                f"The model {item.value!r} belongs to the service {other!r}, "
                f"the endpoint to {service!r}."
            )
            self.report(message, path, item)

    def check_url(
        self, path: Path, endpoint: PlacedValue, first: dict[str, str]
    ) -> None:
        url = _text(endpoint, "url").rstrip("/")
        if not url:
            return
        other = first.setdefault(url, path[-1])
        if other != path[-1]:
            placed = _child(endpoint, "url")
            assert placed is not None
            message = f"The endpoint {other!r} has the same URL."
            self.report(message, (*path, "url"), placed)

    def methods(self) -> None:
        for path, entry in self.entries("services"):
            seen: set[str] = set()
            for key, item in _items(_child(entry, "methods")):
                operation = f"{_text(item, 'method')} {_text(item, 'path')}"
                if operation in seen:
                    message = f"{operation} stands twice."
                    self.report(message, (*path, "methods", key), item)
                seen.add(operation)

    def weights(self) -> None:
        weights = _child(self.merged, "weights")
        values = [item.value for _, item in _items(weights)]
        if weights is not None and len(values) == 2 and not any(values):
            self.report("At least one weight must be above 0.", ("weights",), weights)
