"""Plots of a measurement."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes

from eelgrasslock_measure.deployments import DEPLOYMENTS
from eelgrasslock_measure.experiments import Cell
from eelgrasslock_measure.policies import OURS, SIMPLE

_LOADS = ("light", "knee", "overload", "heavy overload")
_FIGURES = {
    "p95": "p95 program latency, s",
    "wasted": "wasted tokens, thousands a program",
    "finished_per_minute": "finished programs a minute",
}


def plot_loads(cells: list[Cell], folder: pathlib.Path) -> None:
    """Draw latency, waste and throughput over load, one file a deployment."""
    for deployment in DEPLOYMENTS:
        figure, axes = pyplot.subplots(1, len(_FIGURES), figsize=(13, 4))
        for axis, (name, title) in zip(axes, _FIGURES.items(), strict=True):
            _plot_figure(axis, cells, deployment, name)
            axis.set_title(title)
        axes[0].legend()
        figure.suptitle(deployment)
        figure.tight_layout()
        figure.savefig(folder / f"{deployment}-load.png", dpi=80)
        pyplot.close(figure)


def _plot_figure(axis: Axes, cells: list[Cell], deployment: str, name: str) -> None:
    for policy in [*SIMPLE, OURS]:
        by_label = {
            cell.label: cell.figures[name]
            for cell in cells
            if cell.group == "load"
            and cell.deployment == deployment
            and cell.policy == policy
        }
        labels = [label for label in _LOADS if label in by_label]
        means = [by_label[label].mean for label in labels]
        errors = [by_label[label].half_width for label in labels]
        width = 2.5 if policy == OURS else 1.0
        axis.errorbar(labels, means, errors, label=policy, capsize=3, linewidth=width)
    axis.set_ylim(bottom=0)
