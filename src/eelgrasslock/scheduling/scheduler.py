"""Decides which waiting call starts next, and on which endpoint."""

import heapq
import random

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.exceptions import Ran
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.admission import Admission, Expired, quarantined
from eelgrasslock.scheduling.breaker import Breaker
from eelgrasslock.scheduling.cache_estimate import CacheEstimate, chunk_keys
from eelgrasslock.scheduling.calls import (
    Assignment,
    CacheEvent,
    Call,
    CallEnd,
    LoadReport,
    PeerLoad,
)
from eelgrasslock.scheduling.decisions import Decisions
from eelgrasslock.scheduling.domain_watch import DomainWatch
from eelgrasslock.scheduling.endpoint_state import EndpointState, EndpointView
from eelgrasslock.scheduling.fleet import Fleet
from eelgrasslock.scheduling.outcomes import Outcomes
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import (
    ProgramService,
    ProgramTable,
    Rank,
    Ranking,
    WaitingCall,
)
from eelgrasslock.scheduling.retry_budget import RetryBudgets
from eelgrasslock.scheduling.slots import Slots
from eelgrasslock.scheduling.starter import Starter

ALL_ON = Decisions()
_NO_USAGE = Usage()
_FADING = 0.93


class Scheduler:
    """Holds calls back, orders them, and gives them to endpoints; does no I/O.

    Parameters
    ----------
    clock : Clock
        The time.
    rng : random.Random
        The only source of chance.
    configuration : Configuration
        What is in force.
    domain : str
        This daemon's failure domain.
    decisions : Decisions
        Switches for measurements.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        configuration: Configuration,
        domain: str,
        decisions: Decisions = ALL_ON,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.domain = domain
        self.decisions = decisions
        self.cache = CacheEstimate()
        self.slots = Slots(rng)
        self.suspects = Quarantine()
        self.programs = ProgramTable()
        self.ranking = Ranking()
        self.fleet = Fleet(self.cache, rng)
        self.budgets = RetryBudgets(0.0, 0, rng)
        self.domains = DomainWatch(domain)
        self.starter = Starter(
            self.cache,
            self.slots,
            self.programs,
            self.suspects,
            rng,
            decisions,
            self.domains,
        )
        self.outcomes = Outcomes(
            self.fleet,
            self.cache,
            self.programs,
            self.suspects,
            decisions,
            self.domains,
        )
        self.admission = Admission(
            self.fleet, self.slots, self.suspects, configuration.limits, decisions
        )
        self.waiting: dict[str, WaitingCall] = {}
        self.endpoint_of: dict[str, str] = {}
        self.expiry: list[tuple[float, str]] = []
        self.configure(configuration)

    def configure(self, configuration: Configuration) -> None:
        """Put another configuration in force."""
        self.configuration = configuration
        self.fleet.configure(configuration)
        self.starter.placement.weights = configuration.weights
        self.starter.placement.domain = self.domain
        self.admission.limits = configuration.limits
        self.budgets.ratio = configuration.limits.retry_ratio
        self.budgets.retries_per_call = configuration.limits.retries_per_call
        self.suspects.configured = frozenset(configuration.quarantined)

    # --- calls ------------------------------------------------------------

    def submit(self, call: Call) -> None:
        """Take a call in, to be started by a later `assign`.

        Raises
        ------
        Refusal
            If it won't be served; it has not run.
        """
        now = self.clock.monotonic()
        program = self.programs.find(call.program, now)
        output_tokens = program.output_tokens
        if call.max_tokens:
            output_tokens = min(output_tokens, call.max_tokens)
        count = len(self.waiting)
        pool = self.admission.check(call, program, output_tokens, count, now)
        rank = self._rank(call, program, now)
        keys = call.keys or chunk_keys(call.blocks)
        waiting = WaitingCall(call, keys, rank, now, output_tokens)
        waiting.is_newcomer = not program.calls and self.starter.is_new_context(keys)
        self.waiting[call.id] = waiting
        pool.add(waiting)
        expires_at = self.admission.expires_at(call, now)
        heapq.heappush(self.expiry, (expires_at, call.id))

    def suggest(self, call: Call) -> str:
        """Return the endpoint that would run a call now, empty if there is none."""
        pool = self.fleet.pool(call)
        if pool is None:
            return ""
        return self.starter.suggest(pool, call, self.clock.monotonic())

    def withdraw(self, call_id: str) -> None:
        """Drop a waiting call that nobody waits for any more."""
        self._leave_queue(call_id)

    def assign(self) -> list[Assignment]:
        """Return the calls that start now, and count them as in flight."""
        now = self.clock.monotonic()
        wall = self.clock.now()
        started: list[Assignment] = []
        for pool in self.fleet.pools.values():
            if pool.total_waiting:
                started += self.starter.start_waiting(pool, now, wall)
        for assignment in started:
            call = assignment.call
            del self.waiting[call.id]
            self.endpoint_of[call.id] = assignment.endpoint
            if not call.excluded:
                self.budgets.first_try(call.program, assignment.endpoint)
        return started

    def expire(self) -> list[Expired]:
        """Return the waiting calls that are given up on."""
        now = self.clock.monotonic()
        expired: list[Expired] = []
        while self.expiry and self.expiry[0][0] <= now:
            _, call_id = heapq.heappop(self.expiry)
            waiting = self.waiting.get(call_id)
            if waiting is not None:
                refusal = self.admission.expired(waiting.call, now)
                expired.append(Expired(waiting.call, refusal))
        for waiting in self._convicted():
            ran = Ran.UNKNOWN if waiting.call.excluded else Ran.NO
            expired.append(Expired(waiting.call, quarantined(ran)))
        for one in expired:
            self._leave_queue(one.call.id)
        return expired

    def progress(self, call_id: str, completion_tokens: int) -> None:
        """Note that a call's answer has grown to a number of tokens."""
        state = self._state_of(call_id)
        if state is not None and completion_tokens > 0:
            state.decode_begins(state.running[call_id])

    def finish(
        self,
        call_id: str,
        end: CallEnd,
        usage: Usage = _NO_USAGE,
        retry_after: float | None = None,
    ) -> None:
        """Note that a call is no longer in flight.

        Parameters
        ----------
        call_id : str
            The call.
        end : CallEnd
            How it ended.
        usage : Usage
            What the engine reported, if it did.
        retry_after : float or None
            Seconds that the endpoint asked to be left alone for.
        """
        state = self._state_of(call_id)
        if state is None:
            return
        now = self.clock.monotonic()
        if end is CallEnd.CRASHED:
            self.outcomes.crashed(state, call_id, now)
        running = state.end(call_id, self.clock.now())
        self.slots.give(state)
        del self.endpoint_of[call_id]
        self.starter.ended(running.call.digest)
        if end is CallEnd.DONE:
            self.outcomes.succeeded(state, running, usage, now)
        elif end is CallEnd.CANCELLED:
            state.breaker.abandoned(call_id)
        else:
            self.outcomes.failed(state, running, end, retry_after, now)
        self.fleet.changed(state.name)

    def retry_delay(self, call: Call, endpoint: str, attempt: int) -> float | None:
        """Return seconds to wait before retry `attempt`; None: don't retry."""
        if self.suspects.holds(call.digest):
            return None
        return self.budgets.delay(call.program, endpoint, attempt)

    def end_program(self, program: str) -> None:
        """Drop what is kept of an ended program."""
        self.programs.forget(program)
        self.budgets.forget_program(program)
        self.starter.live.end(program)

    # --- what is heard ----------------------------------------------------

    def observe_load(self, endpoint: str, report: LoadReport) -> None:
        """Take in an endpoint's load report."""
        state = self.fleet.states.get(endpoint)
        if state is not None:
            state.observe(report)
            self.fleet.changed(endpoint)

    def age_loads(self) -> None:
        """Let what endpoints said of others' calls fade.

        An endpoint that is sent nothing would never renew it.
        """
        for state in self.fleet.states.values():
            if state.reported_others:
                state.reported_others *= _FADING
                self.fleet.changed(state.name)

    def observe_cache(self, endpoint: str, events: list[CacheEvent]) -> None:
        """Take in an engine's cache events."""
        for event in events:
            self.cache.observe(endpoint, event)

    def restarted(self, endpoint: str) -> None:
        """Note that an endpoint has started anew: it holds nothing and is well."""
        self.cache.forget(endpoint)
        state = self.fleet.states.get(endpoint)
        if state is not None:
            state.breaker = Breaker(self.rng)
            self.fleet.changed(endpoint)

    def observe_peer(self, load: PeerLoad) -> None:
        """Take in a peer's word."""
        self.slots.hear_peer(load.incarnation, load.waiting)
        self.suspects.heard(load.incarnation, load.suspect_digests)
        self.fleet.hear_peer(load, self.clock.now())

    def forget_peer(self, incarnation: str) -> None:
        """Drop a peer that is gone."""
        self.slots.forget_peer(incarnation)
        self.suspects.peer_gone(incarnation)
        self.fleet.forget_peer(incarnation, self.clock.now())

    def peer_load(self) -> PeerLoad:
        """Return our own word for peers; the incarnation is left empty."""
        return PeerLoad(
            incarnation="",
            in_flight=self.fleet.in_flight(),
            waiting=len(self.waiting),
            suspect_digests=self.suspects.told(self.clock.monotonic()),
            open_breakers=self.fleet.open_breakers(),
        )

    def mark_leaving(self, endpoint: str, leaving: bool, source: str) -> None:
        """Take in whether a source says that an endpoint leaves."""
        self.fleet.mark_leaving(endpoint, leaving, source)

    def quarantine(self, digest: str) -> None:
        """Refuse a request digest on an operator's order."""
        self.suspects.ordered.add(digest)

    def release_digest(self, digest: str) -> None:
        """Serve a request digest again on an operator's order."""
        self.suspects.release(digest)

    def endpoints(self) -> list[EndpointView]:
        """Return the endpoints' states for operators."""
        now = self.clock.monotonic()
        return [state.view(now) for state in self.fleet.states.values()]

    def next_wake(self) -> float | None:
        """Return when `assign` or `expire` may have more, on the monotonic clock."""
        if not self.waiting:
            return None
        pools = self.fleet.pools.values()
        times = [pool.review_at for pool in pools if pool.total_waiting]
        times.append(self.expiry[0][0])
        return min(times)

    # --- helpers ----------------------------------------------------------

    def _rank(self, call: Call, program: ProgramService, now: float) -> Rank:
        if self.decisions.program_order:
            return self.ranking.by_program(call, program, now)
        return self.ranking.by_arrival(now)

    def _convicted(self) -> list[WaitingCall]:
        """Return the waiting calls whose digest was quarantined meanwhile."""
        if not self.suspects.news:
            return []
        self.suspects.news = False
        waiting = self.waiting.values()
        return [one for one in waiting if self.suspects.holds(one.call.digest)]

    def _leave_queue(self, call_id: str) -> None:
        waiting = self.waiting.pop(call_id, None)
        if waiting is None:
            return
        pool = self.fleet.pool(waiting.call)
        if pool is not None:
            pool.remove(waiting)

    def _state_of(self, call_id: str) -> EndpointState | None:
        return self.fleet.find(self.endpoint_of.get(call_id, ""))
