"""The daemon's entry point.

What a daemon does not use is not imported, for the sake of its memory and of
the time until it serves.
"""

import os
import pathlib
import sys

import click

from eelgrasslock.exceptions import SettingsError
from eelgrasslock.imports import quick_imports

SETTINGS_VARIABLE = "EELGRASSLOCK_SETTINGS"
EXIT_FINDINGS = 1


@click.command()
@click.option(
    "--settings",
    "folder",
    type=click.Path(path_type=pathlib.Path),
    help="The folder of YAML files with this daemon's settings.",
)
@click.version_option(package_name="eelgrasslock")
def main(folder: pathlib.Path | None) -> None:
    """Run one eelgrasslock daemon until SIGTERM or SIGINT.

    Without a folder, the daemon serves routes on a platform, with the settings
    of the file that EELGRASSLOCK_SETTINGS names.
    """
    named = os.environ.get(SETTINGS_VARIABLE, "")
    if folder is None and not named:
        raise click.UsageError(f"Give --settings, or set {SETTINGS_VARIABLE}.")
    try:
        _run(folder, pathlib.Path(named))
    except SettingsError as group:
        for finding in group.exceptions:
            click.echo(str(finding), err=True)
        sys.exit(EXIT_FINDINGS)


def _run(folder: pathlib.Path | None, named: pathlib.Path) -> None:
    if folder is None:
        with quick_imports():
            from eelgrasslock.gateway.run import run_gateway

        run_gateway(named)
    else:
        from eelgrasslock.serving import run_daemon

        run_daemon(folder)


if __name__ == "__main__":
    main()
