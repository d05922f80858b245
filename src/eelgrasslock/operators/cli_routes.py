"""Commands that check what a daemon that serves routes reads."""

import pathlib

import attrs
import click

from eelgrasslock.exceptions import SettingsError
from eelgrasslock.gateway.settings import load_gateway_settings
from eelgrasslock.operators.cli_options import reports_errors
from eelgrasslock.operators.tables import print_json
from eelgrasslock.platform.record_decoder import (
    configuration_findings,
    decode_document,
)
from eelgrasslock.routing.configuration_changes import compare_configurations
from eelgrasslock.routing.configuration_review import review_configuration
from eelgrasslock.routing.routes import RoutingConfiguration

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
@click.option(
    "--against",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="The document in force; what differs from it is printed.",
)
@reports_errors
def check_routes(
    file: pathlib.Path, against: pathlib.Path | None, as_json: bool
) -> None:
    """Check a configuration document before it is sent.

    Findings are errors, entries that can never match or have no effect, and limits
    that contradict each other.
    """
    configuration = _read_configuration(file)
    findings = review_configuration(file.name, configuration)
    changes = []
    if against is not None:
        changes = compare_configurations(_read_configuration(against), configuration)
    if not as_json:
        for change in changes:
            click.echo(str(change))
    if findings:
        raise SettingsError("The configuration has findings.", findings)
    if as_json:
        print_json({"findings": [], "changes": [attrs.asdict(one) for one in changes]})
        return
    click.echo(f"{file}: a configuration, no findings.")


def _read_configuration(file: pathlib.Path) -> RoutingConfiguration:
    value = file.read_bytes()
    findings = configuration_findings(file.name, value)
    if findings:
        raise SettingsError("The configuration has findings.", findings)
    return decode_document(value)


def _print_good(file: pathlib.Path, what: str, as_json: bool) -> None:
    if as_json:
        print_json({"findings": []})
    else:
        click.echo(f"{file}: {what}, no findings.")
