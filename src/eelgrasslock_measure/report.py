"""Tables, JSON and last lines of a measurement."""

import json
import math
import pathlib
from collections.abc import Iterable

from attrs import asdict, frozen
from rich.console import Console
from rich.table import Table

from eelgrasslock_measure.deployments import DEPLOYMENTS
from eelgrasslock_measure.experiments import CLAIRVOYANT, Cell, Estimate
from eelgrasslock_measure.policies import OURS, SIMPLE

LATENCY_TARGET = 0.7
WASTED_TARGET = 0.5
WORSE_TARGET = 1.05

_COLUMNS = {
    "p50": "p50 s",
    "p95": "p95 s",
    "p99": "p99 s",
    "mean": "mean s",
    "wasted": "wasted k",
    "imported": "moved k",
    "refused": "refused",
    "unfinished": "unfin.",
    "late": "late",
    "fairness": "fair",
    "finished_per_minute": "fin./min",
    "lookup_p95": "lookup p95 s",
    "behind": "behind",
    "utilisation": "util.",
}
_COMPARED = ("p95", "mean", "wasted", "lookup_p95", "finished_per_minute")
_MORE_IS_BETTER = frozenset({"finished_per_minute"})


@frozen(kw_only=True)
class Comparison:
    """Ours against the best simple policy in one setting.

    Attributes
    ----------
    deployment, label, figure : str
        What is compared.
    best : str
        The simple policy with the best mean of that figure.
    ratio : float
        Ours over the best; below 1 ours is better.
    """

    deployment: str
    label: str
    figure: str
    best: str
    ratio: float


def compare(cells: list[Cell], deployment: str, label: str, figure: str) -> Comparison:
    """Return ours over the best simple policy, by one figure's means."""
    means = {
        cell.policy: cell.figures[figure].mean
        for cell in cells
        if cell.deployment == deployment and cell.label == label
    }
    sign = -1.0 if figure in _MORE_IS_BETTER else 1.0
    simple = [policy for policy in means if policy in SIMPLE]
    best = min(simple, key=lambda policy: sign * means[policy])
    ratio = _ratio(means[OURS], means[best])
    if figure in _MORE_IS_BETTER:
        ratio = _ratio(means[best], means[OURS])
    return Comparison(
        deployment=deployment, label=label, figure=figure, best=best, ratio=ratio
    )


def compare_all(cells: list[Cell]) -> list[Comparison]:
    """Return all comparisons, the worst first."""
    settings = {
        (cell.deployment, cell.label) for cell in cells if cell.group != "decision"
    }
    comparable = [cell for cell in cells if cell.group != "decision"]
    compared = [
        compare(comparable, deployment, label, figure)
        for deployment, label in settings
        for figure in _COMPARED
    ]
    return sorted(compared, key=lambda one: -one.ratio)


def last_line(cells: list[Cell], deployment: str) -> str:
    """Return a deployment's last line: ours over the best at the knee."""
    loads = [cell for cell in cells if cell.group == "load"]
    latency = compare(loads, deployment, "knee", "p95").ratio
    wasted = compare(loads, deployment, "knee", "wasted").ratio
    return f"{deployment} latency-ratio={latency:.3f} wasted-ratio={wasted:.3f}"


def print_report(cells: list[Cell], console: Console) -> None:
    """Print all tables, what misses its bound, and the last lines."""
    groups = dict.fromkeys((c.deployment, c.group, c.label) for c in cells)
    for key in sorted(groups, key=lambda key: (key[0], list(groups).index(key))):
        chosen = [c for c in cells if (c.deployment, c.group, c.label) == key]
        console.print(_table(", ".join(key), chosen))
    _print_misses(cells, console)
    for deployment in DEPLOYMENTS:
        console.print(last_line(cells, deployment), highlight=False)


def write_json(cells: list[Cell], path: pathlib.Path, **about: object) -> None:
    """Write all figures to a file."""
    body = {"about": about, "cells": [asdict(cell) for cell in cells]}
    text = json.dumps(_rounded(body), indent=1, allow_nan=False)
    path.write_text(text + "\n")


def _table(title: str, cells: Iterable[Cell]) -> Table:
    table = Table(title=title, title_justify="left")
    table.add_column("policy", no_wrap=True)
    for heading in _COLUMNS.values():
        table.add_column(heading, justify="right", no_wrap=True)
    order = [*SIMPLE, OURS]
    for cell in sorted(cells, key=lambda cell: _place(order, cell.policy)):
        shown = [_shown(cell.figures[name]) for name in _COLUMNS]
        table.add_row(cell.policy, *shown)
    return table


def _place(order: list[str], policy: str) -> tuple[int, str]:
    if policy == CLAIRVOYANT:
        return (len(order) + 1, policy)
    return (order.index(policy) if policy in order else len(order), policy)


def _shown(estimate: Estimate) -> str:
    digits = 0 if estimate.mean >= 100 else 1 if estimate.mean >= 10 else 2
    text = f"{estimate.mean:.{digits}f}"
    if math.isnan(estimate.half_width) or not estimate.half_width:
        return text
    return f"{text}±{estimate.half_width:.{digits}f}"


def _print_misses(cells: list[Cell], console: Console) -> None:
    """Print where a bound is missed, and by how much."""
    for deployment in DEPLOYMENTS:
        loads = [cell for cell in cells if cell.group == "load"]
        for figure, target in (("p95", LATENCY_TARGET), ("wasted", WASTED_TARGET)):
            one = compare(loads, deployment, "knee", figure)
            verdict = (
                "met" if one.ratio <= target else f"missed by {one.ratio - target:.3f}"
            )
            console.print(
                f"{deployment}, knee: {figure} {one.ratio:.3f} of {one.best},"
                f" bound {target}: {verdict}.",
                highlight=False,
            )
    worse = [one for one in compare_all(cells) if one.ratio > WORSE_TARGET]
    for one in worse:
        console.print(
            f"{one.deployment}, {one.label}: {one.figure} is {one.ratio:.3f} of"
            f" {one.best}, past {WORSE_TARGET}.",
            highlight=False,
        )
    if not worse:
        console.print(f"Nowhere worse than {WORSE_TARGET} of the best simple policy.")


def _ratio(ours: float, best: float) -> float:
    if best == ours:
        return 1.0
    if best == 0.0:
        return math.inf
    return ours / best


def _rounded(value: object) -> object:
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_rounded(item) for item in value]
    if isinstance(value, float):
        return round(value, 4) if math.isfinite(value) else None
    return value
