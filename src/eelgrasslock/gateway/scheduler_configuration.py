"""The scheduler's view of a routing configuration and the registered endpoints."""

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
from eelgrasslock.gateway.endpoint_registry import EndpointRecord
from eelgrasslock.gateway.routes import RoutingConfiguration, ServiceSpec

PREFILL_TOKENS_PER_SECOND = 150_000.0
DECODE_TOKENS_PER_SECOND = 600.0
# An endpoint queues by itself what goes beyond its slots. Holding that back
# here costs idle slots, since daemons hear of each other late.
ENGINE_CALLS_PER_SLOT = 1.5
PLAIN_CALLS_PER_SLOT = 4.0
SMALL_FLEET_DAEMONS = 12
LOOKUP_WAIT_SECONDS = 0.4
CALLER_WAIT_SECONDS = 1.2

# Bytes between domains are paid for; a turn carries its whole prompt.
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
    """Return what the scheduler needs to know.

    Each service of model engines stands for one model of the same name. With
    many daemons, each sends an endpoint less than one call at a time and hears
    of the others late, so that more is left to the endpoint's own queue.
    """
    known = routing.services
    crowd = max(1.0, daemons / SMALL_FLEET_DAEMONS)
    return Configuration(
        deployment="routes",
        domains=domains,
        services={name: _service(spec) for name, spec in known.items()},
        models={
            name: ModelSettings(service=name)
            for name, spec in known.items()
            if spec.engine is not None
        },
        endpoints={
            record.id: _endpoint(record, known[record.service], crowd)
            for record in endpoints
            if record.service in known
        },
        weights=SCHEDULER_WEIGHTS,
        limits=SCHEDULER_LIMITS,
    )


def _service(spec: ServiceSpec) -> ServiceSettings:
    if spec.engine is None:
        return ServiceSettings(kind=ServiceKind.PLAIN)
    return ServiceSettings(kind=ServiceKind.ENGINE)


def _endpoint(
    record: EndpointRecord, spec: ServiceSpec, crowd: float
) -> EndpointSettings:
    engine = spec.engine
    cache_tokens = engine.cache_tokens if engine is not None else 0
    places = ENGINE_CALLS_PER_SLOT if engine is not None else PLAIN_CALLS_PER_SLOT
    return EndpointSettings(
        service=record.service,
        domain=record.domain,
        url=record.address,
        batch_limit=max(1, int(record.slots * places * crowd)),
        cache_tokens=max(1, cache_tokens),
        prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
        decode_tokens_per_second=DECODE_TOKENS_PER_SECOND,
        leaving=record.leaving,
    )
