"""The endpoints of a deployment, and the pools that they form."""

import random
from collections.abc import Iterator

from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    ServiceKind,
)
from eelgrasslock.scheduling.calls import Call, LoadReport, PeerLoad
from eelgrasslock.scheduling.circuit_breaker import CircuitBreaker
from eelgrasslock.scheduling.endpoint_capacity import EndpointCapacity, ServiceCapacity
from eelgrasslock.scheduling.endpoint_pool import EndpointPool
from eelgrasslock.scheduling.endpoint_state import (
    CONFIGURATION_SOURCE,
    EndpointState,
    RunningCall,
)
from eelgrasslock.scheduling.prefix_index import PrefixIndex
from eelgrasslock.scheduling.request_tokens import (
    MIN_REQUESTS_PER_SECOND,
    RequestTokens,
)

PoolKey = tuple[str, str]


class EndpointTable:
    """Endpoints by name, and pools by service and model.

    Parameters
    ----------
    prefix_index : PrefixIndex
        Receives the sizes of the engines' caches.
    rng : random.Random
        Source of the jitter of circuit breakers.
    """

    def __init__(self, prefix_index: PrefixIndex, rng: random.Random) -> None:
        self.prefix_index = prefix_index
        self.rng = rng
        self.states: dict[str, EndpointState] = {}
        self.removed_states: dict[str, EndpointState] = {}
        self.pools: dict[PoolKey, EndpointPool] = {}
        self.pools_by_endpoint: dict[str, list[EndpointPool]] = {}
        self.limited: dict[str, None] = {}
        self.endpoints_by_peer: dict[str, set[str]] = {}
        self.learns_capacity = False
        self.capacities: dict[str, ServiceCapacity] = {}

    def configure(self, configuration: Configuration, now: float) -> None:
        """Apply a configuration; endpoints that remain keep their state."""
        states: dict[str, EndpointState] = {}
        for name, settings in configuration.endpoints.items():
            states[name] = self._get_or_create_state(configuration, name, settings, now)
        for name in self.states.keys() - states.keys():
            self.prefix_index.clear_endpoint(name)
            if self.states[name].running:
                self.removed_states[name] = self.states[name]
        self.states = states
        if self.learns_capacity:
            for service in configuration.services:
                self.learn_capacity(service)
        for service, capacity in self.capacities.items():
            capacity.outliers.retain(
                {one.name for one in states.values() if one.settings.service == service}
            )
        self._configure_pools(configuration)

    def pool(self, call: Call) -> EndpointPool | None:
        """Return the pool that can run a call."""
        return self.pools.get((call.service, call.model))

    def find(self, endpoint: str) -> EndpointState | None:
        """Return an endpoint, including one that was removed with calls in flight."""
        return self.states.get(endpoint) or self.removed_states.get(endpoint)

    def drop_removed(self) -> None:
        """Drop the removed endpoints whose last call has ended."""
        removed = self.removed_states.items()
        self.removed_states = {name: one for name, one in removed if one.running}

    def mark_changed(self, endpoint: str) -> None:
        """Mark an endpoint as one that may have a free slot."""
        for pool in self.pools_by_endpoint.get(endpoint, ()):
            pool.changed_endpoints[endpoint] = None

    def mark_leaving(self, endpoint: str, leaving: bool, source: str) -> None:
        """Record whether a source reports that an endpoint is leaving."""
        state = self.states.get(endpoint)
        if state is None:
            return
        if leaving:
            state.leaving_sources.add(source)
        else:
            state.leaving_sources.discard(source)
        self.mark_changed(endpoint)

    def set_request_limit(self, endpoint: str, per_second: float | None) -> None:
        """Let the calls of an endpoint need tokens, or none."""
        state = self.find(endpoint)
        if per_second is None or state is None:
            self.limited.pop(endpoint, None)
            if state is not None:
                state.tokens = None
        elif state.tokens is None:
            self.limited[endpoint] = None
            state.tokens = RequestTokens(1.0 / max(per_second, MIN_REQUESTS_PER_SECOND))
        self.mark_changed(endpoint)

    def apply_load_report(self, endpoint: str, report: LoadReport, now: float) -> None:
        """Apply a report; a service's first one tells the slots of all until theirs."""
        state = self.states.get(endpoint)
        if state is None:
            return
        state.apply_load_report(report)
        capacity = self.capacities.get(state.settings.service)
        if capacity is not None and not capacity.slots:
            self._assume_slots(state.settings.service, capacity, report.slots)
        state.record_capacity(report, now)
        self.mark_changed(endpoint)

    def learned_limits(self) -> list[float]:
        """Return the learned limits as shares of the endpoints' slots."""
        capacities = [state.capacity for state in self.states.values()]
        return [one.concurrency.share for one in capacities if one is not None]

    def ejected_count(self, now: float) -> int:
        """Return the number of endpoints that are left out as outliers."""
        capacities = [state.capacity for state in self.states.values()]
        return sum(one is not None and one.is_ejected(now) for one in capacities)

    def learn_capacity(self, service: str) -> None:
        """Learn from now on what the endpoints of a service take well."""
        if service in self.capacities:
            return
        capacity = self.capacities[service] = ServiceCapacity()
        for state in self.states.values():
            if state.settings.service == service:
                self._add_capacity(state, capacity)

    def open_count(self, service: str, now: float) -> int:
        """Return the number of a service's endpoints that accept calls."""
        return sum(
            state.settings.service == service and state.is_open(now)
            for state in self.states.values()
        )

    def place_again(self, endpoint: str) -> None:
        """Place the calls that wait for an endpoint again."""
        for pool in self.pools_by_endpoint.get(endpoint, ()):
            pool.requeue_all(endpoint)

    def all_running(self) -> Iterator[tuple[str, RunningCall]]:
        """Return the calls in flight with their endpoints, removed ones included."""
        for states in (self.states, self.removed_states):
            for state in states.values():
                for running in state.running.values():
                    yield state.name, running

    def in_flight(self) -> dict[str, int]:
        """Return the number of this daemon's calls in flight on each busy endpoint."""
        states = self.states.values()
        return {state.name: len(state.running) for state in states if state.running}

    def open_breakers(self) -> tuple[str, ...]:
        """Return the endpoints whose circuit breaker is not closed."""
        states = self.states.values()
        return tuple(
            state.name for state in states if state.breaker.open_until is not None
        )

    def close_breakers(self) -> None:
        """Let all endpoints take calls again whose circuit breaker is open."""
        for endpoint in self.open_breakers():
            self.states[endpoint].breaker = CircuitBreaker(self.rng)
            self.mark_changed(endpoint)
        for capacity in self.capacities.values():
            capacity.outliers.clear()

    def update_peer(self, load: PeerLoad, wall_time: float) -> None:
        """Record the calls in flight that a peer reports."""
        previous = self.endpoints_by_peer.get(load.incarnation, set())
        self.endpoints_by_peer[load.incarnation] = set(load.in_flight)
        for endpoint in previous | load.in_flight.keys():
            state = self.states.get(endpoint)
            if state is not None:
                count = load.in_flight.get(endpoint, 0)
                state.update_peer(load.incarnation, count, wall_time)
                self.mark_changed(endpoint)

    def forget_peer(self, incarnation: str, wall_time: float) -> None:
        """Remove a departed peer, whose calls have ended with it."""
        for endpoint in self.endpoints_by_peer.pop(incarnation, set()):
            state = self.states.get(endpoint)
            if state is not None:
                state.update_peer(incarnation, 0, wall_time)
                self.mark_changed(endpoint)

    def _get_or_create_state(
        self,
        configuration: Configuration,
        name: str,
        settings: EndpointSettings,
        now: float,
    ) -> EndpointState:
        state = self.find(name)
        self.removed_states.pop(name, None)
        if state is None or state.settings.service != settings.service:
            kind = configuration.services[settings.service].kind
            state = EndpointState(name, settings, kind, self.rng)
            capacity = self.capacities.get(settings.service)
            if capacity is not None:
                self._add_capacity(state, capacity).slow_start.begin(now)
        state.settings = settings
        if state.kind is ServiceKind.ENGINE:
            self.prefix_index.set_capacity(name, settings.cache_tokens)
        if settings.leaving:
            state.leaving_sources.add(CONFIGURATION_SOURCE)
        else:
            state.leaving_sources.discard(CONFIGURATION_SOURCE)
        return state

    @staticmethod
    def _add_capacity(
        state: EndpointState, capacity: ServiceCapacity
    ) -> EndpointCapacity:
        slots = capacity.slots or state.settings.batch_limit
        state.capacity = EndpointCapacity(state.name, slots, capacity)
        return state.capacity

    def _assume_slots(
        self, service: str, capacity: ServiceCapacity, slots: int
    ) -> None:
        """Let the endpoints of a service have the slots that one of them reports."""
        capacity.slots = slots
        for state in self.states.values():
            if state.settings.service == service and state.capacity is not None:
                state.capacity.concurrency.set_slots(slots)

    def _configure_pools(self, configuration: Configuration) -> None:
        states_by_pool: dict[PoolKey, list[EndpointState]] = {}
        for service, settings in configuration.services.items():
            if settings.kind is ServiceKind.PLAIN:
                states_by_pool[service, ""] = []
        for model, model_settings in configuration.models.items():
            states_by_pool[model_settings.service, model] = []
        for state in self.states.values():
            for service, model in states_by_pool:
                if _can_run(state, service, model):
                    states_by_pool[service, model].append(state)
        self.pools_by_endpoint = {name: [] for name in self.states}
        for key, states in states_by_pool.items():
            pool = self.pools.setdefault(key, EndpointPool(*key))
            pool.set_states(states)
            for state in states:
                self.pools_by_endpoint[state.name].append(pool)
                pool.changed_endpoints[state.name] = None
        for key in self.pools.keys() - states_by_pool.keys():
            self.pools[key].set_states([])


def _can_run(state: EndpointState, service: str, model: str) -> bool:
    if state.settings.service != service:
        return False
    return not model or not state.settings.models or model in state.settings.models
