"""Commands about the log lines of daemons that serve routes."""

import pathlib
import sys

import click
from attrs import asdict

from eelgrasslock.operators.budget_totals import total_budgets
from eelgrasslock.operators.cli_options import ExitCode, json_option
from eelgrasslock.operators.log_stories import Story, StoryLine, tell_story
from eelgrasslock.operators.tables import print_json, print_table

DEFAULT_PROGRAMS = 20


@click.group()
def logs() -> None:
    """Read the log lines of daemons that serve routes."""


@logs.command()
@click.argument("id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@json_option
def explain(id: str, files: tuple[pathlib.Path, ...], as_json: bool) -> None:
    r"""Tell the story of a request or a program, by its ID.

    FILES are the lines of one daemon or of several, in any order. Ends with 3
    if none of them names the ID.

    \b
    Example:
      eelgrasslock logs explain 9c41d07be2a35f68 edge-*.log
    """
    texts = (line for file in files for line in _lines(file))
    story = tell_story(id, texts)
    if as_json:
        lines = [asdict(line) for line in story.lines]
        print_json({"id": id, "cause": story.cause, "lines": lines})
    else:
        _print_story(story)
    if not story.lines:
        sys.exit(ExitCode.REFUSED)


@logs.command()
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--most",
    default=DEFAULT_PROGRAMS,
    show_default=True,
    type=click.IntRange(min=1),
    help="How many programs to list.",
)
@json_option
def budgets(files: tuple[pathlib.Path, ...], most: int, as_json: bool) -> None:
    r"""List the programs that used most tokens beyond their budgets.

    FILES are the lines of all daemons, in any order. Ends with 1 if a program
    used more than its budget and one turn.

    \b
    Example:
      eelgrasslock logs budgets edge-*.log
    """
    totals = total_budgets(line for file in files for line in _lines(file))
    if as_json:
        print_json([asdict(total) for total in totals[:most]])
    else:
        columns = ["program", "budget", "turn", "used", "at most"]
        columns += ["excess", "turns", "offline"]
        print_table(
            "Programs by excess",
            columns,
            (
                (
                    total.program,
                    total.budget,
                    total.max_turn_tokens,
                    total.used_tokens,
                    total.most_used_tokens,
                    total.excess_tokens,
                    total.turns,
                    "; ".join(total.offline_draws),
                )
                for total in totals[:most]
            ),
        )
    if any(total.exceeds_limit for total in totals):
        sys.exit(ExitCode.FINDINGS)


def _lines(file: pathlib.Path) -> list[str]:
    return file.read_text(errors="replace").splitlines()


def _print_story(story: Story) -> None:
    if not story.lines:
        click.echo(f"No line names {story.id}.", err=True)
        return
    for line in story.lines:
        click.echo(f"{line.time}  {line.daemon}  {line.part}: {line.message}")
        inputs = _inputs(line)
        if inputs:
            click.echo(f"    {inputs}")
    click.echo(f"\nCause: {story.cause}")
    if story.unreadable:
        click.echo(f"({story.unreadable} lines are no log lines.)")


def _inputs(line: StoryLine) -> str:
    pairs = [("request", line.request), ("program", line.program)]
    pairs += [(key, one) for key, one in line.inputs.items() if key != "level"]
    return ", ".join(f"{key}={one}" for key, one in pairs if one not in ("", None))
