"""The scheduler's configuration, from the routing configuration and endpoints."""

from collections.abc import Iterable

from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    LimitSettings,
    ModelSettings,
    ServiceKind,
    ServiceSettings,
    WeightSettings,
)
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.routing.routes import RoutingConfiguration, ServiceSpec

PREFILL_TOKENS_PER_SECOND = 150_000.0
DECODE_TOKENS_PER_SECOND = 600.0
# An endpoint queues calls beyond its slots itself. Queueing all of them in the
# daemon would leave slots idle, since the daemons exchange their load with a delay.
ENGINE_CALLS_PER_SLOT = 1.5
PLAIN_CALLS_PER_SLOT = 4.0
SMALL_FLEET_DAEMONS = 12
LOOKUP_WAIT_SECONDS = 0.4
CALLER_WAIT_SECONDS = 1.2

# Traffic between failure domains costs money, and a turn carries its whole prompt.
SCHEDULER_WEIGHTS = WeightSettings(far_engine_seconds=0.03, far_plain_seconds=0.003)
SCHEDULER_LIMITS = LimitSettings(
    lookup_wait_seconds=LOOKUP_WAIT_SECONDS,
    caller_wait_seconds=CALLER_WAIT_SECONDS,
    background_wait_seconds=CALLER_WAIT_SECONDS,
    retries_per_call=2,
    retry_ratio=0.2,
)


def build_scheduler_configuration(
    routing: RoutingConfiguration,
    endpoints: Iterable[EndpointRecord],
    domains: list[str],
    daemons: int = 1,
) -> Configuration:
    """Return the scheduler's configuration.

    Each service of model engines becomes one model of the same name. With many
    daemons, each daemon has less than one call at an endpoint at a time, and load
    reports arrive late; therefore the endpoint's own queue takes more calls.
    """
    services = routing.services
    fleet_factor = max(1.0, daemons / SMALL_FLEET_DAEMONS)
    return Configuration(
        deployment="routes",
        domains=domains,
        services={name: _service(spec) for name, spec in services.items()},
        models={
            name: ModelSettings(service=name)
            for name, spec in services.items()
            if spec.engine is not None
        },
        endpoints={
            record.id: _endpoint(record, services[record.service], fleet_factor)
            for record in endpoints
            if record.service in services
        },
        weights=SCHEDULER_WEIGHTS,
        limits=SCHEDULER_LIMITS,
    )


def _service(spec: ServiceSpec) -> ServiceSettings:
    if spec.engine is None:
        return ServiceSettings(kind=ServiceKind.PLAIN)
    return ServiceSettings(kind=ServiceKind.ENGINE)


def _endpoint(
    record: EndpointRecord, spec: ServiceSpec, fleet_factor: float
) -> EndpointSettings:
    engine = spec.engine
    cache_tokens = engine.cache_tokens if engine is not None else 0
    calls_per_slot = (
        ENGINE_CALLS_PER_SLOT if engine is not None else PLAIN_CALLS_PER_SLOT
    )
    return EndpointSettings(
        service=record.service,
        domain=record.domain,
        url=record.address,
        batch_limit=max(1, int(record.slots * calls_per_slot * fleet_factor)),
        cache_tokens=max(1, cache_tokens),
        prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
        decode_tokens_per_second=DECODE_TOKENS_PER_SECOND,
        leaving=record.leaving,
        version=record.version,
    )
