"""The operator's tool: `eelgrasslock`."""

import click
from click.shell_completion import get_completion_class

from eelgrasslock import __version__
from eelgrasslock.operators import cli_fleet, cli_logs, cli_routes, cli_settings

_NAME = "eelgrasslock"
_COMPLETE_VARIABLE = "_EELGRASSLOCK_COMPLETE"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name=_NAME)
def main() -> None:
    r"""Check and publish settings, and look after a running fleet.

    Commands that talk to the fleet ask any one daemon, named by --daemon or
    EELGRASSLOCK_DAEMON. Where the daemons have operator keys, put one into
    EELGRASSLOCK_KEY.

    \b
    Exit codes:
      0  done
      1  the settings have findings
      2  wrong usage
      3  refused: another operator was first, wrong key, unknown name
      4  the daemon, or the log behind it, can't be reached; try again

    \b
    Examples:
      eelgrasslock check examples/riga
      eelgrasslock origins examples/riga limits.program
      eelgrasslock publish examples/riga --daemon http://127.0.0.1:18081
      eelgrasslock actions --json
      eelgrasslock resolve licence-app fee-2041 --result done
    """


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    r"""Print the completion script of a shell.

    \b
    bash:  eval "$(eelgrasslock completion bash)"
    zsh:   eval "$(eelgrasslock completion zsh)"
    fish:  eelgrasslock completion fish | source
    """
    kind = get_completion_class(shell)
    assert kind is not None
    complete = kind(main, {}, _NAME, _COMPLETE_VARIABLE)
    # Not `source()`: for bash it starts a process to ask for the version.
    click.echo(complete.source_template % complete.source_vars())


for _command in (
    cli_settings.check,
    cli_settings.show,
    cli_settings.origins,
    cli_settings.diff,
    cli_settings.publish,
    cli_settings.pull,
    cli_fleet.fleet,
    cli_fleet.endpoints,
    cli_fleet.programs,
    cli_fleet.explain,
    cli_fleet.actions,
    cli_fleet.resolve,
    cli_fleet.drain,
    cli_fleet.suspects,
    cli_fleet.quarantine,
    cli_fleet.release,
    cli_logs.logs,
    cli_routes.check_node,
    cli_routes.check_routes,
):
    main.add_command(_command)


if __name__ == "__main__":
    main()
