"""The endpoints that can run one model or service, and the calls that wait."""

from attrs import define, field

from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.endpoint_state import EndpointState
from eelgrasslock.scheduling.memory_gate import MemoryGate
from eelgrasslock.scheduling.queueing import CallHeap, WaitingCall
from eelgrasslock.scheduling.slots import Slots

REVIEW_SECONDS = 0.25
_LEARNING_RATE = 0.05
_FIRST_ENGINE_SECONDS = 1.0
_FIRST_PLAIN_SECONDS = 0.1


@define(eq=False)
class Pool:
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
    members : dict of str to EndpointState
        The same by name.
    urgent : CallHeap
        Lookups; they are never parked, but take the first free slot anywhere.
    newcomers : CallHeap
        First calls of programs, until the engines' caches have room for them.
    gate : MemoryGate
        Says how many newcomers there is room for.
    unplaced : CallHeap
        Other calls that wait to be placed.
    withheld : list of WaitingCall
        Calls that no endpoint may take now, until the next review.
    parked : dict of str to CallHeap
        By endpoint, calls that wait for its slots.
    parked_counts : dict of str to int
        By endpoint, how many there are.
    changed : dict of str to None
        Endpoints that may have a free slot since the last look, in order.
    waiting : dict of CallClass to int
        How many calls wait, by class.
    review_at : float
        When the parked heads are looked at again.
    slots : int
        The batch limits of all endpoints together.
    service_seconds : float
        A moving average of how long calls run.
    """

    service: str
    model: str
    states: list[EndpointState] = field(factory=list)
    members: dict[str, EndpointState] = field(factory=dict)
    urgent: CallHeap = field(factory=CallHeap)
    newcomers: CallHeap = field(factory=CallHeap)
    gate: MemoryGate = field(factory=MemoryGate)
    unplaced: CallHeap = field(factory=CallHeap)
    withheld: list[WaitingCall] = field(factory=list)
    parked: dict[str, CallHeap] = field(factory=dict)
    parked_counts: dict[str, int] = field(factory=dict)
    changed: dict[str, None] = field(factory=dict)
    waiting: dict[CallClass, int] = field(
        factory=lambda: dict.fromkeys(CallClass, 0),
    )
    review_at: float = 0.0
    slots: int = 0
    service_seconds: float = field()

    @service_seconds.default
    def _first_seconds(self) -> float:
        return _FIRST_ENGINE_SECONDS if self.model else _FIRST_PLAIN_SECONDS

    def set_states(self, states: list[EndpointState]) -> None:
        """Put other endpoints in place of the former ones."""
        self.states = states
        self.members = {state.name: state for state in states}
        self.slots = sum(state.settings.batch_limit for state in states)
        self.offer_withheld()
        for endpoint in list(self.parked):
            if endpoint not in self.members:
                self.unpark_all(endpoint)
                del self.parked[endpoint]

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
            self.urgent.push(waiting)
        elif waiting.is_newcomer:
            self.newcomers.push(waiting)
            self.gate.waiting += 1
        else:
            self.unplaced.push(waiting)

    def remove(self, waiting: WaitingCall) -> None:
        """Drop a call that waits no more; its heap forgets it later."""
        waiting.gone = True
        self.waiting[waiting.call.call_class] -= 1
        self._unpark(waiting)
        if waiting.is_newcomer:
            self.gate.left(waiting.call.prompt_tokens, waiting.admitted)

    def park(self, waiting: WaitingCall, endpoint: str) -> None:
        """Let a call that is in no heap wait for an endpoint's slot."""
        waiting.wanted = endpoint
        self.parked.setdefault(endpoint, CallHeap()).push(waiting)
        self.parked_counts[endpoint] = self.parked_counts.get(endpoint, 0) + 1

    def pop_parked(self, endpoint: str) -> WaitingCall | None:
        """Take the first call off an endpoint's heap."""
        heap = self.parked.get(endpoint)
        waiting = heap.pop() if heap is not None else None
        if waiting is not None:
            self._unpark(waiting)
        return waiting

    def parked_head(self, endpoint: str) -> WaitingCall | None:
        """Return the first call of an endpoint's heap, which stays."""
        heap = self.parked.get(endpoint)
        return heap.head() if heap is not None else None

    def offer_withheld(self) -> None:
        """Let withheld calls be placed again."""
        for waiting in self.withheld:
            self.unplaced.push(waiting)
        self.withheld.clear()

    def unpark_all(self, endpoint: str) -> None:
        """Let the calls that wait for an endpoint be placed again."""
        while (waiting := self.pop_parked(endpoint)) is not None:
            self.unplaced.push(waiting)

    def next_changed(self) -> str:
        """Take the first endpoint that may have a free slot."""
        endpoint = next(iter(self.changed))
        del self.changed[endpoint]
        return endpoint

    def learn(self, seconds: float) -> None:
        """Take in how long a finished call ran."""
        self.service_seconds += _LEARNING_RATE * (seconds - self.service_seconds)

    def admit_newcomers(self, now: float, slots: Slots) -> None:
        """Let newcomers be placed while the engines' caches have room."""
        head = self.newcomers.head()
        if head is None:
            return
        self.gate.look(self.states, slots, now)
        while head is not None and self.gate.admit(head.call.prompt_tokens, now):
            head.admitted = True
            self.newcomers.pop()
            self.unplaced.push(head)
            head = self.newcomers.head()

    def predicted_wait(self, call_class: CallClass, daemons: int) -> float:
        """Return the seconds until a new call of a class would start."""
        ahead = self.ahead_of(call_class)
        slots = max(1.0, self.slots / daemons)
        return ahead * self.service_seconds / slots

    def ahead_of(self, call_class: CallClass) -> int:
        """Return how many calls wait that go before, or with, this class."""
        return sum(
            count for other, count in self.waiting.items() if other <= call_class
        )

    def _unpark(self, waiting: WaitingCall) -> None:
        if waiting.wanted:
            self.parked_counts[waiting.wanted] -= 1
            waiting.wanted = ""
