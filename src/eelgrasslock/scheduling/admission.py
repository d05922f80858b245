"""Refuses a call at once when it won't be served in time."""

from attrs import frozen

from eelgrasslock.configuration.settings import LimitSettings, ServiceKind
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.endpoint_pool import EndpointPool
from eelgrasslock.scheduling.endpoint_table import EndpointTable
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.quarantine import Quarantine
from eelgrasslock.scheduling.queueing import ProgramUsage
from eelgrasslock.scheduling.slot_allocator import SlotAllocator

MAX_WAITING_CALLS = 5_000
_NEW_PROGRAM_LIMIT_SHARE = 0.5
_EXPIRY_WAIT_FACTOR = 2.0
_MIN_RETRY_SECONDS = 1.0
_UNAVAILABLE_RETRY_SECONDS = 2.0


def wait_limit(limits: LimitSettings, call_class: CallClass) -> float:
    """Return the longest predicted wait of a class, in seconds."""
    if call_class is CallClass.LOOKUP:
        return limits.lookup_wait_seconds
    if call_class is CallClass.CALLER_WAITING:
        return limits.caller_wait_seconds
    return limits.background_wait_seconds


@frozen
class ExpiredCall:
    """A waiting call that is given up on.

    Attributes
    ----------
    call : Call
        The call.
    refusal : Refusal
        Its final answer.
    """

    call: Call
    refusal: Refusal


class AdmissionControl:
    """Checks calls before they may wait.

    A call is refused when the predicted wait passes its class's limit or its
    deadline, when the queue is full, when no endpoint will be open in time, or
    when its digest is quarantined. A program's first call is refused earlier
    than the others, so that programs under way, which hold engine memory, can
    end.

    Parameters
    ----------
    endpoint_table : EndpointTable
        The endpoints.
    slots : SlotAllocator
        Knows how many daemons share them.
    quarantine : Quarantine
        Knows the digests that are refused.
    limits : LimitSettings
        The wait limits by class.
    decisions : Decisions
        Which decisions are on.
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
            What its program has got so far.
        output_tokens : float
            The expected length of its answer.
        waiting : int
            How many calls wait at this daemon.
        now : float
            On the monotonic clock.

        Raises
        ------
        Refusal
            With the time after which coming back helps, if it does.
        """
        if self.quarantine.is_quarantined(call.digest):
            raise quarantined(Ran.NO)
        pool = self._open_pool(call, now)
        if self.features.admission:
            self._check_wait(call, program, pool, output_tokens, waiting, now)
        return pool

    def expires_at(self, call: Call, now: float) -> float:
        """Return when a call that waits from now on is given up."""
        expires_at = now + _EXPIRY_WAIT_FACTOR * wait_limit(
            self.limits, call.call_class
        )
        if call.deadline is not None:
            expires_at = min(expires_at, call.deadline)
        return expires_at

    def expiry_refusal(self, call: Call, now: float) -> Refusal:
        """Return the answer to a call that waited until it was given up."""
        if call.deadline is not None and call.deadline <= now:
            sentence = "The deadline passed before an endpoint was free."
            return Refusal("deadline_passed", sentence, 504, Ran.NO)
        pool = self.endpoint_table.pool(call)
        seconds = self._wait_seconds(call, pool) if pool is not None else 0.0
        return _overloaded("overloaded", "No endpoint was free in time.", seconds)

    def _open_pool(self, call: Call, now: float) -> EndpointPool:
        pool = self.endpoint_table.pool(call)
        if pool is None or not pool.states:
            raise _unavailable("No endpoint serves this.", _UNAVAILABLE_RETRY_SECONDS)
        if any(state.is_open(now) for state in pool.states):
            return pool
        opens_at = pool.opens_at
        if opens_at is None:
            raise _unavailable("All endpoints leave.", _UNAVAILABLE_RETRY_SECONDS)
        if opens_at - now > wait_limit(self.limits, call.call_class):
            raise _unavailable("All endpoints are down.", opens_at - now)
        return pool

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
        if not program.calls_started and call.call_class is not CallClass.LOOKUP:
            wait = max(wait, pool.cache_admission.predicted_wait())
        limit = wait_limit(self.limits, call.call_class)
        if not program.calls_started and call.call_class is not CallClass.LOOKUP:
            limit *= _NEW_PROGRAM_LIMIT_SHARE
        if waiting >= MAX_WAITING_CALLS:
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
        return pool.predicted_wait(call.call_class, self.slots.daemon_count)


def quarantined(ran: Ran) -> Refusal:
    """Return the answer to a request that crashes its endpoints."""
    sentence = "This request has crashed the endpoints that ran it."
    return Refusal("quarantined", sentence, 422, ran)


def _min_run_seconds(pool: EndpointPool, output_tokens: float) -> float:
    """Return the run time of an answer in an empty batch."""
    state = pool.states[0]
    if state.kind is ServiceKind.PLAIN:
        return pool.service_seconds
    return output_tokens / state.settings.decode_tokens_per_second


def _overloaded(code: str, sentence: str, seconds: float) -> Refusal:
    retry_after = max(_MIN_RETRY_SECONDS, seconds)
    return Refusal(code, sentence, 429, Ran.NO, retry_after)


def _unavailable(sentence: str, seconds: float) -> Refusal:
    return Refusal("no_endpoint", sentence, 503, Ran.NO, seconds)
