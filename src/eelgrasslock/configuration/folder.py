"""Loads a folder of settings files, checked as a whole."""

import pathlib
from typing import Any

from attrs import field, frozen

from eelgrasslock.configuration.checks import check_configuration
from eelgrasslock.configuration.merging import merge
from eelgrasslock.configuration.settings import Configuration, DaemonSettings
from eelgrasslock.configuration.structuring import structure
from eelgrasslock.configuration.yaml_places import (
    Place,
    PlacedValue,
    join_path,
    leaves,
    parse_yaml,
    plain,
)
from eelgrasslock.exceptions import Finding, SettingsError

MAX_FOLDER_BYTES = 4_194_304
MAX_FILES = 1_000

_SUFFIXES = {".yaml", ".yml"}


@frozen
class Origin:
    """Where a merged value comes from.

    Attributes
    ----------
    file : str
        The file that won.
    line : int
        The line in it.
    overrides : tuple of Place
        Where values stood that it took the place of, the oldest first.
    """

    file: str
    line: int
    overrides: tuple[Place, ...] = ()


@frozen(eq=False)
class LoadedConfiguration:
    """A checked configuration and where each value comes from.

    Attributes
    ----------
    configuration : Configuration
        The typed result.
    tree : PlacedValue
        The merged files.
    """

    configuration: Configuration
    tree: PlacedValue = field(repr=False)

    @property
    def origins(self) -> dict[str, Origin]:
        """Where each value comes from, by key path."""
        return find_origins(self.tree)

    @property
    def merged(self) -> dict[str, Any]:
        """The merged files as plain values."""
        return plain(self.tree)


class ParsedFiles:
    """The newest content of each file name, so that only changes are parsed."""

    def __init__(self) -> None:
        self.kept: dict[str, tuple[str, PlacedValue | None, list[Finding]]] = {}

    def parse(self, name: str, text: str) -> tuple[PlacedValue | None, list[Finding]]:
        """Return a file's content and what is wrong with it."""
        kept = self.kept.pop(name, None)
        if kept is None or kept[0] != text:
            findings: list[Finding] = []
            kept = (text, parse_yaml(name, text, findings), findings)
        self.kept[name] = kept
        if len(self.kept) > MAX_FILES:
            del self.kept[next(iter(self.kept))]
        return kept[1], kept[2]


_parsed_files = ParsedFiles()


def read_folder(folder: pathlib.Path) -> dict[str, str]:
    """Return the texts of a folder's YAML files by name, in their order.

    Raises
    ------
    SettingsError
        If the folder or a file can't be read, or there is none.
    """
    findings: list[Finding] = []
    texts: dict[str, str] = {}
    for path in _list_files(folder, findings):
        text = _read_file(path, findings)
        if text is not None:
            texts[path.name] = text
    if not texts and not findings:
        findings.append(Finding("The folder holds no YAML file.", str(folder)))
    _raise(findings)
    return texts


def merge_files(files: dict[str, str], findings: list[Finding]) -> PlacedValue:
    """Return the merged content of files given by name."""
    if not files:
        findings.append(Finding("There is no settings file."))
    total = sum(len(text) for text in files.values())
    if total > MAX_FOLDER_BYTES:
        message = f"The files have {total} bytes; {MAX_FOLDER_BYTES} are allowed."
        findings.append(Finding(message))
        return merge([], findings)
    contents = []
    for name in sorted(files):
        content, problems = _parsed_files.parse(name, files[name])
        findings.extend(_copy(problem) for problem in problems)
        if content is not None:
            contents.append(content)
    return merge(contents, findings)


def load_configuration(files: dict[str, str]) -> LoadedConfiguration:
    """Return the configuration that a deployment's files make up.

    Parameters
    ----------
    files : dict of str to str
        The files' names and texts.

    Raises
    ------
    SettingsError
        With a `Finding` for each thing that is wrong.
    """
    findings: list[Finding] = []
    merged = merge_files(files, findings)
    configuration = structure(merged, Configuration, findings)
    check_configuration(merged, findings)
    _raise(findings)
    return LoadedConfiguration(configuration, merged)


def load_daemon_settings(folder: pathlib.Path) -> DaemonSettings:
    """Return the settings that one daemon starts with.

    Raises
    ------
    SettingsError
        With a `Finding` for each thing that is wrong.
    """
    return daemon_settings(read_folder(folder))


def daemon_settings(files: dict[str, str]) -> DaemonSettings:
    """Return one daemon's settings from its files' names and texts.

    Raises
    ------
    SettingsError
        With a `Finding` for each thing that is wrong.
    """
    findings: list[Finding] = []
    merged = merge_files(files, findings)
    settings = structure(merged, DaemonSettings, findings)
    _raise(findings)
    return settings


def find_origins(merged: PlacedValue) -> dict[str, Origin]:
    """Return where each value of a merged tree comes from, by key path."""
    return {
        join_path(path): Origin(leaf.place.file, leaf.place.line, leaf.overrides)
        for path, leaf in leaves(merged)
    }


def _copy(finding: Finding) -> Finding:
    return Finding(finding.message, finding.file, finding.line, finding.path)


def _list_files(folder: pathlib.Path, findings: list[Finding]) -> list[pathlib.Path]:
    try:
        paths = sorted(folder.iterdir(), key=lambda path: path.name)
    except OSError as error:
        message = f"The folder can't be read: {error.strerror}."
        findings.append(Finding(message, str(folder)))
        return []
    paths = [path for path in paths if path.suffix in _SUFFIXES]
    paths = [path for path in paths if not path.name.startswith(".")]
    if len(paths) > MAX_FILES:
        message = f"The folder holds {len(paths)} files; {MAX_FILES} are allowed."
        findings.append(Finding(message, str(folder)))
    return paths[:MAX_FILES]


def _read_file(path: pathlib.Path, findings: list[Finding]) -> str | None:
    try:
        data = path.read_bytes()
    except OSError as error:
        message = f"The file can't be read: {error.strerror}."
        findings.append(Finding(message, path.name))
        return None
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        findings.append(Finding("The file is not UTF-8 text.", path.name, line))
        return None


def _raise(findings: list[Finding]) -> None:
    if findings:
        raise SettingsError("The settings have findings.", findings)
