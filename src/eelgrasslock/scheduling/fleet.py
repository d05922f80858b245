"""The endpoints of a deployment, and the pools that they serve."""

import random

from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    ServiceKind,
)
from eelgrasslock.scheduling.cache_estimate import CacheEstimate
from eelgrasslock.scheduling.calls import Call, PeerLoad
from eelgrasslock.scheduling.endpoint_state import CONFIGURED, EndpointState
from eelgrasslock.scheduling.pool import Pool

PoolKey = tuple[str, str]


class Fleet:
    """Endpoints by name, and the pools by service and model.

    Parameters
    ----------
    cache : CacheEstimate
        Told of the engines' cache sizes.
    rng : random.Random
        For the breakers.
    """

    def __init__(self, cache: CacheEstimate, rng: random.Random) -> None:
        self.cache = cache
        self.rng = rng
        self.states: dict[str, EndpointState] = {}
        self.departed: dict[str, EndpointState] = {}
        self.pools: dict[PoolKey, Pool] = {}
        self.pools_of: dict[str, list[Pool]] = {}
        self.heard: dict[str, set[str]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take in a configuration; endpoints that stay keep their state."""
        states: dict[str, EndpointState] = {}
        for name, settings in configuration.endpoints.items():
            states[name] = self._state(configuration, name, settings)
        for name in self.states.keys() - states.keys():
            self.cache.forget(name)
            if self.states[name].running:
                self.departed[name] = self.states[name]
        self.states = states
        self._configure_pools(configuration)

    def pool(self, call: Call) -> Pool | None:
        """Return the pool that can run a call."""
        return self.pools.get((call.service, call.model))

    def find(self, endpoint: str) -> EndpointState | None:
        """Return an endpoint, also one that was removed with calls in flight."""
        return self.states.get(endpoint) or self.departed.get(endpoint)

    def changed(self, endpoint: str) -> None:
        """Note that an endpoint may have a free slot."""
        for pool in self.pools_of.get(endpoint, ()):
            pool.changed[endpoint] = None

    def mark_leaving(self, endpoint: str, leaving: bool, source: str) -> None:
        """Take in whether a source says that an endpoint leaves."""
        state = self.states.get(endpoint)
        if state is None:
            return
        if leaving:
            state.leaving.add(source)
        else:
            state.leaving.discard(source)
        self.changed(endpoint)

    def in_flight(self) -> dict[str, int]:
        """Return our calls in flight by endpoint, where there are any."""
        states = self.states.values()
        return {state.name: len(state.running) for state in states if state.running}

    def open_breakers(self) -> tuple[str, ...]:
        """Return the endpoints that are held to be down."""
        states = self.states.values()
        return tuple(
            state.name for state in states if state.breaker.open_until is not None
        )

    def hear_peer(self, load: PeerLoad, wall: float) -> None:
        """Take in a peer's calls in flight."""
        before = self.heard.get(load.incarnation, set())
        self.heard[load.incarnation] = set(load.in_flight)
        for endpoint in before | load.in_flight.keys():
            state = self.states.get(endpoint)
            if state is not None:
                count = load.in_flight.get(endpoint, 0)
                state.hear_peer(load.incarnation, count, wall)
                self.changed(endpoint)

    def forget_peer(self, incarnation: str, wall: float) -> None:
        """Drop a peer that is gone; its calls end with it."""
        for endpoint in self.heard.pop(incarnation, set()):
            state = self.states.get(endpoint)
            if state is not None:
                state.hear_peer(incarnation, 0, wall)
                self.changed(endpoint)

    def _state(
        self, configuration: Configuration, name: str, settings: EndpointSettings
    ) -> EndpointState:
        state = self.find(name)
        self.departed.pop(name, None)
        if state is None or state.settings.service != settings.service:
            kind = configuration.services[settings.service].kind
            state = EndpointState(name, settings, kind, self.rng)
        state.settings = settings
        if state.kind is ServiceKind.ENGINE:
            self.cache.configure(name, settings.cache_tokens)
        if settings.leaving:
            state.leaving.add(CONFIGURED)
        else:
            state.leaving.discard(CONFIGURED)
        return state

    def _configure_pools(self, configuration: Configuration) -> None:
        members: dict[PoolKey, list[EndpointState]] = {}
        for service, settings in configuration.services.items():
            if settings.kind is ServiceKind.PLAIN:
                members[service, ""] = []
        for model, model_settings in configuration.models.items():
            members[model_settings.service, model] = []
        for state in self.states.values():
            for service, model in members:
                if _can_run(state, service, model):
                    members[service, model].append(state)
        self.pools_of = {name: [] for name in self.states}
        for key, states in members.items():
            pool = self.pools.setdefault(key, Pool(*key))
            pool.set_states(states)
            for state in states:
                self.pools_of[state.name].append(pool)
                pool.changed[state.name] = None
        for key in self.pools.keys() - members.keys():
            self.pools[key].set_states([])


def _can_run(state: EndpointState, service: str, model: str) -> bool:
    if state.settings.service != service:
        return False
    return not model or not state.settings.models or model in state.settings.models
