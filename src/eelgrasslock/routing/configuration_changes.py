"""What differs between two versions of a configuration."""

from collections.abc import Iterable
from typing import Any

import attrs
from attrs import frozen

from eelgrasslock.routing.routes import RoutingConfiguration
from eelgrasslock.workspaces.workspace import Workspace


@frozen(kw_only=True)
class Change:
    """One difference.

    Attributes
    ----------
    entry : str
        What differs, such as ``route lookups``.
    field : str
        The field, empty if the whole entry was added or removed.
    before, after : str
        Its values as text; empty where there is none.
    """

    entry: str
    field: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        if self.field:
            return f"{self.entry}: {self.field} {self.before} -> {self.after}"
        return f"{self.entry}: {self.before or self.after}"


def compare_configurations(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> list[Change]:
    """Return the differences between two configurations; API keys are only counted."""
    changes = [
        *_changes("route", _by_name(before.routes), _by_name(after.routes)),
        *_changes("service", before.services, after.services),
        *_changes(
            "workspace",
            _by_name(before.workspaces),
            _by_name(after.workspaces),
        ),
    ]
    changes += _field_changes("limits", before.limits, after.limits)
    return changes


def _by_name(entries: Iterable[Any]) -> dict[str, Any]:
    return {one.name: one for one in entries}


def _changes(
    kind: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterable[Change]:
    for name in sorted(before.keys() | after.keys()):
        entry = f"{kind} {name}"
        if name not in after:
            yield Change(entry=entry, before="removed")
        elif name not in before:
            yield Change(entry=entry, after="added")
        else:
            yield from _field_changes(entry, before[name], after[name])


def _field_changes(entry: str, before: Any, after: Any) -> Iterable[Change]:
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.name == attrs.fields(Workspace).api_keys.name:
            yield Change(
                entry=entry,
                field="keys",
                before=f"{len(old - new)} removed",
                after=f"{len(new - old)} added",
            )
        else:
            yield Change(entry=entry, field=field.name, before=str(old), after=str(new))
