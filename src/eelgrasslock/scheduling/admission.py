"""Admission control: refuses a call at once if it would not be served in time."""

from collections.abc import Iterable

from attrs import frozen

from eelgrasslock.configuration.settings import LimitSettings, ServiceKind
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.endpoint_pool import EndpointPool
from eelgrasslock.scheduling.endpoint_state import EndpointState
from eelgrasslock.scheduling.endpoint_table import EndpointTable
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import ProgramUsage, WaitingCall
from eelgrasslock.scheduling.slot_allocator import SlotAllocator

MAX_WAITING_CALLS = 5_000
# Part of the queue that the calls of one workspace may take.
MAX_WAITING_CALLS_SHARE = 0.5
# How long a call may wait where all endpoints have reached the limits that they named.
TOKEN_WAIT_SECONDS = 1.0
NEW_PROGRAM_TOKEN_WAIT_SECONDS = 0.25
_MIN_TOKEN_RETRY_SECONDS = 0.1
_NEW_PROGRAM_LIMIT_SHARE = 0.5
_EXPIRY_WAIT_FACTOR = 2.0
_MIN_RETRY_SECONDS = 1.0
_UNAVAILABLE_RETRY_SECONDS = 2.0
# Short, as the caller does best to begin its stream anew.
VERSION_RETRY_SECONDS = 0.1


def wait_limit(limits: LimitSettings, call_class: CallClass) -> float:
    """Return the longest predicted wait that a class may have, in seconds."""
    if call_class is CallClass.LOOKUP:
        return limits.lookup_wait_seconds
    if call_class is CallClass.CALLER_WAITING:
        return limits.caller_wait_seconds
    return limits.background_wait_seconds


@frozen
class ExpiredCall:
    """A waiting call that is removed from the queue and refused.

    Attributes
    ----------
    call : Call
        The call.
    refusal : Refusal
        The error that its caller gets.
    """

    call: Call
    refusal: Refusal


class AdmissionControl:
    """Checks calls before they enter the queue.

    A call is refused if its predicted wait exceeds the limit of its class or its
    deadline, if the queue is full, if no endpoint will accept calls in time, or
    if it is quarantined. The first call of a program has a lower limit
    than later ones, so that running programs, which hold engine memory, can
    finish.

    Parameters
    ----------
    endpoint_table : EndpointTable
        The endpoints and their pools.
    slots : SlotAllocator
        Counts the daemons that share the endpoints.
    quarantine : Quarantine
        The request digests that are refused.
    limits : LimitSettings
        The wait limits by class.
    features : FeatureFlags
        The scheduling features that are on.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        slots: SlotAllocator,
        quarantine: Quarantine,
        limits: LimitSettings,
        features: FeatureFlags,
    ) -> None:
        self.endpoint_table = endpoint_table
        self.slots = slots
        self.quarantine = quarantine
        self.limits = limits
        self.features = features

    def check(
        self,
        call: Call,
        program: ProgramUsage,
        output_tokens: float,
        waiting: int,
        now: float,
    ) -> EndpointPool:
        """Return the pool in which a call may wait.

        Parameters
        ----------
        call : Call
            The call.
        program : ProgramUsage
            The resources that its program has used.
        output_tokens : float
            The expected length of its answer.
        waiting : int
            Number of calls that wait at this daemon.
        now : float
            Time on the monotonic clock, in seconds.

        Raises
        ------
        Refusal
            With the delay after which a retry may succeed, if one can.
        """
        if self.quarantine.refuses(call.digests):
            raise quarantine_refusal(Ran.NO)
        pool = self._open_pool(call, now)
        self._check_token_wait(call, program, pool, now)
        if self.features.admission:
            self._check_wait(call, program, pool, output_tokens, waiting, now)
        return pool

    def expires_at(self, call: Call, now: float) -> float:
        """Return the time at which a call that is queued now expires."""
        expires_at = now + _EXPIRY_WAIT_FACTOR * wait_limit(
            self.limits, call.call_class
        )
        pool = self.endpoint_table.pool(call)
        if pool is not None and pool.has_limits:
            expires_at = min(expires_at, now + TOKEN_WAIT_SECONDS)
        if call.deadline is not None:
            expires_at = min(expires_at, call.deadline)
        return expires_at

    def expiry_refusal(self, call: Call, now: float) -> Refusal:
        """Return the refusal of a call that has expired in the queue."""
        if call.deadline is not None and call.deadline <= now:
            sentence = "The deadline passed before an endpoint was free."
            return Refusal("deadline_passed", sentence, 504, Ran.NO)
        pool = self.endpoint_table.pool(call)
        seconds = self._wait_seconds(call, pool) if pool is not None else 0.0
        if pool is not None and pool.has_limits:
            return _limited(max(seconds, _token_wait(call, pool, now)))
        return _overloaded("overloaded", "No endpoint was free in time.", seconds)

    def without_version(self, waiting: Iterable[WaitingCall]) -> list[ExpiredCall]:
        """Return the resumed streams whose version has lost its last endpoint."""
        expired = []
        for one in waiting:
            call = one.call
            pool = self.endpoint_table.pool(call) if call.version else None
            if pool is not None and not _has_endpoint_of_version(call, pool):
                expired.append(ExpiredCall(call, _version_refusal()))
        return expired

    def _open_pool(self, call: Call, now: float) -> EndpointPool:
        pool = self.endpoint_table.pool(call)
        if pool is None or not pool.states:
            raise _unavailable("No endpoint serves this.", _UNAVAILABLE_RETRY_SECONDS)
        if call.version and not _has_endpoint_of_version(call, pool):
            raise _version_refusal()
        if any(_may_run(state, call, now) for state in pool.states):
            return pool
        if pool.end_ejections(now) and any(
            _may_run(state, call, now) for state in pool.states
        ):
            return pool
        opens_at = pool.opens_at
        if opens_at is None:
            raise _unavailable("All endpoints leave.", _UNAVAILABLE_RETRY_SECONDS)
        if opens_at - now > wait_limit(self.limits, call.call_class):
            raise _unavailable("All endpoints are down.", opens_at - now)
        return pool

    def _check_token_wait(
        self, call: Call, program: ProgramUsage, pool: EndpointPool, now: float
    ) -> None:
        """Refuse a call if all endpoints have reached their limits for too long."""
        wait = _token_wait(call, pool, now)
        is_new = _is_new(call, program)
        limit = NEW_PROGRAM_TOKEN_WAIT_SECONDS if is_new else TOKEN_WAIT_SECONDS
        if wait > limit:
            raise _limited(wait)

    def _check_wait(
        self,
        call: Call,
        program: ProgramUsage,
        pool: EndpointPool,
        output_tokens: float,
        waiting: int,
        now: float,
    ) -> None:
        wait = self._wait_seconds(call, pool)
        if _is_new(call, program):
            wait = max(wait, pool.cache_admission.predicted_wait())
        limit = wait_limit(self.limits, call.call_class)
        if _is_new(call, program):
            limit *= _NEW_PROGRAM_LIMIT_SHARE
        if waiting >= MAX_WAITING_CALLS or _fills_queue(call, pool):
            raise _overloaded("queue_full", "Too many calls wait.", wait)
        if wait > limit:
            sentence = f"The wait would be about {wait:.0f} seconds."
            raise _overloaded("overloaded", sentence, wait - limit)
        if call.deadline is None:
            return
        if now + wait + _min_run_seconds(pool, output_tokens) > call.deadline:
            sentence = "The call would end after its deadline."
            raise _overloaded("deadline_out_of_reach", sentence, wait)

    def _wait_seconds(self, call: Call, pool: EndpointPool) -> float:
        return pool.predicted_wait(
            call.call_class, self.slots.daemon_count, call.workspace
        )


def _is_new(call: Call, program: ProgramUsage) -> bool:
    """Return whether a call begins a program; a resumed stream is under way."""
    if call.call_class is CallClass.LOOKUP or call.version:
        return False
    return not program.calls_started


def _fills_queue(call: Call, pool: EndpointPool) -> bool:
    """Return whether a workspace's waiting calls take its part of the queue."""
    if not call.workspace:
        return False
    own = sum(
        count
        for (_, name), count in pool.waiting_by_workspace.items()
        if name == call.workspace
    )
    return own >= MAX_WAITING_CALLS_SHARE * MAX_WAITING_CALLS


def _token_wait(call: Call, pool: EndpointPool, now: float) -> float:
    """Return the seconds until a call would get a token, 0.0 if it needs none.

    Lookups wait at no endpoint, so that each may take the next token of any.
    """
    waits = [
        state.token_wait(_calls_ahead(call, pool, state.name), now)
        for state in pool.states
        if _may_run(state, call, now) and state.name not in call.excluded
    ]
    return min(waits, default=0.0)


def _may_run(state: EndpointState, call: Call, now: float) -> bool:
    return state.has_version(call.version) and state.is_open(now)


def _calls_ahead(call: Call, pool: EndpointPool, endpoint: str) -> int:
    if call.call_class is CallClass.LOOKUP:
        return pool.waiting[CallClass.LOOKUP] // max(1, len(pool.states))
    return pool.endpoint_queue_lengths.get(endpoint, 0)


def _has_endpoint_of_version(call: Call, pool: EndpointPool) -> bool:
    """Return whether a stream can still be resumed at an endpoint of its version."""
    return any(
        state.has_version(call.version)
        and not state.leaving_sources
        and state.name not in call.excluded
        for state in pool.states
    )


def _version_refusal() -> Refusal:
    """Return the refusal of a stream that no endpoint of its version serves."""
    sentence = "No endpoint of the version that began this stream serves it."
    return Refusal("version_gone", sentence, 503, Ran.NO, VERSION_RETRY_SECONDS)


def quarantine_refusal(ran: Ran) -> Refusal:
    """Return the refusal of a request that crashes its endpoints."""
    sentence = "This request has crashed the endpoints that ran it."
    return Refusal("quarantined", sentence, 422, ran)


def _min_run_seconds(pool: EndpointPool, output_tokens: float) -> float:
    """Return the run time of an answer in an empty batch, in seconds."""
    state = pool.states[0]
    if state.kind is ServiceKind.PLAIN:
        return pool.service_seconds
    return output_tokens / state.settings.decode_tokens_per_second


def _overloaded(code: str, sentence: str, seconds: float) -> Refusal:
    retry_after = max(_MIN_RETRY_SECONDS, seconds)
    return Refusal(code, sentence, 429, Ran.NO, retry_after)


def _limited(seconds: float) -> Refusal:
    sentence = "The endpoints have reached the limits of requests that they named."
    retry_after = max(_MIN_TOKEN_RETRY_SECONDS, seconds)
    return Refusal("limits_reached", sentence, 429, Ran.NO, retry_after)


def _unavailable(sentence: str, seconds: float) -> Refusal:
    return Refusal("no_endpoint", sentence, 503, Ran.NO, seconds)
