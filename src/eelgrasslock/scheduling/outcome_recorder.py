"""Learns from calls that are over."""

from loguru import logger

from eelgrasslock.configuration.settings import ServiceKind
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.domain_breaker import DomainBreaker
from eelgrasslock.scheduling.endpoint_state import EndpointState, RunningCall
from eelgrasslock.scheduling.endpoint_table import EndpointTable
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.placement import expected_seconds
from eelgrasslock.scheduling.prefix_index import PrefixIndex
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import ProgramTable

log = logger.bind(part="scheduler")


class OutcomeRecorder:
    """Takes in how calls ended: speed, cache contents, health, poison.

    Parameters
    ----------
    endpoint_table : EndpointTable
        The endpoints.
    prefix_index : PrefixIndex
        Corrected by what engines report for a call.
    programs : ProgramTable
        Credited with the service that they got.
    quarantine : Quarantine
        Told of crashes.
    decisions : Decisions
        Which decisions are on.
    domain_breaker : DomainBreaker
        Told which domains' endpoints answer.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        prefix_index: PrefixIndex,
        programs: ProgramTable,
        quarantine: Quarantine,
        features: FeatureFlags,
        domain_breaker: DomainBreaker,
    ) -> None:
        self.domain_breaker = domain_breaker
        self.endpoint_table = endpoint_table
        self.prefix_index = prefix_index
        self.programs = programs
        self.quarantine = quarantine
        self.features = features

    def record_success(
        self, state: EndpointState, running: RunningCall, usage: Usage, now: float
    ) -> None:
        """Take in a call that ran to its end."""
        call = running.call
        seconds = now - running.started_at
        state.breaker.record_success(call.id)
        self.domain_breaker.record_success(state.settings.domain)
        state.backoff_until = min(state.backoff_until, now)
        expected = 0.0
        if state.kind is ServiceKind.ENGINE:
            expected = expected_seconds(state.settings, running, usage)
            self.prefix_index.record_prefix(state.name, running.keys)
        state.record_run_time(seconds, expected)
        for pool in self.endpoint_table.pools_by_endpoint.get(state.name, ()):
            pool.record_run_time(seconds)
        program = self.programs.get_or_create(call.program, now)
        program.record_call(seconds, usage.completion_tokens)
        self.quarantine.record_success(call.digest)

    def record_failure(
        self,
        state: EndpointState,
        running: RunningCall,
        outcome: CallOutcome,
        retry_after: float | None,
        now: float,
    ) -> None:
        """Take in a call that its endpoint failed.

        An endpoint that refuses a call answers, so that a refusal does not count
        against its breaker: the request may be at fault.
        """
        if outcome is CallOutcome.REFUSED:
            state.breaker.record_inconclusive(running.call.id)
            if retry_after is not None:
                state.backoff_until = now + retry_after
            return
        if not self.features.breakers:
            return
        if outcome in (CallOutcome.NOT_SENT, CallOutcome.SILENT):
            self.domain_breaker.record_failure(state.settings.domain, state.name, now)
        crashed = outcome is CallOutcome.CRASHED
        was_allowed = state.breaker.allows(now)
        state.breaker.record_failure(running.call.id, now, crashed)
        if was_allowed and not state.breaker.allows(now):
            log.info("Leave out {} after {}.", state.name, outcome.value)

    def record_crash(self, state: EndpointState, call_id: str, now: float) -> None:
        """Take in a crash, once for all calls that were in flight there."""
        self.prefix_index.clear_endpoint(state.name)
        if state.running[call_id].crash_counted:
            return
        for running in state.running.values():
            running.crash_counted = True
        digests = [running.call.digest for running in state.running.values()]
        self.quarantine.record_crash(digests, now)
        log.warning("{} crashed under {} calls.", state.name, len(digests))
