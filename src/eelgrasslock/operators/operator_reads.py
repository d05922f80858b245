"""What operators can read of a daemon, from its controllers."""

from typing import Any

from eelgrasslock.operators.operator_views import (
    ActionView,
    EndpointStateView,
    FleetView,
    MemberView,
    ProgramView,
    SuspectView,
)


def fleet_view(application: Any) -> FleetView:
    """Return the members of the fleet."""
    membership = application.membership
    silent = membership.suspects()
    members = [
        MemberView(
            name=member.name,
            domain=member.domain,
            incarnation=member.incarnation,
            http_address=member.http_address,
            peer_address=member.peer_address,
            joined=member.time,
            silent=member.incarnation in silent,
            answering=member.incarnation == application.incarnation,
        )
        for member in membership.table.live()
    ]
    return FleetView(
        version=application.configuration.version,
        log_available=application.writer.available,
        draining=application.draining,
        members=sorted(members, key=lambda member: (member.domain, member.name)),
    )


def endpoint_views(application: Any) -> list[EndpointStateView]:
    """Return the endpoints and their state."""
    configuration = application.configuration.current
    known = configuration.endpoints if configuration else {}
    return [
        EndpointStateView(
            endpoint=view.endpoint,
            service=view.service,
            domain=view.domain,
            url=known[view.endpoint].url if view.endpoint in known else "",
            in_flight=view.in_flight,
            load=view.load,
            breaker=view.breaker,
            leaving=list(view.leaving),
            parked_seconds=view.parked_seconds,
        )
        for view in application.scheduler.endpoints()
    ]


def program_views(application: Any) -> list[ProgramView]:
    """Return the programs of this daemon's failure domain."""
    programs = application.programs.journal.programs.values()
    return [
        ProgramView(
            program=program.id,
            holder=program.holder,
            turn=program.turn,
            spent_tokens=program.spent.tokens,
            limit_tokens=program.limits.tokens,
            created=program.created,
            active=program.active,
            ended=program.ended,
            parent=program.parent,
        )
        for program in programs
    ]


def action_views(application: Any) -> list[ActionView]:
    """Return the actions of which nobody knows whether they ran."""
    return [
        ActionView(
            service=action.service,
            action=action.action,
            program=action.program,
            author=action.author,
            time=action.time,
        )
        for action in application.actions.unresolved()
    ]


def suspect_views(application: Any) -> list[SuspectView]:
    """Return the requests that crashed endpoints or are refused."""
    quarantine = application.scheduler.quarantine
    by_operator = quarantine.configured_digests | quarantine.operator_digests
    digests = quarantine.suspects() | by_operator
    views = [
        SuspectView(
            digest=digest,
            crashes=quarantine.crash_count(digest),
            refused=quarantine.is_quarantined(digest),
            by_operator=digest in by_operator,
        )
        for digest in sorted(digests)
    ]
    return [view for view in views if view.crashes or view.refused]
