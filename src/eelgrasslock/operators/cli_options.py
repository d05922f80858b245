"""What the commands of the operator's tool have in common."""

import enum
import functools
import getpass
import sys
from collections.abc import Callable
from typing import Any

import click

from eelgrasslock.exceptions import SettingsError
from eelgrasslock.operators.operator_client import (
    DaemonUnreachable,
    OperatorClient,
    OrderRefused,
)
from eelgrasslock.operators.operator_views import ErrorView, FindingView
from eelgrasslock.operators.tables import print_json, print_table

Command = Callable[..., Any]


class ExitCode(enum.IntEnum):
    """What the tool's exit codes mean."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4


json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON in place of tables."
)
author_option = click.option(
    "--author",
    envvar="EELGRASSLOCK_AUTHOR",
    default=getpass.getuser,
    show_default="your user name",
    help="Who gives the order; others see it.",
)
_daemon_option = click.option(
    "--daemon",
    envvar="EELGRASSLOCK_DAEMON",
    default="http://127.0.0.1:18081",
    show_default=True,
    metavar="URL",
    help="Any daemon's HTTP address. Environment: EELGRASSLOCK_DAEMON.",
)
_key_option = click.option(
    "--key",
    envvar="EELGRASSLOCK_KEY",
    default="",
    help="The operators' key; better set EELGRASSLOCK_KEY.",
)


def needs_daemon(command: Command) -> Command:
    """Give a command its first argument, a client of the daemon named."""

    @_daemon_option
    @_key_option
    @functools.wraps(command)
    def run(daemon: str, key: str, **arguments: Any) -> Any:
        if not daemon.startswith(("http://", "https://")):
            daemon = f"http://{daemon}"
        return command(OperatorClient(daemon, key), **arguments)

    return run


def reports_errors(command: Command) -> Command:
    """Turn errors into their message and exit code."""

    @json_option
    @functools.wraps(command)
    def run(*given: Any, as_json: bool, **arguments: Any) -> Any:
        try:
            return command(*given, as_json=as_json, **arguments)
        except SettingsError as error:
            findings = [_finding_view(one) for one in error.exceptions]
            _print_findings(findings, as_json)
            sys.exit(ExitCode.FINDINGS)
        except OrderRefused as error:
            sys.exit(_report_refusal(error.view, as_json))
        except DaemonUnreachable as error:
            view = ErrorView(code="unreachable", sentence=str(error))
            _print_error(view, as_json)
            sys.exit(ExitCode.UNREACHABLE)

    return run


def _report_refusal(view: ErrorView, as_json: bool) -> ExitCode:
    if view.findings:
        _print_findings(view.findings, as_json)
        return ExitCode.FINDINGS
    _print_error(view, as_json)
    return ExitCode.REFUSED


def _print_error(view: ErrorView, as_json: bool) -> None:
    if as_json:
        print_json({"error": view})
    else:
        click.echo(f"{view.code}: {view.sentence}", err=True)


def _print_findings(findings: list[FindingView], as_json: bool) -> None:
    if as_json:
        print_json({"findings": findings})
        return
    title = f"{len(findings)} finding{'s' if len(findings) != 1 else ''}"
    rows = [(_place(one), one.path, one.message) for one in findings]
    print_table(title, ["place", "key", "what is wrong"], rows)


def _place(finding: FindingView) -> str:
    return f"{finding.file}:{finding.line}" if finding.line else finding.file


def _finding_view(finding: Any) -> FindingView:
    return FindingView(
        message=finding.message,
        file=finding.file,
        line=finding.line,
        path=finding.path,
    )
