"""Remembers which published files an operator's folder started from."""

import hashlib
import json
import pathlib

from attrs import frozen

from eelgrasslock.operators.operator_edits import OPERATOR_FILES

BASE_FILE = ".eelgrasslock-base"


@frozen
class FolderBase:
    """The version that a folder was last published or pulled as.

    Attributes
    ----------
    version : int
        Its number.
    digest : str
        The digest of its files, those of drains and quarantines left out: they
        are carried over, so they don't make a folder old.
    """

    version: int
    digest: str


def digest_files(files: dict[str, str]) -> str:
    """Return the digest of a folder's files without drains and quarantines."""
    kept = {name: text for name, text in files.items() if name not in OPERATOR_FILES}
    return hashlib.sha256(json.dumps(kept, sort_keys=True).encode()).hexdigest()


def read_base(folder: pathlib.Path) -> FolderBase | None:
    """Return what a folder started from, or None if that isn't known."""
    try:
        content = json.loads((folder / BASE_FILE).read_text())
        return FolderBase(int(content["version"]), str(content["digest"]))
    except (OSError, ValueError, KeyError, TypeError):
        return None


def write_base(folder: pathlib.Path, version: int, files: dict[str, str]) -> None:
    """Remember the version that a folder is now."""
    content = {"version": version, "digest": digest_files(files)}
    (folder / BASE_FILE).write_text(json.dumps(content) + "\n")
