"""The scheduler: chooses which waiting call starts next, and on which endpoint."""

import random

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.admission import AdmissionControl, ExpiredCall
from eelgrasslock.scheduling.call_expiry import CallExpiry
from eelgrasslock.scheduling.call_starter import CallStarter
from eelgrasslock.scheduling.calls import (
    Assignment,
    CacheEvent,
    Call,
    CallOutcome,
    LoadReport,
    PeerLoad,
)
from eelgrasslock.scheduling.circuit_breaker import CircuitBreaker
from eelgrasslock.scheduling.domain_breaker import DomainBreaker
from eelgrasslock.scheduling.endpoint_state import EndpointState, EndpointView
from eelgrasslock.scheduling.endpoint_table import EndpointTable
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.limited_calls import LimitedCalls
from eelgrasslock.scheduling.lost_calls import LostCalls
from eelgrasslock.scheduling.outcome_recorder import OutcomeRecorder
from eelgrasslock.scheduling.prefix_index import PrefixIndex, chunk_keys
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import (
    ProgramTable,
    Ranking,
    WaitingCall,
    delayed,
)
from eelgrasslock.scheduling.retry_budget import RetryBudgets
from eelgrasslock.scheduling.slot_allocator import SlotAllocator

ALL_FEATURES = FeatureFlags()
_NO_USAGE = Usage()
_REPORT_DECAY_FACTOR = 0.93


class Scheduler:
    """Queues calls, orders them and assigns them to endpoints; does no I/O.

    Parameters
    ----------
    clock : Clock
        Source of the time.
    rng : random.Random
        The only source of randomness.
    configuration : Configuration
        The configuration in force.
    domain : str
        This daemon's failure domain.
    features : FeatureFlags
        The scheduling features that are on.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        configuration: Configuration,
        domain: str,
        features: FeatureFlags = ALL_FEATURES,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.domain = domain
        self.features = features
        self.prefix_index = PrefixIndex()
        self.slots = SlotAllocator(rng)
        self.quarantine = Quarantine(clock.monotonic)
        self.programs = ProgramTable()
        self.ranking = Ranking()
        self.endpoint_table = EndpointTable(self.prefix_index, rng)
        self.retry_budgets = RetryBudgets(0.0, 0, rng)
        self.domain_breaker = DomainBreaker(domain)
        lost_calls = LostCalls()
        self.starter = CallStarter(
            self.prefix_index,
            self.slots,
            self.programs,
            self.quarantine,
            lost_calls,
            rng,
            features,
            self.domain_breaker,
        )
        self.outcome_recorder = OutcomeRecorder(
            self.endpoint_table,
            self.prefix_index,
            self.programs,
            self.quarantine,
            lost_calls,
            features,
            self.domain_breaker,
        )
        self.admission = AdmissionControl(
            self.endpoint_table,
            self.slots,
            self.quarantine,
            configuration.limits,
            features,
        )
        self.limited_calls = LimitedCalls(self.endpoint_table, self.programs, clock)
        self.waiting: dict[str, WaitingCall] = {}
        self.has_new_endpoints = False
        self.endpoint_by_call: dict[str, str] = {}
        self.expiry = CallExpiry(self.admission, self.quarantine)
        self.configure(configuration)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.configuration = configuration
        self.endpoint_table.configure(configuration, self.clock.monotonic())
        self.has_new_endpoints = True
        self.starter.placement.weights = configuration.weights
        self.starter.placement.domain = self.domain
        self.admission.limits = configuration.limits
        self.retry_budgets.ratio = configuration.limits.retry_ratio
        self.retry_budgets.retries_per_call = configuration.limits.retries_per_call
        self.quarantine.configured_digests = frozenset(configuration.quarantined)

    # --- calls ------------------------------------------------------------

    def submit(self, call: Call) -> None:
        """Queue a call, to be started by a later `assign`.

        Raises
        ------
        Refusal
            If the call is not admitted; it has not run.
        """
        now = self.clock.monotonic()
        program = self.programs.get_or_create(call.program, now)
        output_tokens = program.output_tokens
        if call.max_tokens:
            output_tokens = min(output_tokens, call.max_tokens)
        count = len(self.waiting)
        pool = self.admission.check(call, program, output_tokens, count, now)
        rank = self.ranking.by_arrival(now)
        if self.features.program_order:
            rank = self.ranking.by_program(call, program, now)
        delay = pool.fair_delay(call, program, self.slots.daemon_count, now)
        rank = delayed(rank, delay)
        keys = call.keys or chunk_keys(call.blocks)
        waiting = WaitingCall(call, keys, rank, now, output_tokens)
        waiting.is_new_program = (
            not program.calls_started and self.starter.is_new_context(keys)
        )
        self.waiting[call.id] = waiting
        pool.add(waiting)
        self.expiry.add(call, now)

    def suggest(self, call: Call) -> str:
        """Return the endpoint that would run a call now, empty if there is none."""
        pool = self.endpoint_table.pool(call)
        if pool is None:
            return ""
        return self.starter.suggest(pool, call, self.clock.monotonic())

    def withdraw(self, call_id: str) -> None:
        """Remove a waiting call, if it still waits."""
        waiting = self.waiting.pop(call_id, None)
        if waiting is None:
            return
        pool = self.endpoint_table.pool(waiting.call)
        if pool is not None:
            pool.remove(waiting)

    def assign(self) -> list[Assignment]:
        """Return the calls that start now, and count them as in flight."""
        now = self.clock.monotonic()
        wall_time = self.clock.now()
        started: list[Assignment] = []
        for pool in self.endpoint_table.pools.values():
            if pool.total_waiting:
                started += self.starter.start_waiting(pool, now, wall_time)
        for assignment in started:
            call = assignment.call
            del self.waiting[call.id]
            self.endpoint_by_call[call.id] = assignment.endpoint
            if not call.excluded:
                self.retry_budgets.record_first_attempt(
                    call.program, assignment.endpoint
                )
        return started

    def expire(self) -> list[ExpiredCall]:
        """Remove and return the waiting calls that expired or were quarantined."""
        expired = self.expiry.take_expired(self.waiting, self.clock.monotonic())
        if self.has_new_endpoints:
            self.has_new_endpoints = False
            expired += self.admission.without_version(self.waiting.values())
        for one in expired:
            self.withdraw(one.call.id)
        return expired

    def progress(self, call_id: str, completion_tokens: int) -> None:
        """Record how many tokens a call's answer has so far."""
        state = self._state_of(call_id)
        if state is not None and completion_tokens > 0:
            state.mark_decoding(state.running[call_id])

    def finish(
        self,
        call_id: str,
        outcome: CallOutcome,
        usage: Usage = _NO_USAGE,
        retry_after: float | None = None,
    ) -> None:
        """Record that a call is no longer in flight.

        Parameters
        ----------
        call_id : str
            Id of the call.
        outcome : CallOutcome
            How it ended.
        usage : Usage
            Token counts that the engine reported, if any.
        retry_after : float or None
            Seconds for which the endpoint asked to receive no calls.
        """
        state = self._state_of(call_id)
        if state is None:
            return
        now = self.clock.monotonic()
        if outcome is CallOutcome.CRASHED:
            self.outcome_recorder.record_crash(state, call_id, now)
        running = state.finish(call_id, self.clock.now())
        self.slots.release(state)
        del self.endpoint_by_call[call_id]
        self.starter.copies.record_finished(running.call)
        if outcome is CallOutcome.FAILED:
            self.outcome_recorder.record_error(state, running, usage, now)
        elif outcome is CallOutcome.DONE:
            self.outcome_recorder.record_success(state, running, usage, now)
        elif outcome is CallOutcome.CANCELLED:
            state.breaker.record_inconclusive(call_id)
            self.outcome_recorder.record_lost(state, running, False, now)
        else:
            self.outcome_recorder.record_failure(
                state, running, outcome, retry_after, now
            )
        self.endpoint_table.mark_changed(state.name)

    def retry_delay(self, call: Call, endpoint: str, attempt: int) -> float | None:
        """Return the delay before retry `attempt` in seconds, None for no retry."""
        if self.quarantine.refuses(call.digests):
            return None
        return self.retry_budgets.delay(call.program, endpoint, attempt)

    def end_program(self, program: str) -> None:
        """Drop the state of an ended program."""
        self.programs.forget(program)
        self.retry_budgets.forget_program(program)
        self.starter.live_contexts.remove(program)

    # --- reports of endpoints and peers -----------------------------------

    def observe_load(self, endpoint: str, report: LoadReport) -> None:
        """Apply a load report of an endpoint."""
        now = self.clock.monotonic()
        self.endpoint_table.apply_load_report(endpoint, report, now)

    def decay_reported_loads(self) -> None:
        """Decay the load of other daemons that endpoints reported.

        An endpoint that receives no calls sends no new reports, so its last one
        would otherwise stay in effect.
        """
        for state in self.endpoint_table.states.values():
            if state.reported_others_in_flight:
                state.reported_others_in_flight *= _REPORT_DECAY_FACTOR
                self.endpoint_table.mark_changed(state.name)

    def observe_cache(self, endpoint: str, events: list[CacheEvent]) -> None:
        """Apply cache events of an engine."""
        for event in events:
            self.prefix_index.apply_event(endpoint, event)

    def reset_endpoint(self, endpoint: str) -> None:
        """Reset an endpoint that restarted: its cache is empty, its breaker closed."""
        self.prefix_index.clear_endpoint(endpoint)
        state = self.endpoint_table.states.get(endpoint)
        if state is not None:
            state.restart(CircuitBreaker(self.rng), self.clock.monotonic())
            self.endpoint_table.mark_changed(endpoint)

    def close_breakers(self) -> None:
        """Close all breakers: the daemon's own links had failed, not the endpoints."""
        self.domain_breaker.states.clear()
        self.endpoint_table.close_breakers()

    def observe_peer(self, load: PeerLoad) -> None:
        """Apply a load report of a peer."""
        self.slots.update_peer(load.incarnation, load.waiting)
        self.quarantine.update_peer(load.incarnation, load.suspect_digests)
        self.endpoint_table.update_peer(load, self.clock.now())

    def forget_peer(self, incarnation: str) -> None:
        """Remove a departed peer."""
        self.slots.forget_peer(incarnation)
        self.quarantine.remove_peer(incarnation)
        self.endpoint_table.forget_peer(incarnation, self.clock.now())

    def peer_load(self) -> PeerLoad:
        """Return this daemon's load report for peers, without the incarnation."""
        return PeerLoad(
            incarnation="",
            in_flight=self.endpoint_table.in_flight(),
            waiting=len(self.waiting),
            suspect_digests=self.quarantine.suspects_to_report(self.clock.monotonic()),
            open_breakers=self.endpoint_table.open_breakers(),
        )

    def mark_leaving(self, endpoint: str, leaving: bool, source: str) -> None:
        """Record whether a source reports that an endpoint is leaving."""
        self.endpoint_table.mark_leaving(endpoint, leaving, source)

    def quarantine_digest(self, digest: str) -> None:
        """Refuse a request digest at an operator's request."""
        self.quarantine.operator_digests.add(digest)

    def release_digest(self, digest: str) -> None:
        """Clear a request digest at an operator's request, so that it is served."""
        self.quarantine.release(digest)

    def endpoints(self) -> list[EndpointView]:
        """Return the states of all endpoints as shown to operators."""
        now = self.clock.monotonic()
        return [state.view(now) for state in self.endpoint_table.states.values()]

    def next_wake(self) -> float | None:
        """Return the monotonic time at which `assign` or `expire` must run again."""
        if not self.waiting:
            return None
        pools = self.endpoint_table.pools.values()
        times = [pool.review_at for pool in pools if pool.total_waiting]
        times.append(self.expiry.next_at)
        return min(times)

    # --- helpers ----------------------------------------------------------

    def _state_of(self, call_id: str) -> EndpointState | None:
        return self.endpoint_table.find(self.endpoint_by_call.get(call_id, ""))
