"""Command line of the measurements."""

import os
import pathlib
import time

import click
from attrs import asdict
from loguru import logger
from rich.console import Console
from rich.progress import track

from eelgrasslock_measure.calibration import knee_of, measure_power
from eelgrasslock_measure.costs import print_costs
from eelgrasslock_measure.deployments import DEPLOYMENTS
from eelgrasslock_measure.experiments import collect, plan_jobs, run_jobs
from eelgrasslock_measure.heartbeats import heartbeats
from eelgrasslock_measure.markdown import markdown_tables, read_cells
from eelgrasslock_measure.plots import plot_loads
from eelgrasslock_measure.report import print_report, write_json
from eelgrasslock_measure.state import main as state_costs

_WIDTH = 190
_SECONDS = 900.0
_QUICK_SECONDS = 600.0
_MOST_WORKERS = 10


@click.group(invoke_without_command=True)
@click.option("--quick", is_flag=True, help="Short runs and two seeds.")
@click.option(
    "--seeds", default=10, show_default=True, help="Seeds of the load tables."
)
@click.option("--few-seeds", default=3, show_default=True, help="Of the other tables.")
@click.option(
    "--jobs", default=_MOST_WORKERS, show_default=True, help="Runs at the same time."
)
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("results"),
    show_default=True,
    help="Folder for JSON and plots.",
)
@click.pass_context
def main(
    context: click.Context,
    quick: bool,
    seeds: int,
    few_seeds: int,
    jobs: int,
    out: pathlib.Path,
) -> None:
    """Compare the scheduler with simple policies on generated programs."""
    logger.remove()
    if context.invoked_subcommand is not None:
        return
    started = time.monotonic()
    seconds = _QUICK_SECONDS if quick else _SECONDS
    planned = plan_jobs(seconds, 2 if quick else seeds, 2 if quick else few_seeds)
    console = Console(width=_WIDTH)
    running = run_jobs(planned, _workers(jobs))
    results = list(track(running, "Running", total=len(planned), console=_stderr()))
    order = {job: number for number, job in enumerate(planned)}
    results.sort(key=lambda result: order[result[0]])
    cells = collect(results)
    out.mkdir(parents=True, exist_ok=True)
    write_json(cells, out / "measure.json", seconds=seconds, runs=len(planned))
    plot_loads(cells, out)
    console.print(f"{len(planned)} runs in {time.monotonic() - started:.0f} s.")
    print_report(cells, console)


@main.command()
def costs() -> None:
    """Measure processor time and memory of placement decisions."""
    print_costs(Console(width=_WIDTH))


@main.command()
@click.argument(
    "path",
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
    default=pathlib.Path("results/measure.json"),
)
def tables(path: pathlib.Path) -> None:
    """Print the tables of a measurement as Markdown."""
    click.echo(markdown_tables(read_cells(path)))


@main.command()
@click.option("--jobs", default=_MOST_WORKERS, show_default=True)
def calibrate(jobs: int) -> None:
    """Find the knee: the load with the largest power of any simple policy."""
    points = measure_power(_SECONDS, _workers(jobs))
    for point in points:
        values = asdict(point)
        click.echo(
            "{deployment} {per_second:.2f}/s {policy} power {power:.6f}".format(
                **values
            )
        )
    for deployment in DEPLOYMENTS:
        knee = knee_of(points, deployment)
        click.echo(f"{deployment} knee {knee.per_second:.2f} programs a second")


def _stderr() -> Console:
    return Console(stderr=True)


def _workers(jobs: int) -> int:
    return max(1, min(jobs, os.cpu_count() or 1))


main.add_command(heartbeats, "heartbeats")
main.add_command(state_costs, "state")


if __name__ == "__main__":
    main()
