"""Changes of a published folder that the operators' interface makes by itself.

A drain and a quarantine are files of the configuration, so that they outlive
every daemon and are the same everywhere.
"""

from typing import Any

import yaml

from eelgrasslock.configuration.folder import merge_files
from eelgrasslock.configuration.merging import OVERRIDES_KEY
from eelgrasslock.configuration.yaml_places import plain

LEAVING_FILE = "99-operator-leaving.yaml"
QUARANTINED_FILE = "99-operator-quarantined.yaml"
OPERATOR_FILES = (LEAVING_FILE, QUARANTINED_FILE)

_RELEASED_KEPT = 100

_HEADERS = {
    LEAVING_FILE: "# Made by `eelgrasslock drain`; undo with `drain --undo`.\n",
    QUARANTINED_FILE: "# Made by `eelgrasslock quarantine`; undo with `release`.\n",
}


def set_leaving(files: dict[str, str], endpoint: str, leaving: bool) -> dict[str, str]:
    """Return a folder in which an endpoint is drained, or is not."""
    marked = {**_leaving(_read(files, LEAVING_FILE)), endpoint: leaving}
    return _write_leaving(files, marked)


def set_quarantined(
    files: dict[str, str], digest: str, quarantined: bool
) -> dict[str, str]:
    """Return a folder in which a request digest is quarantined, or released.

    A release also makes the daemons forget the crashes that they have counted
    for the digest; its number grows so that a second release is told apart.
    """
    merged = _merged(files)
    digests = [one for one in merged.get("quarantined", []) if one != digest]
    released = dict(_read(files, QUARANTINED_FILE).get("released", {}))
    if quarantined:
        digests.append(digest)
    else:
        count = merged.get("released", {}).get(digest, 0)
        released.pop(digest, None)
        released[digest] = count + 1
    return _write_quarantined(files, digests, released)


def carry_over(in_force: dict[str, str], files: dict[str, str]) -> dict[str, str]:
    """Return a folder with the drains and quarantines that are in force.

    Parameters
    ----------
    in_force : dict of str to str
        The files in force.
    files : dict of str to str
        An operator's folder; what it holds of these files itself wins.
    """
    result = dict(files)
    if LEAVING_FILE in in_force and LEAVING_FILE not in files:
        known = _merged(files).get("endpoints", {})
        marked = _leaving(_read(in_force, LEAVING_FILE))
        marked = {name: value for name, value in marked.items() if name in known}
        result = _write_leaving(result, marked)
    if QUARANTINED_FILE in in_force and QUARANTINED_FILE not in files:
        base = _merged(files).get("quarantined", [])
        kept = _read(in_force, QUARANTINED_FILE)
        added = [one for one in kept.get("quarantined", []) if one not in base]
        released = kept.get("released", {})
        result = _write_quarantined(result, [*base, *added], released)
    return result


def _write_leaving(files: dict[str, str], marked: dict[str, bool]) -> dict[str, str]:
    others = _without(files, LEAVING_FILE)
    base = _leaving(_merged(others))
    changed = {
        name: value for name, value in marked.items() if value != base.get(name, False)
    }
    overrides = [f"endpoints.{name}.leaving" for name in changed if name in base]
    endpoints = {name: {"leaving": value} for name, value in changed.items()}
    return _write(others, LEAVING_FILE, {"endpoints": endpoints}, overrides)


def _write_quarantined(
    files: dict[str, str], digests: list[str], released: dict[str, int]
) -> dict[str, str]:
    others = _without(files, QUARANTINED_FILE)
    base = _merged(others)
    content: dict[str, Any] = {}
    overrides = []
    if digests != base.get("quarantined", []):
        content["quarantined"] = digests
        overrides += ["quarantined"] if "quarantined" in base else []
    if released:
        content["released"] = dict(list(released.items())[-_RELEASED_KEPT:])
        known = base.get("released", {})
        overrides += [f"released.{one}" for one in content["released"] if one in known]
    return _write(others, QUARANTINED_FILE, content, overrides)


def _write(
    files: dict[str, str], name: str, content: dict[str, Any], overrides: list[str]
) -> dict[str, str]:
    if not any(content.values()) and not overrides:
        return files
    if overrides:
        content = {OVERRIDES_KEY: overrides, **content}
    text = yaml.safe_dump(content, sort_keys=False, allow_unicode=True)
    return {**files, name: _HEADERS[name] + text}


def _without(files: dict[str, str], name: str) -> dict[str, str]:
    return {other: text for other, text in files.items() if other != name}


def _merged(files: dict[str, str]) -> dict[str, Any]:
    return plain(merge_files(files, [])) if files else {}


def _read(files: dict[str, str], name: str) -> dict[str, Any]:
    return _merged({name: files[name]}) if name in files else {}


def _leaving(content: dict[str, Any]) -> dict[str, bool]:
    return {
        name: settings["leaving"]
        for name, settings in content.get("endpoints", {}).items()
        if isinstance(settings, dict) and isinstance(settings.get("leaving"), bool)
    }
