"""Merges the files of a settings folder in the order of their names."""

from attrs import define

from eelgrasslock.configuration.yaml_places import (
    Path,
    Place,
    PlacedValue,
    join_path,
    leaves,
)
from eelgrasslock.exceptions import Finding

OVERRIDES_KEY = "overrides"


@define
class _Mark:
    """A key path that a file says it overrides."""

    text: str
    place: Place
    used: bool = False

    def covers(self, path: Path) -> bool:
        text = join_path(path)
        return text == self.text or text.startswith(f"{self.text}.")


def merge(files: list[PlacedValue], findings: list[Finding]) -> PlacedValue:
    """Return the files' contents as one mapping.

    Mappings merge deeply, and ``null`` removes what an earlier file set. Any
    other value that is set a second time needs a mark: its key path, or one
    that contains it, in the later file's list `overrides`.

    Parameters
    ----------
    files : list of PlacedValue
        One mapping a file, in the order of their names.
    findings : list of Finding
        Whatever is wrong is added to it.
    """
    place = files[0].place if files else Place("", 1)
    merged = PlacedValue({}, place)
    owned = {id(merged): merged}
    for content in files:
        _FileMerge(findings, owned).run(merged, content)
    return merged


class _FileMerge:
    """Merges one file into what the earlier ones gave.

    Values of the files are taken over as they are; a mapping is copied before
    something is merged into it, and `owned` holds these copies by identity.
    """

    def __init__(self, findings: list[Finding], owned: dict[int, PlacedValue]) -> None:
        self.findings = findings
        self.owned = owned
        self.marks: list[_Mark] = []

    def run(self, merged: PlacedValue, content: PlacedValue) -> None:
        if not isinstance(content.value, dict):
            self.report("A file must hold a mapping of keys.", content.place, ())
            return
        items = dict(content.value)
        self.read_marks(items.pop(OVERRIDES_KEY, None))
        self.merge_items(merged, items, ())
        for mark in self.marks:
            if not mark.used:
                message = f"No earlier file sets {mark.text}, so the mark is void."
                self.report(message, mark.place, (OVERRIDES_KEY,))

    def read_marks(self, placed: PlacedValue | None) -> None:
        if placed is None:
            return
        if not isinstance(placed.value, list):
            message = "The overrides are a list of key paths."
            self.report(message, placed.place, (OVERRIDES_KEY,))
            return
        for item in placed.value:
            if isinstance(item.value, str):
                self.marks.append(_Mark(item.value, item.place))
            else:
                message = "An override is a key path, as text."
                self.report(message, item.place, (OVERRIDES_KEY,))

    def merge_items(
        self, target: PlacedValue, items: dict[str, PlacedValue], path: Path
    ) -> None:
        assert isinstance(target.value, dict)
        entries = target.value
        for key, item in items.items():
            old = entries.get(key)
            if old is None and not item.removes:
                entries[key] = item
            elif item.value is None:
                self.remove(entries, key, item, (*path, key))
            elif old is None:
                entries[key] = self.cleaned(item, (*path, key))
            elif isinstance(old.value, dict) and isinstance(item.value, dict):
                entries[key] = self.own(old)
                self.merge_items(entries[key], item.value, (*path, key))
            else:
                entries[key] = self.override(old, item, (*path, key))

    def own(self, placed: PlacedValue) -> PlacedValue:
        if id(placed) in self.owned:
            return placed
        assert isinstance(placed.value, dict)
        copy = PlacedValue(dict(placed.value), placed.place, placed.overrides)
        self.owned[id(copy)] = copy
        return copy

    def remove(
        self, entries: dict[str, PlacedValue], key: str, item: PlacedValue, path: Path
    ) -> None:
        if entries.pop(key, None) is None:
            self.report("There is nothing to remove.", item.place, path)
        self.marked(path)

    def cleaned(self, item: PlacedValue, path: Path) -> PlacedValue:
        copy = self.own(PlacedValue({}, item.place))
        assert isinstance(item.value, dict)
        self.merge_items(copy, item.value, path)
        return copy

    def override(self, old: PlacedValue, item: PlacedValue, path: Path) -> PlacedValue:
        if not self.marked(path):
            message = (
                f"The value is set in {old.place} already; to override it, list "
                f"{join_path(path)} under '{OVERRIDES_KEY}' in {item.place.file}."
            )
            self.report(message, item.place, path)
        before = [(*leaf.overrides, leaf.place) for _, leaf in leaves(old)]
        places = tuple(place for group in before for place in group)
        new = self.cleaned(item, path) if item.removes else item
        return PlacedValue(new.value, item.place, places)

    def marked(self, path: Path) -> bool:
        covering = [mark for mark in self.marks if mark.covers(path)]
        for mark in covering:
            mark.used = True
        return bool(covering)

    def report(self, message: str, place: Place, path: Path) -> None:
        finding = Finding(message, place.file, place.line, join_path(path))
        self.findings.append(finding)
