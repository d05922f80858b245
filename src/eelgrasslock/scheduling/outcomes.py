"""Learns from calls that are over."""

from loguru import logger

from eelgrasslock.configuration.settings import ServiceKind
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.cache_estimate import CacheEstimate
from eelgrasslock.scheduling.calls import CallEnd
from eelgrasslock.scheduling.decisions import Decisions
from eelgrasslock.scheduling.domain_watch import DomainWatch
from eelgrasslock.scheduling.endpoint_state import EndpointState, RunningCall
from eelgrasslock.scheduling.fleet import Fleet
from eelgrasslock.scheduling.placement import expected_seconds
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import ProgramTable

log = logger.bind(part="scheduler")


class Outcomes:
    """Takes in how calls ended: speed, cache contents, health, poison.

    Parameters
    ----------
    fleet : Fleet
        The endpoints.
    cache : CacheEstimate
        Corrected by what engines report for a call.
    programs : ProgramTable
        Credited with the service that they got.
    quarantine : Quarantine
        Told of crashes.
    decisions : Decisions
        Which decisions are on.
    domains : DomainWatch
        Told which domains' endpoints answer.
    """

    def __init__(
        self,
        fleet: Fleet,
        cache: CacheEstimate,
        programs: ProgramTable,
        quarantine: Quarantine,
        decisions: Decisions,
        domains: DomainWatch,
    ) -> None:
        self.domains = domains
        self.fleet = fleet
        self.cache = cache
        self.programs = programs
        self.quarantine = quarantine
        self.decisions = decisions

    def succeeded(
        self, state: EndpointState, running: RunningCall, usage: Usage, now: float
    ) -> None:
        """Take in a call that ran to its end."""
        call = running.call
        seconds = now - running.started
        state.breaker.succeeded(call.id)
        self.domains.reached(state.settings.domain)
        state.parked_until = min(state.parked_until, now)
        expected = 0.0
        if state.kind is ServiceKind.ENGINE:
            expected = expected_seconds(state.settings, running, usage)
            self.cache.store(state.name, running.keys)
        state.learn(seconds, expected)
        for pool in self.fleet.pools_of.get(state.name, ()):
            pool.learn(seconds)
        program = self.programs.find(call.program, now)
        program.learn(seconds, usage.completion_tokens)
        self.quarantine.succeeded(call.digest)

    def failed(
        self,
        state: EndpointState,
        running: RunningCall,
        end: CallEnd,
        retry_after: float | None,
        now: float,
    ) -> None:
        """Take in a call that its endpoint failed.

        An endpoint that refuses a call answers, so that a refusal does not count
        against its breaker: the request may be at fault.
        """
        if end is CallEnd.REFUSED:
            state.breaker.abandoned(running.call.id)
            if retry_after is not None:
                state.parked_until = now + retry_after
            return
        if not self.decisions.breakers:
            return
        if end in (CallEnd.NOT_SENT, CallEnd.SILENT):
            self.domains.failed(state.settings.domain, state.name, now)
        crashed = end is CallEnd.CRASHED
        was_allowed = state.breaker.allows(now)
        state.breaker.failed(running.call.id, now, crashed)
        if was_allowed and not state.breaker.allows(now):
            log.info("Leave out {} after {}.", state.name, end.value)

    def crashed(self, state: EndpointState, call_id: str, now: float) -> None:
        """Take in a crash, once for all calls that were in flight there."""
        self.cache.forget(state.name)
        if state.running[call_id].crash_counted:
            return
        for running in state.running.values():
            running.crash_counted = True
        digests = [running.call.digest for running in state.running.values()]
        self.quarantine.crashed(digests, now)
        log.warning("{} crashed under {} calls.", state.name, len(digests))
