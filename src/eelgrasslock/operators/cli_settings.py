"""Commands about folders of settings."""

import pathlib
from typing import Any

import click
import yaml

from eelgrasslock.configuration.folder import (
    Origin,
    daemon_settings,
    find_origins,
    load_configuration,
    merge_files,
    read_folder,
)
from eelgrasslock.configuration.folder_base import digest_files, read_base, write_base
from eelgrasslock.configuration.yaml_places import PlacedValue, join_path, leaves, plain
from eelgrasslock.exceptions import Finding, SettingsError
from eelgrasslock.log.records import new_id
from eelgrasslock.operators.cli_options import (
    author_option,
    needs_daemon,
    reports_errors,
)
from eelgrasslock.operators.operator_client import OperatorClient, OrderRefused
from eelgrasslock.operators.operator_edits import carry_over
from eelgrasslock.operators.operator_views import ErrorView, PublishOrder, VersionView
from eelgrasslock.operators.tables import print_json, print_table, print_version

_SECRET_KEYS = ("peer_keys", "operator_keys")
_HIDDEN = "(hidden)"

folder_argument = click.argument(
    "folder", type=click.Path(file_okay=False, path_type=pathlib.Path)
)
kind_option = click.option(
    "--kind",
    type=click.Choice(["deployment", "daemon"]),
    default="deployment",
    show_default=True,
    help="What the folder holds: a deployment to publish, or one daemon's start.",
)


@click.command()
@folder_argument
@kind_option
@reports_errors
def check(folder: pathlib.Path, kind: str, as_json: bool) -> None:
    """Check a folder of settings as a whole.

    Prints every finding with its file, line and key; ends with 1 if there is
    any. Needs no daemon.
    """
    files = read_folder(folder)
    _check(files, kind)
    if as_json:
        print_json({"findings": [], "files": list(files)})
    else:
        click.echo(f"{folder}: {len(files)} files, no findings.")


@click.command()
@folder_argument
@kind_option
@reports_errors
def show(folder: pathlib.Path, kind: str, as_json: bool) -> None:
    """Show a folder's files merged, as YAML.

    Files merge in the order of their names: mappings merge deeply, a later
    file wins where it says so under `overrides`, and null removes an entry.
    Needs no daemon.
    """
    files = read_folder(folder)
    _check(files, kind)
    merged = _hide_secrets(plain(_merge(files)))
    if as_json:
        print_json(merged)
    else:
        text = yaml.safe_dump(merged, sort_keys=False, allow_unicode=True)
        click.echo(text, nl=False)


@click.command()
@folder_argument
@click.argument("path", default="")
@reports_errors
def origins(folder: pathlib.Path, path: str, as_json: bool) -> None:
    """Show which file won each value, and what it overrode.

    PATH narrows the list to one key path, such as limits.program, and what
    lies below it. Needs no daemon.
    """
    found = find_origins(_merge(read_folder(folder)))
    if path:
        found = {key: one for key, one in found.items() if _is_below(key, path)}
    if as_json:
        print_json({key: _origin_view(one) for key, one in found.items()})
        return
    rows = [
        (key, f"{one.file}:{one.line}", [str(place) for place in one.overrides])
        for key, one in found.items()
    ]
    print_table(str(folder), ["key", "set in", "overrides"], rows)


@click.command()
@folder_argument
@needs_daemon
@reports_errors
def diff(client: OperatorClient, folder: pathlib.Path, as_json: bool) -> None:
    """Show how a folder differs from what is in force.

    Drains and quarantines in force are kept by `publish`, so they are no
    difference.
    """
    files = read_folder(folder)
    in_force = client.get("/operator/config", VersionView)
    files = carry_over(in_force.files, files)
    load_configuration(files)
    changes = _compare(_values(in_force.files), _values(files))
    if as_json:
        print_json({"version": in_force.version, "changes": changes})
        return
    title = f"Against version {in_force.version} by {in_force.author}"
    if not changes:
        click.echo(f"{title}: no difference.")
        return
    rows = [(one["key"], one["in_force"], one["folder"]) for one in changes]
    print_table(title, ["key", "in force", "folder"], rows)


@click.command()
@folder_argument
@click.option(
    "--replaces",
    type=int,
    metavar="VERSION",
    help="The version that you have seen and mean to replace.",
)
@author_option
@needs_daemon
@reports_errors
def publish(
    client: OperatorClient,
    folder: pathlib.Path,
    replaces: int | None,
    author: str,
    as_json: bool,
) -> None:
    """Put a folder in force in the whole deployment.

    Refused with 3, naming the other operator's version, if somebody has
    published since this folder was last published or pulled. Look at `diff`,
    take over what you want to keep, and name that version by --replaces.
    Drains and quarantines in force are kept.
    """
    files = read_folder(folder)
    load_configuration(files)
    in_force = _in_force(client)
    _check_base(folder, in_force, replaces)
    if in_force is not None:
        files = carry_over(in_force.files, files)
        if files == in_force.files:
            write_base(folder, in_force.version, files)
            print_version(in_force, as_json)
            return
    order = PublishOrder(
        id=new_id(),
        author=author,
        replaces=in_force.id if in_force else "",
        files=files,
    )
    version = client.send("POST", "/operator/config", order, VersionView)
    write_base(folder, version.version, files)
    print_version(version, as_json)


@click.command()
@folder_argument
@needs_daemon
@reports_errors
def pull(client: OperatorClient, folder: pathlib.Path, as_json: bool) -> None:
    """Write the files in force into a folder that is new or empty."""
    if folder.exists() and any(folder.iterdir()):
        raise click.UsageError(f"{folder} is not empty.")
    in_force = client.get("/operator/config", VersionView)
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in in_force.files.items():
        (folder / pathlib.PurePath(name).name).write_text(text)
    write_base(folder, in_force.version, in_force.files)
    if as_json:
        print_json({"version": in_force.version, "files": list(in_force.files)})
    else:
        click.echo(f"Version {in_force.version}: {len(in_force.files)} files.")


def _check(files: dict[str, str], kind: str) -> None:
    if kind == "daemon":
        daemon_settings(files)
    else:
        load_configuration(files)


def _merge(files: dict[str, str]) -> PlacedValue:
    findings: list[Finding] = []
    merged = merge_files(files, findings)
    if findings:
        raise SettingsError("The settings have findings.", findings)
    return merged


def _hide_secrets(merged: dict[str, Any]) -> dict[str, Any]:
    return {
        key: _HIDDEN if key in _SECRET_KEYS else value for key, value in merged.items()
    }


def _is_below(key: str, path: str) -> bool:
    return key == path or key.startswith(f"{path}.")


def _origin_view(origin: Origin) -> dict[str, Any]:
    return {
        "file": origin.file,
        "line": origin.line,
        "overrides": [str(place) for place in origin.overrides],
    }


def _values(files: dict[str, str]) -> dict[str, Any]:
    merged = _merge(files)
    return {join_path(path): plain(leaf) for path, leaf in leaves(merged)}


def _compare(in_force: dict[str, Any], folder: dict[str, Any]) -> list[dict[str, Any]]:
    keys = [*in_force, *(key for key in folder if key not in in_force)]
    return [
        {"key": key, "in_force": in_force.get(key, ""), "folder": folder.get(key, "")}
        for key in keys
        if in_force.get(key) != folder.get(key)
    ]


def _in_force(client: OperatorClient) -> VersionView | None:
    try:
        return client.get("/operator/config", VersionView)
    except OrderRefused as error:
        if error.view.code == "no_configuration":
            return None
        raise


def _check_base(
    folder: pathlib.Path, in_force: VersionView | None, replaces: int | None
) -> None:
    if in_force is None:
        return
    if replaces is not None:
        if replaces == in_force.version:
            return
        raise OrderRefused(_conflict(in_force, f"You mean to replace {replaces}."))
    base = read_base(folder)
    if base is None:
        hint = "This folder was not published or pulled before."
        raise OrderRefused(_conflict(in_force, hint))
    if base.digest != digest_files(in_force.files):
        hint = f"This folder started from version {base.version}."
        raise OrderRefused(_conflict(in_force, hint))


def _conflict(in_force: VersionView, hint: str) -> ErrorView:
    sentence = (
        f"Version {in_force.version} by {in_force.author} is in force. {hint} "
        f"Look at `diff`, then publish with --replaces {in_force.version}."
    )
    return ErrorView(
        code="conflict",
        sentence=sentence,
        version=in_force.version,
        author=in_force.author,
    )
