"""Prints answers as tables for people, or as JSON for programs."""

import datetime
import json
import sys
from collections.abc import Iterable
from typing import Any

from attrs import evolve
from rich.console import Console
from rich.table import Table
from rich.text import Text

from eelgrasslock.log.record_codec import to_jsonable
from eelgrasslock.operators.operator_views import VersionView

_PIPE_WIDTH_COLUMNS = 160


def print_json(value: Any) -> None:
    """Print a value, or a typed object, as JSON."""
    print(json.dumps(to_jsonable(value), indent=2, ensure_ascii=False, default=str))


def print_table(title: str, columns: list[str], rows: Iterable[Iterable[Any]]) -> None:
    """Print rows under named columns."""
    table = Table(title=Text(title), title_justify="left", header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(Text(_shown(cell)) for cell in row))
    _console().print(table)


def print_fields(title: str, fields: dict[str, Any]) -> None:
    """Print names and values, one a line."""
    print_table(title, ["field", "value"], fields.items())


def print_version(version: VersionView, as_json: bool) -> None:
    """Print which configuration is in force, without its files."""
    if as_json:
        print_json(evolve(version, files={}))
    else:
        print(f"Version {version.version} by {version.author} is in force.")


def shown_time(seconds: float) -> str:
    """Return a time since the epoch as text for people."""
    if not seconds:
        return ""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def _shown(cell: Any) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    if isinstance(cell, list | tuple):
        return ", ".join(str(item) for item in cell)
    return str(cell)


def _console() -> Console:
    if sys.stdout.isatty():
        return Console()
    return Console(width=_PIPE_WIDTH_COLUMNS)
