"""The tables of a measurement as Markdown, from its JSON file."""

import json
import math
import pathlib

from eelgrasslock.log.record_codec import from_jsonable
from eelgrasslock_measure.experiments import Cell
from eelgrasslock_measure.report import COLUMNS, shown, sorted_cells


def read_cells(path: pathlib.Path) -> list[Cell]:
    """Return the cells that `report.write_json` wrote."""
    body = json.loads(path.read_text())
    return [from_jsonable(_with_nan(cell), Cell) for cell in body["cells"]]


def markdown_tables(cells: list[Cell]) -> str:
    """Return all tables, one after the other."""
    keys = dict.fromkeys((c.deployment, c.group, c.label) for c in cells)
    tables = []
    for key in keys:
        chosen = [c for c in cells if (c.deployment, c.group, c.label) == key]
        tables.append(_table(", ".join(key), chosen))
    return "\n\n".join(tables)


def _table(title: str, cells: list[Cell]) -> str:
    lines = [
        f"**{title}**",
        "",
        f"| policy | {' | '.join(COLUMNS.values())} |",
        f"| --- |{' --: |' * len(COLUMNS)}",
    ]
    for cell in sorted_cells(cells):
        values = " | ".join(shown(cell.figures[name]) for name in COLUMNS)
        lines.append(f"| {cell.policy} | {values} |")
    return "\n".join(lines)


def _with_nan(cell: dict) -> dict:
    """Put back the figures that are no numbers, which JSON can't hold."""
    figures = {
        name: {
            key: math.nan if number is None else number
            for key, number in estimate.items()
        }
        for name, estimate in cell["figures"].items()
    }
    return cell | {"figures": figures}
