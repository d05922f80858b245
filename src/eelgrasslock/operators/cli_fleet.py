"""Commands about the running fleet."""

import contextlib
from typing import Any
from urllib.parse import quote

import click

from eelgrasslock.operators.cli_options import (
    author_option,
    needs_daemon,
    reports_errors,
)
from eelgrasslock.operators.operator_client import (
    DaemonUnreachable,
    OperatorClient,
    OrderRefused,
)
from eelgrasslock.operators.operator_views import (
    ActionView,
    AuthoredOrder,
    DrainOrder,
    EndpointStateView,
    FleetView,
    ProgramView,
    ResolveOrder,
    SuspectView,
    VersionView,
)
from eelgrasslock.operators.tables import (
    print_fields,
    print_json,
    print_table,
    print_version,
    shown_time,
)

_RESULTS = {"done": "done", "not-run": "not_run"}


@click.command()
@needs_daemon
@reports_errors
def fleet(client: OperatorClient, as_json: bool) -> None:
    """Show the daemons, and the state of the one that answers."""
    view = client.get("/operator/fleet", FleetView)
    if as_json:
        print_json(view)
        return
    state = "up" if view.log_available else "DOWN"
    draining = ", draining" if view.draining else ""
    print_table(
        f"Configuration version {view.version}, log {state}{draining}",
        ["daemon", "domain", "http", "peers", "since", "state", "incarnation"],
        [
            (
                member.name + (" *" if member.answering else ""),
                member.domain,
                member.http_address,
                member.peer_address,
                shown_time(member.joined),
                "silent" if member.silent else "live",
                member.incarnation,
            )
            for member in view.members
        ],
    )


@click.command()
@click.option("--service", default="", help="Only the endpoints of one service.")
@needs_daemon
@reports_errors
def endpoints(client: OperatorClient, service: str, as_json: bool) -> None:
    """Show the endpoints: calls in flight, load, breaker, who drains them."""
    views = client.get("/operator/endpoints", list[EndpointStateView])
    views = [view for view in views if service in ("", view.service)]
    if as_json:
        print_json(views)
        return
    print_table(
        f"{len(views)} endpoints",
        ["endpoint", "service", "domain", "in flight", "load", "breaker", "leaving"],
        [
            (
                view.endpoint,
                view.service,
                view.domain,
                view.in_flight,
                view.load,
                view.breaker,
                view.leaving,
            )
            for view in views
        ],
    )


@click.command()
@click.option("--all", "show_all", is_flag=True, help="Ended programs as well.")
@needs_daemon
@reports_errors
def programs(client: OperatorClient, show_all: bool, as_json: bool) -> None:
    """Show the programs of the failure domain that the daemon belongs to."""
    views = client.get("/operator/programs", list[ProgramView])
    views = [view for view in views if show_all or not view.ended]
    if as_json:
        print_json(views)
        return
    print_table(
        f"{len(views)} programs",
        ["program", "turn", "tokens", "limit", "active", "holder", "ended"],
        [
            (
                view.program,
                view.turn,
                view.spent_tokens,
                view.limit_tokens,
                shown_time(view.active),
                view.holder,
                view.ended,
            )
            for view in views
        ],
    )


@click.command()
@click.argument("program")
@needs_daemon
@reports_errors
def explain(client: OperatorClient, program: str, as_json: bool) -> None:
    """Explain a program: where each turn ran and why, what was refused."""
    view = _find_program(client, program)
    if as_json:
        print_json(view)
        return
    turns = view.pop("turns", [])
    refusals = view.pop("refusals", [])
    print_fields(program, view)
    print_table(
        "Turns",
        ["turn", "endpoint", "tokens", "why there"],
        [(one["turn"], one["endpoint"], one["tokens"], one["reason"]) for one in turns],
    )
    for refusal in refusals:
        click.echo(f"Refused: {refusal}")


@click.command()
@needs_daemon
@reports_errors
def actions(client: OperatorClient, as_json: bool) -> None:
    """Show the non-idempotent actions of which nobody knows whether they ran."""
    views = client.get("/operator/actions", list[ActionView])
    if as_json:
        print_json(views)
        return
    print_table(
        f"{len(views)} unresolved actions",
        ["service", "action", "since", "program"],
        [
            (view.service, view.action, shown_time(view.time), view.program)
            for view in views
        ],
    )


@click.command()
@click.argument("service")
@click.argument("action")
@click.option(
    "--result",
    type=click.Choice(list(_RESULTS)),
    required=True,
    help="What the service's own books say.",
)
@author_option
@needs_daemon
@reports_errors
def resolve(
    client: OperatorClient,
    service: str,
    action: str,
    result: str,
    author: str,
    as_json: bool,
) -> None:
    """Settle an action whose outcome is unknown.

    Look into the service's books first. With `done` the action never runs
    again; with `not-run` the caller may send it again, so a wrong `not-run`
    posts twice.
    """
    order = ResolveOrder(
        author=author, service=service, action=action, result=_RESULTS[result]
    )
    answer = client.send("POST", "/operator/actions/resolve", order, ResolveOrder)
    if as_json:
        print_json(answer)
    else:
        click.echo(f"{service} {action}: {result}.")


@click.command()
@click.argument("endpoint")
@click.option("--undo", is_flag=True, help="Let it take work again.")
@author_option
@needs_daemon
@reports_errors
def drain(
    client: OperatorClient, endpoint: str, undo: bool, author: str, as_json: bool
) -> None:
    """Give an endpoint no new work; what runs on it is finished."""
    path = f"/operator/endpoints/{quote(endpoint, safe='')}/drain"
    order = DrainOrder(author=author, undo=undo)
    version = client.send("POST", path, order, VersionView)
    print_version(version, as_json)


@click.command()
@needs_daemon
@reports_errors
def suspects(client: OperatorClient, as_json: bool) -> None:
    """Show the digests of requests that crashed endpoints or are refused."""
    views = client.get("/operator/quarantine", list[SuspectView])
    if as_json:
        print_json(views)
        return
    print_table(
        f"{len(views)} request digests",
        ["digest", "crashes", "refused", "by an operator"],
        [(view.digest, view.crashes, view.refused, view.by_operator) for view in views],
    )


@click.command()
@click.argument("digest")
@author_option
@needs_daemon
@reports_errors
def quarantine(client: OperatorClient, digest: str, author: str, as_json: bool) -> None:
    """Refuse a request by its digest, in the whole deployment."""
    _order_quarantine(client, "POST", digest, author, as_json)


@click.command()
@click.argument("digest")
@author_option
@needs_daemon
@reports_errors
def release(client: OperatorClient, digest: str, author: str, as_json: bool) -> None:
    """Let a quarantined request run again, and forget its crashes."""
    _order_quarantine(client, "DELETE", digest, author, as_json)


def _order_quarantine(
    client: OperatorClient, method: str, digest: str, author: str, as_json: bool
) -> None:
    path = f"/operator/quarantine/{quote(digest, safe='')}"
    version = client.send(method, path, AuthoredOrder(author=author), VersionView)
    print_version(version, as_json)


def _find_program(client: OperatorClient, program: str) -> dict[str, Any]:
    path = f"/operator/programs/{quote(program, safe='~')}"
    try:
        return client.get(path, dict[str, Any])
    except OrderRefused as error:
        for address in error.view.ask:
            home = OperatorClient(f"http://{address}", client.key)
            with contextlib.suppress(DaemonUnreachable):
                return home.get(path, dict[str, Any])
        raise
