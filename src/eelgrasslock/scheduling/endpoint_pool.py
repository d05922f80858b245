"""The endpoints that can run one model or service, and their waiting calls."""

from collections import Counter

from attrs import define, field

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.cache_admission import CacheAdmission
from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.endpoint_state import EndpointState
from eelgrasslock.scheduling.queueing import CallHeap, ProgramUsage, WaitingCall
from eelgrasslock.scheduling.slot_allocator import SlotAllocator
from eelgrasslock.scheduling.workspace_clock import (
    LOWER_PRIORITY_SECONDS,
    WorkspaceClock,
)

REVIEW_INTERVAL_SECONDS = 0.25
_RUN_TIME_SMOOTHING = 0.05
_WAIT_SMOOTHING = 0.2
_INITIAL_ENGINE_SECONDS = 1.0
_INITIAL_PLAIN_SECONDS = 0.1


@define(eq=False)
class EndpointPool:
    """The endpoints and queues of one service and model.

    A waiting call is unplaced, blocked, or in the queue of the endpoint that was
    chosen for it and has no free slot. An endpoint's queue is processed when the
    endpoint changes. The heads of all queues are reviewed periodically. The cost
    of a change thus does not depend on the number of waiting calls.

    Attributes
    ----------
    service, model : str
        The service and model, which is empty for a plain service.
    states : list of EndpointState
        The endpoints.
    states_by_name : dict of str to EndpointState
        The endpoints by name.
    lookups : CallHeap
        Lookups, which never wait for a chosen endpoint: they take the first free
        slot of any.
    new_programs : CallHeap
        First calls of programs, until the engines' caches have space for them.
    cache_admission : CacheAdmission
        Limits new programs to the free space in the caches.
    unplaced : CallHeap
        Other calls for which no endpoint has been chosen.
    blocked : list of WaitingCall
        Calls that no endpoint accepts, until the next review.
    endpoint_queues : dict of str to CallHeap
        Calls that wait for a slot, by endpoint.
    endpoint_queue_lengths : dict of str to int
        Number of calls that wait for a slot, by endpoint.
    changed_endpoints : dict of str to None
        Endpoints that may have a free slot since the last pass, in order.
    waiting : dict of CallClass to int
        Number of waiting calls by class.
    waiting_by_workspace : Counter of (CallClass, str)
        Number of waiting calls of workspaces.
    workspace_clock : WorkspaceClock
        Ranks the calls of workspaces.
    review_at : float
        Time of the next review on the monotonic clock, in seconds.
    slot_count : int
        Sum of the batch limits of all endpoints.
    start_wait_seconds : float
        Moving average of the times for which calls waited before they started.
    service_seconds : float
        Moving average of the run times of calls.
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
    waiting_by_workspace: Counter[tuple[CallClass, str]] = field(factory=Counter)
    workspace_clock: WorkspaceClock = field(factory=WorkspaceClock)
    review_at: float = 0.0
    slot_count: int = 0
    start_wait_seconds: float = 0.0
    service_seconds: float = field()

    @service_seconds.default
    def _initial_service_seconds(self) -> float:
        return _INITIAL_ENGINE_SECONDS if self.model else _INITIAL_PLAIN_SECONDS

    def set_states(self, states: list[EndpointState]) -> None:
        """Replace the endpoints."""
        self.states = states
        self.states_by_name = {state.name: state for state in states}
        self.slot_count = sum(state.settings.batch_limit for state in states)
        self.retry_blocked()
        for endpoint in list(self.endpoint_queues):
            if endpoint not in self.states_by_name:
                self.requeue_all(endpoint)
                del self.endpoint_queues[endpoint]

    def end_ejections(self, now: float) -> bool:
        """Let ejected endpoints take calls again; return whether there were any."""
        ended = False
        for state in self.states:
            if state.capacity is not None and state.capacity.is_ejected(now):
                state.capacity.service.outliers.end_ejection(state.name, now)
                ended = True
        return ended

    @property
    def total_waiting(self) -> int:
        """Number of waiting calls."""
        return sum(self.waiting.values())

    @property
    def opens_at(self) -> float | None:
        """Earliest time at which an endpoint accepts calls; None if none will."""
        times = [state.opens_at() for state in self.states]
        return min((time for time in times if time is not None), default=None)

    def add(self, waiting: WaitingCall) -> None:
        """Add a waiting call."""
        call = waiting.call
        self.waiting[call.call_class] += 1
        if call.workspace:
            self.waiting_by_workspace[call.call_class, call.workspace] += 1
        if call.call_class is CallClass.LOOKUP:
            self.lookups.push(waiting)
        elif waiting.is_new_program:
            self.new_programs.push(waiting)
            self.cache_admission.waiting += 1
        else:
            self.unplaced.push(waiting)

    def remove(self, waiting: WaitingCall) -> None:
        """Remove a waiting call; its heap drops it when it reaches the top."""
        waiting.removed = True
        call = waiting.call
        self.waiting[call.call_class] -= 1
        if call.workspace:
            self._count_left(call.call_class, call.workspace)
        self._leave_endpoint_queue(waiting)
        if waiting.is_new_program:
            self.cache_admission.remove(waiting.call.prompt_tokens, waiting.admitted)

    def enqueue(self, waiting: WaitingCall, endpoint: str) -> None:
        """Add a call that is in no heap to the queue of an endpoint."""
        waiting.queued_endpoint = endpoint
        self.endpoint_queues.setdefault(endpoint, CallHeap()).push(waiting)
        self.endpoint_queue_lengths[endpoint] = (
            self.endpoint_queue_lengths.get(endpoint, 0) + 1
        )

    def dequeue(self, endpoint: str) -> WaitingCall | None:
        """Remove and return the first call of an endpoint's queue."""
        heap = self.endpoint_queues.get(endpoint)
        waiting = heap.pop() if heap is not None else None
        if waiting is not None:
            self._leave_endpoint_queue(waiting)
        return waiting

    def endpoint_queue_head(self, endpoint: str) -> WaitingCall | None:
        """Return the first call of an endpoint's queue without removing it."""
        heap = self.endpoint_queues.get(endpoint)
        return heap.head() if heap is not None else None

    def retry_blocked(self) -> None:
        """Make blocked calls unplaced again."""
        for waiting in self.blocked:
            self.unplaced.push(waiting)
        self.blocked.clear()

    def requeue_all(self, endpoint: str) -> None:
        """Make the calls of an endpoint's queue unplaced again."""
        while (waiting := self.dequeue(endpoint)) is not None:
            self.unplaced.push(waiting)

    def pop_changed_endpoint(self) -> str:
        """Remove and return the first endpoint that may have a free slot."""
        endpoint = next(iter(self.changed_endpoints))
        del self.changed_endpoints[endpoint]
        return endpoint

    def record_run_time(self, seconds: float) -> None:
        """Update the average run time with that of a finished call."""
        self.service_seconds += _RUN_TIME_SMOOTHING * (seconds - self.service_seconds)

    def record_start_wait(self, seconds: float) -> None:
        """Update the average wait with that of a call that starts."""
        self.start_wait_seconds += _WAIT_SMOOTHING * (seconds - self.start_wait_seconds)

    @property
    def has_limits(self) -> bool:
        """Whether an endpoint has named a limit."""
        return any(state.tokens is not None for state in self.states)

    def limited_wait_ratio(self) -> float:
        """Return the calls that wait for each that runs, 0.0 without any limit.

        Endpoints with a limit run few calls, so that the calls that their limits
        keep waiting are not seen in what endpoints report of their load.
        """
        if not self.has_limits:
            return 0.0
        return self.start_wait_seconds / self.service_seconds

    def admit_new_programs(self, now: float, slots: SlotAllocator) -> None:
        """Make new programs unplaced while the engines' caches have space."""
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

    def fair_delay(
        self, call: Call, program: ProgramUsage, daemon_count: int, now: float
    ) -> float:
        """Return the seconds by which a workspace's call is ranked later.

        A program under way does not wait for its workspace's share, but counts.
        """
        if not call.workspace:
            return 0.0
        slots = max(1.0, self.slot_count / daemon_count)
        waiting = {name for _, name in self.waiting_by_workspace}
        has_waiting = call.workspace in waiting
        seconds = self.service_seconds * len(waiting | {call.workspace}) / slots
        lag = self.workspace_clock.lag(call.workspace, seconds, has_waiting, now)
        delay = 0.0 if program.calls_started else lag
        return delay + LOWER_PRIORITY_SECONDS * call.has_lower_priority

    def predicted_wait(
        self, call_class: CallClass, daemon_count: int, workspace: str = ""
    ) -> float:
        """Return the predicted seconds until a new call starts."""
        ahead = self.ahead_of(call_class)
        if workspace:
            ahead = self.ahead_of_workspace(call_class, workspace)
        slots = max(1.0, self.slot_count / daemon_count)
        return ahead * self.service_seconds / slots

    def ahead_of(self, call_class: CallClass) -> int:
        """Return the number of waiting calls of this class and more urgent ones."""
        return sum(
            count for other, count in self.waiting.items() if other <= call_class
        )

    def ahead_of_workspace(self, call_class: CallClass, workspace: str) -> int:
        """Return the number of waiting calls that go before a workspace's next one.

        Of each workspace these are no more than its own.
        """
        counts: Counter[str] = Counter()
        for (other, name), count in self.waiting_by_workspace.items():
            if other <= call_class:
                counts[name] += count
        own = counts[workspace] + 1
        others = self.ahead_of(call_class) - counts.total()
        return (
            others
            + counts[workspace]
            + sum(
                min(own, count) for name, count in counts.items() if name != workspace
            )
        )

    def _count_left(self, call_class: CallClass, workspace: str) -> None:
        key = (call_class, workspace)
        self.waiting_by_workspace[key] -= 1
        if not self.waiting_by_workspace[key]:
            del self.waiting_by_workspace[key]

    def _leave_endpoint_queue(self, waiting: WaitingCall) -> None:
        if waiting.queued_endpoint:
            self.endpoint_queue_lengths[waiting.queued_endpoint] -= 1
            waiting.queued_endpoint = ""
