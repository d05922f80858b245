"""Commands that check what a daemon that serves routes reads."""

import pathlib

import click

from eelgrasslock.exceptions import SettingsError
from eelgrasslock.gateway.settings import load_gateway_settings
from eelgrasslock.operators.cli_options import reports_errors
from eelgrasslock.operators.tables import print_json
from eelgrasslock.platform.record_decoder import configuration_findings

file_argument = click.argument(
    "file", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)


@click.command("check-node")
@file_argument
@reports_errors
def check_node(file: pathlib.Path, as_json: bool) -> None:
    """Check the settings file of a daemon that serves routes."""
    settings = load_gateway_settings(file)
    _print_good(file, f"the settings of {settings.name}", as_json)


@click.command("check-routes")
@file_argument
@reports_errors
def check_routes(file: pathlib.Path, as_json: bool) -> None:
    """Check a configuration document with routes and services."""
    findings = configuration_findings(file.name, file.read_bytes())
    if findings:
        raise SettingsError("The configuration has findings.", findings)
    _print_good(file, "a configuration", as_json)


def _print_good(file: pathlib.Path, what: str, as_json: bool) -> None:
    if as_json:
        print_json({"findings": []})
    else:
        click.echo(f"{file}: {what}, no findings.")
