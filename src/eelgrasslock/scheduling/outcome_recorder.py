"""Updates the scheduler's state with the outcomes of calls."""

from loguru import logger

from eelgrasslock.configuration.settings import ServiceKind
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.answered_calls import AnsweredCall, AnsweredCalls
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.domain_breaker import DomainBreaker
from eelgrasslock.scheduling.endpoint_state import EndpointState, RunningCall
from eelgrasslock.scheduling.endpoint_table import EndpointTable
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.lost_calls import LostCall, LostCalls
from eelgrasslock.scheduling.placement import expected_seconds
from eelgrasslock.scheduling.prefix_index import PrefixIndex
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import ProgramTable

MAX_LOGGED_DIGESTS = 50

log = logger.bind(part="scheduler")


class OutcomeRecorder:
    """Records outcomes of calls: speed, cache contents, health and crashes.

    Parameters
    ----------
    endpoint_table : EndpointTable
        The endpoints and their pools.
    prefix_index : PrefixIndex
        Receives the prefixes of finished calls.
    programs : ProgramTable
        Accumulates the service that each program has used.
    quarantine : Quarantine
        Receives crashes and successes by request digest.
    lost_calls : LostCalls
        The calls that may have crashed their endpoint, which is not known yet.
    features : FeatureFlags
        The scheduling features that are on.
    domain_breaker : DomainBreaker
        Receives successes and failures by domain.

    Attributes
    ----------
    answered_calls : AnsweredCalls
        The calls whose endpoint may have ended right after its answer.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        prefix_index: PrefixIndex,
        programs: ProgramTable,
        quarantine: Quarantine,
        lost_calls: LostCalls,
        features: FeatureFlags,
        domain_breaker: DomainBreaker,
    ) -> None:
        self.domain_breaker = domain_breaker
        self.endpoint_table = endpoint_table
        self.prefix_index = prefix_index
        self.programs = programs
        self.quarantine = quarantine
        self.features = features
        self.lost_calls = lost_calls
        self.answered_calls = AnsweredCalls()

    def record_success(
        self, state: EndpointState, running: RunningCall, usage: Usage, now: float
    ) -> None:
        """Record a call that completed."""
        call = running.call
        seconds = now - running.started_at
        self.lost_calls.record_answer(state.name)
        self._record_answer(state, call.id, now)
        state.backoff_until = min(state.backoff_until, now)
        expected = 0.0
        if state.kind is ServiceKind.ENGINE:
            expected = expected_seconds(state, running, usage)
            self.prefix_index.record_prefix(state.name, running.keys)
        if state.capacity is not None:
            expected = self._record_capacity(state, running, seconds, expected, now)
        state.record_run_time(seconds, expected)
        for pool in self.endpoint_table.pools_by_endpoint.get(state.name, ()):
            pool.record_run_time(seconds)
        program = self.programs.get_or_create(call.program, now)
        program.record_call(seconds, usage.completion_tokens)
        self._record_whole_answer(state, running, now)

    def record_error(
        self, state: EndpointState, running: RunningCall, usage: Usage, now: float
    ) -> None:
        """Record a call that an endpoint answered with an error of its own.

        Where failures are compared, its time says nothing of the endpoint's speed.
        """
        if state.capacity is None:
            self.record_success(state, running, usage, now)
            return
        self.lost_calls.record_answer(state.name)
        self._record_answer(state, running.call.id, now)
        self._record_whole_answer(state, running, now)
        self._record_outcome(state, True, now)

    def record_failure(
        self,
        state: EndpointState,
        running: RunningCall,
        outcome: CallOutcome,
        retry_after: float | None,
        now: float,
    ) -> None:
        """Record a call that failed on its endpoint.

        A refusal does not count as a failure of the endpoint, because the
        endpoint responds and the request may be at fault.
        """
        if outcome is CallOutcome.REFUSED:
            self.lost_calls.record_answer(state.name)
            self._confirm(state.name, running.started_at)
            state.breaker.record_inconclusive(running.call.id)
            if retry_after is not None:
                state.backoff_until = now + retry_after
            return
        if outcome in (CallOutcome.BROKEN, CallOutcome.SILENT):
            self.record_lost(state, running, outcome is CallOutcome.BROKEN, now)
        if not self.features.breakers:
            return
        self._record_outcome(state, True, now)
        if outcome in (CallOutcome.NOT_SENT, CallOutcome.SILENT):
            self.domain_breaker.record_failure(state.settings.domain, state.name, now)
        crashed = outcome is CallOutcome.CRASHED
        was_allowed = state.breaker.allows(now)
        state.breaker.record_failure(running.call.id, now, crashed)
        if was_allowed and not state.breaker.allows(now):
            log.info(
                "Circuit breaker of {} opened after {}.", state.name, outcome.value
            )

    def record_lost(
        self, state: EndpointState, running: RunningCall, is_broken: bool, now: float
    ) -> None:
        """Record a call that ended without a whole answer."""
        if not running.crash_counted:
            lost = LostCall(running.call.digests, now, is_broken)
            self.lost_calls.add(state.name, lost)

    def record_crash(self, state: EndpointState, call_id: str, now: float) -> None:
        """Record a crash, once for all calls that were in flight on the endpoint."""
        self.prefix_index.clear_endpoint(state.name)
        if not state.running[call_id].crash_counted:
            self.record_end(state.name, now, now)

    def record_end(
        self, endpoint: str, ended_at: float, now: float, end: str = ""
    ) -> None:
        """Record that an endpoint has ended: its calls in flight have crashed it.

        So have the calls that were lost, or answered, just before. Equal ones count
        once.

        Parameters
        ----------
        endpoint : str
            The endpoint's id.
        ended_at : float
            When it ended at the latest; later calls have met its next start.
        now : float
            The time, on the monotonic clock.
        end : str
            Names the end, alike at all daemons that see it; empty if unknown.
        """
        digests = [one.digests for one in self.lost_calls.take(endpoint, now)]
        for running in self._running(endpoint):
            if running.started_at <= ended_at and not running.crash_counted:
                running.crash_counted = True
                digests.append(running.call.digests)
        answered = self.answered_calls.take_last(endpoint, ended_at, bool(digests))
        for call in answered:
            self.quarantine.revoke_success(call.digests, call.cleared, now)
            digests.append(call.digests)
        if digests:
            names = list(dict.fromkeys(one for many in digests for one in many))
            self.quarantine.record_crash(names, now, end)
            log.bind(endpoint=endpoint, digests=names[:MAX_LOGGED_DIGESTS]).warning(
                "Endpoint {} crashed with {} calls in flight or just lost.",
                endpoint,
                len(digests),
            )

    def may_have_crashed(self, endpoint: str, now: float) -> bool:
        """Return whether calls to an endpoint are in flight or have just ended."""
        return (
            bool(self._running(endpoint))
            or self.lost_calls.has_any(endpoint, now)
            or self.answered_calls.has_any(endpoint)
        )

    def drop_past(self, now: float) -> None:
        """Drop what no end of an endpoint can be put down to any more."""
        self.lost_calls.drop_past(now)
        self.answered_calls.drop_past(now)
        self.endpoint_table.drop_removed()

    def _record_whole_answer(
        self, state: EndpointState, running: RunningCall, now: float
    ) -> None:
        """Record that a request has not crashed its endpoint, as far as is known."""
        digests = running.call.digests
        self._confirm(state.name, running.started_at)
        cleared = self.quarantine.record_success(*digests)
        if digests:
            self.answered_calls.add(state.name, AnsweredCall(digests, now, cleared))

    def _confirm(self, endpoint: str, sent_at: float) -> None:
        """Record that an endpoint lived when a call was sent that it now answered."""
        self.answered_calls.drop_before(endpoint, sent_at)
        if self.lost_calls.in_doubt:
            self.lost_calls.record_heard(endpoint, sent_at)

    def _record_answer(self, state: EndpointState, call_id: str, now: float) -> None:
        """Record that an endpoint answers; one that comes back starts slowly."""
        was_out = state.breaker.open_until is not None
        state.breaker.record_success(call_id)
        if was_out and state.breaker.open_until is None and state.capacity is not None:
            state.capacity.slow_start.begin(now)
        self.domain_breaker.record_success(state.settings.domain)

    def _record_capacity(
        self,
        state: EndpointState,
        running: RunningCall,
        seconds: float,
        expected: float,
        now: float,
    ) -> float:
        """Learn from the run time of a call, and return the one that was expected."""
        capacity = state.capacity
        if capacity is None:
            return expected
        self._record_outcome(state, False, now)
        state.slowness = state.current_slowness(now)
        state.ran_at = now
        if state.kind is ServiceKind.PLAIN:
            kind = running.call.kind
            expected = capacity.expected_plain_seconds(kind, now)
            capacity.service.record_run_time(kind, seconds)
        else:
            expected *= capacity.slowdown.factor(now)
        if expected > 0:
            capacity.concurrency.record(seconds / expected, running.batch_size)
        return expected

    def _record_outcome(self, state: EndpointState, failed: bool, now: float) -> None:
        """Compare the failures of an endpoint with those of its service."""
        if state.capacity is None:
            return
        open_count = 0
        if failed:
            service = state.settings.service
            open_count = self.endpoint_table.open_count(service, now)
        if state.capacity.record_outcome(failed, open_count, now):
            outliers = state.capacity.service.outliers
            log.warning(
                "Endpoint {} is left out for {:.1f} s: it fails more calls than the"
                " others of its service.",
                state.name,
                outliers.ejected_until(state.name) - now,
            )

    def _running(self, endpoint: str) -> list[RunningCall]:
        state = self.endpoint_table.find(endpoint)
        return [] if state is None else list(state.running.values())
