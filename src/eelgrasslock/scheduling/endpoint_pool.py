"""The endpoints that can run one model or service, and the calls that wait."""

from attrs import define, field

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.cache_admission import CacheAdmission
from eelgrasslock.scheduling.endpoint_state import EndpointState
from eelgrasslock.scheduling.queueing import CallHeap, WaitingCall
from eelgrasslock.scheduling.slot_allocator import SlotAllocator

REVIEW_INTERVAL_SECONDS = 0.25
_RUN_TIME_SMOOTHING = 0.05
_INITIAL_ENGINE_SECONDS = 1.0
_INITIAL_PLAIN_SECONDS = 0.1


@define(eq=False)
class EndpointPool:
    """One service and model.

    A call that waits is unplaced, withheld, or parked: it has chosen an
    endpoint that has no free slot. Parked calls are looked at when that endpoint
    changes, and now and then all heads are reviewed, so that a change costs
    the same however many calls wait.

    Attributes
    ----------
    service, model : str
        What it serves.
    states : list of EndpointState
        Its endpoints.
    states_by_name : dict of str to EndpointState
        The same by name.
    lookups : CallHeap
        Lookups; they are never parked, but take the first free slot anywhere.
    new_programs : CallHeap
        First calls of programs, until the engines' caches have room for them.
    cache_admission : CacheAdmission
        Says how many newcomers there is room for.
    unplaced : CallHeap
        Other calls that wait to be placed.
    blocked : list of WaitingCall
        Calls that no endpoint may take now, until the next review.
    endpoint_queues : dict of str to CallHeap
        By endpoint, calls that wait for its slots.
    endpoint_queue_lengths : dict of str to int
        By endpoint, how many there are.
    changed_endpoints : dict of str to None
        Endpoints that may have a free slot since the last look, in order.
    waiting : dict of CallClass to int
        How many calls wait, by class.
    review_at : float
        When the parked heads are looked at again.
    slot_count : int
        The batch limits of all endpoints together.
    service_seconds : float
        A moving average of how long calls run.
    """

    service: str
    model: str
    states: list[EndpointState] = field(factory=list)
    states_by_name: dict[str, EndpointState] = field(factory=dict)
    lookups: CallHeap = field(factory=CallHeap)
    new_programs: CallHeap = field(factory=CallHeap)
    cache_admission: CacheAdmission = field(factory=CacheAdmission)
    unplaced: CallHeap = field(factory=CallHeap)
    blocked: list[WaitingCall] = field(factory=list)
    endpoint_queues: dict[str, CallHeap] = field(factory=dict)
    endpoint_queue_lengths: dict[str, int] = field(factory=dict)
    changed_endpoints: dict[str, None] = field(factory=dict)
    waiting: dict[CallClass, int] = field(
        factory=lambda: dict.fromkeys(CallClass, 0),
    )
    review_at: float = 0.0
    slot_count: int = 0
    service_seconds: float = field()

    @service_seconds.default
    def _first_seconds(self) -> float:
        return _INITIAL_ENGINE_SECONDS if self.model else _INITIAL_PLAIN_SECONDS

    def set_states(self, states: list[EndpointState]) -> None:
        """Put other endpoints in place of the former ones."""
        self.states = states
        self.states_by_name = {state.name: state for state in states}
        self.slot_count = sum(state.settings.batch_limit for state in states)
        self.retry_blocked()
        for endpoint in list(self.endpoint_queues):
            if endpoint not in self.states_by_name:
                self.requeue_all(endpoint)
                del self.endpoint_queues[endpoint]

    @property
    def total_waiting(self) -> int:
        """How many calls wait."""
        return sum(self.waiting.values())

    @property
    def opens_at(self) -> float | None:
        """When the first endpoint may take calls; None if none will."""
        times = [state.opens_at() for state in self.states]
        return min((time for time in times if time is not None), default=None)

    def add(self, waiting: WaitingCall) -> None:
        """Take in a call that waits."""
        self.waiting[waiting.call.call_class] += 1
        if waiting.call.call_class is CallClass.LOOKUP:
            self.lookups.push(waiting)
        elif waiting.is_new_program:
            self.new_programs.push(waiting)
            self.cache_admission.waiting += 1
        else:
            self.unplaced.push(waiting)

    def remove(self, waiting: WaitingCall) -> None:
        """Drop a call that waits no more; its heap forgets it later."""
        waiting.removed = True
        self.waiting[waiting.call.call_class] -= 1
        self._leave_endpoint_queue(waiting)
        if waiting.is_new_program:
            self.cache_admission.remove(waiting.call.prompt_tokens, waiting.admitted)

    def enqueue(self, waiting: WaitingCall, endpoint: str) -> None:
        """Let a call that is in no heap wait for an endpoint's slot."""
        waiting.queued_endpoint = endpoint
        self.endpoint_queues.setdefault(endpoint, CallHeap()).push(waiting)
        self.endpoint_queue_lengths[endpoint] = (
            self.endpoint_queue_lengths.get(endpoint, 0) + 1
        )

    def dequeue(self, endpoint: str) -> WaitingCall | None:
        """Take the first call off an endpoint's heap."""
        heap = self.endpoint_queues.get(endpoint)
        waiting = heap.pop() if heap is not None else None
        if waiting is not None:
            self._leave_endpoint_queue(waiting)
        return waiting

    def endpoint_queue_head(self, endpoint: str) -> WaitingCall | None:
        """Return the first call of an endpoint's heap, which stays."""
        heap = self.endpoint_queues.get(endpoint)
        return heap.head() if heap is not None else None

    def retry_blocked(self) -> None:
        """Let withheld calls be placed again."""
        for waiting in self.blocked:
            self.unplaced.push(waiting)
        self.blocked.clear()

    def requeue_all(self, endpoint: str) -> None:
        """Let the calls that wait for an endpoint be placed again."""
        while (waiting := self.dequeue(endpoint)) is not None:
            self.unplaced.push(waiting)

    def pop_changed_endpoint(self) -> str:
        """Take the first endpoint that may have a free slot."""
        endpoint = next(iter(self.changed_endpoints))
        del self.changed_endpoints[endpoint]
        return endpoint

    def record_run_time(self, seconds: float) -> None:
        """Take in how long a finished call ran."""
        self.service_seconds += _RUN_TIME_SMOOTHING * (seconds - self.service_seconds)

    def admit_new_programs(self, now: float, slots: SlotAllocator) -> None:
        """Let newcomers be placed while the engines' caches have room."""
        head = self.new_programs.head()
        if head is None:
            return
        self.cache_admission.refresh(self.states, slots, now)
        while head is not None and self.cache_admission.admit(
            head.call.prompt_tokens, now
        ):
            head.admitted = True
            self.new_programs.pop()
            self.unplaced.push(head)
            head = self.new_programs.head()

    def predicted_wait(self, call_class: CallClass, daemon_count: int) -> float:
        """Return the seconds until a new call of a class would start."""
        ahead = self.ahead_of(call_class)
        slots = max(1.0, self.slot_count / daemon_count)
        return ahead * self.service_seconds / slots

    def ahead_of(self, call_class: CallClass) -> int:
        """Return how many calls wait that go before, or with, this class."""
        return sum(
            count for other, count in self.waiting.items() if other <= call_class
        )

    def _leave_endpoint_queue(self, waiting: WaitingCall) -> None:
        if waiting.queued_endpoint:
            self.endpoint_queue_lengths[waiting.queued_endpoint] -= 1
            waiting.queued_endpoint = ""
