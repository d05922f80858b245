"""The two deployments of the brief, as measured: sizes, programs and weights."""

from attrs import evolve, frozen

from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    LimitSettings,
    ModelSettings,
    ServiceKind,
    ServiceSettings,
    WeightSettings,
)
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock_measure.workload import ProgramKind, Spread

KV_TOKENS_PER_SECOND = 16_000.0
PLAIN_SECONDS = 0.15
PLAIN_BATCH = 4


@frozen(kw_only=True)
class Deployment:
    """A deployment to measure.

    Attributes
    ----------
    name : str
        As in the last lines of a run.
    configuration : Configuration
        Its endpoints, weights and limits.
    engines, plain : str
        The names of its two services.
    model : str
        The model that programs call.
    kinds : list of ProgramKind
        What its programs look like.
    knee : float
        Programs a second at the knee (see `calibration`).
    """

    name: str
    configuration: Configuration
    engines: str
    plain: str
    model: str
    kinds: list[ProgramKind]
    knee: float


def _configuration(
    name: str,
    domains: list[str],
    engines: tuple[str, int],
    plain: tuple[str, int],
    model: str,
    weights: WeightSettings,
) -> Configuration:
    endpoints = {
        f"{engines[0]}-{number}": EndpointSettings(
            service=engines[0],
            domain=domains[number % len(domains)],
            url="",
            kv_tokens_per_second=KV_TOKENS_PER_SECOND,
        )
        for number in range(engines[1])
    } | {
        f"{plain[0]}-{number}": EndpointSettings(
            service=plain[0],
            domain=domains[number % len(domains)],
            url="",
            batch_limit=PLAIN_BATCH,
        )
        for number in range(plain[1])
    }
    return Configuration(
        deployment=name,
        domains=domains,
        services={
            engines[0]: ServiceSettings(kind=ServiceKind.ENGINE),
            plain[0]: ServiceSettings(kind=ServiceKind.PLAIN),
        },
        models={model: ModelSettings(service=engines[0], context_tokens=240_000)},
        endpoints=endpoints,
        weights=weights,
        limits=LimitSettings(),
    )


RIGA = Deployment(
    name="riga",
    configuration=_configuration(
        "riga",
        ["riga-a", "riga-b", "riga-c"],
        ("hydro-llm", 10),
        ("licence-app", 5),
        "hydro",
        WeightSettings(latency=1.0, wasted_cache=2.0),
    ),
    engines="hydro-llm",
    plain="licence-app",
    model="hydro",
    kinds=[
        ProgramKind(
            name="draft",
            share=0.70,
            first_tokens=Spread(median=6_000, sigma=0.5, most=30_000),
            children_share=0.06,
        ),
        ProgramKind(
            name="renewal",
            share=0.12,
            call_class=CallClass.BACKGROUND,
            shared_prompts=2,
            first_tokens=Spread(median=15_000, sigma=0.4, most=60_000),
            turns=Spread(median=16, sigma=0.5, most=72),
            new_tokens=Spread(median=1_500, sigma=0.7, most=12_000),
            children_share=0.03,
        ),
        ProgramKind(
            name="lookup",
            share=0.18,
            call_class=CallClass.LOOKUP,
            model_calls=False,
        ),
    ],
    knee=0.35,
)

TURKEY_WEST = Deployment(
    name="turkey-west",
    configuration=_configuration(
        "turkey-west",
        ["tr-west-a", "tr-west-b", "tr-west-c"],
        ("lm-pool", 6),
        ("desk-app", 3),
        "drafting",
        WeightSettings(latency=2.0, wasted_cache=1.0),
    ),
    engines="lm-pool",
    plain="desk-app",
    model="drafting",
    kinds=[
        ProgramKind(name="guarantee", share=0.60, children_share=0.04),
        ProgramKind(
            name="tender",
            share=0.20,
            call_class=CallClass.BACKGROUND,
            shared_prompts=2,
            first_tokens=Spread(median=12_000, sigma=0.5, most=60_000),
            turns=Spread(median=8, sigma=0.6, most=72),
            new_tokens=Spread(median=800, sigma=0.8, most=8_000),
            children_share=0.06,
        ),
        ProgramKind(
            name="lookup",
            share=0.20,
            call_class=CallClass.LOOKUP,
            shared_prompts=1,
            shared_tokens=Spread(median=600, sigma=0.0, most=600),
            first_tokens=Spread(median=120, sigma=0.4, most=400),
            turns=Spread(median=1, sigma=0.0, most=1),
            output_tokens=Spread(median=60, sigma=0.3, most=150),
        ),
    ],
    knee=0.4,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (RIGA, TURKEY_WEST)}


def without_migration(configuration: Configuration) -> Configuration:
    """Return a configuration whose engines can't move KV cache."""
    endpoints = {
        name: evolve(settings, kv_tokens_per_second=0.0)
        for name, settings in configuration.endpoints.items()
    }
    return evolve(configuration, endpoints=endpoints)
