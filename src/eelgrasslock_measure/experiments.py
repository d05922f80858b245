"""Which runs make up a measurement, and running them on several cores."""

import math
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed

from attrs import asdict, evolve, frozen
from loguru import logger

from eelgrasslock_measure.bounds import ClairvoyantScheduler, make_clairvoyant
from eelgrasslock_measure.deployments import DEPLOYMENTS
from eelgrasslock_measure.outcome import Summary
from eelgrasslock_measure.policies import (
    OURS,
    SIMPLE,
    SWITCHES,
    FrontFactory,
    front_factory,
)
from eelgrasslock_measure.simulation import FaultKind, Scenario, Simulation
from eelgrasslock_measure.workload import Generator

CLAIRVOYANT = "clairvoyant"
LIGHT = 0.5
KNEE = 1.0
OVERLOAD = 2.0
HEAVY_OVERLOAD = 3.0
LAGS_SECONDS = (0.0, 2.0, 5.0)
MANY_DAEMONS = 10

# Two-sided 95 % quantiles of Student's t, by the number of samples.
_T_QUANTILES = {
    2: 12.71,
    3: 4.30,
    4: 3.18,
    5: 2.78,
    6: 2.57,
    7: 2.45,
    8: 2.36,
    9: 2.31,
    10: 2.26,
}
_NORMAL_QUANTILE = 1.96


@frozen(kw_only=True)
class Job:
    """One run.

    Attributes
    ----------
    group : str
        The table that it belongs to.
    label : str
        Its circumstances, for people.
    deployment, policy : str
        By name.
    scenario : Scenario
        The circumstances.
    seed : int
        Of programs and chance.
    """

    group: str
    label: str
    deployment: str
    policy: str
    scenario: Scenario
    seed: int


@frozen(kw_only=True)
class Estimate:
    """A mean over seeds, with its 95 % confidence interval's half width."""

    mean: float
    half_width: float


@frozen(kw_only=True)
class Cell:
    """All seeds of one policy in one setting.

    Attributes
    ----------
    group, label, deployment, policy : str
        As in `Job`.
    figures : dict of str to Estimate
        By the names of `Summary`.
    """

    group: str
    label: str
    deployment: str
    policy: str
    figures: dict[str, Estimate]


def plan_jobs(seconds: float, seeds: int, few_seeds: int) -> list[Job]:
    """Return all runs of a measurement."""
    return [
        job
        for deployment in DEPLOYMENTS
        for job in _plan_deployment(deployment, seconds, seeds, few_seeds)
    ]


def _plan_deployment(
    deployment: str, seconds: float, seeds: int, few_seeds: int
) -> Iterator[Job]:
    everyone = [*SIMPLE, OURS]
    base = Scenario(seconds=seconds)
    for label, load in (
        ("light", LIGHT),
        ("knee", KNEE),
        ("overload", OVERLOAD),
        ("heavy overload", HEAVY_OVERLOAD),
    ):
        scenario = evolve(base, load=load)
        policies = [*everyone, CLAIRVOYANT] if load <= OVERLOAD else everyone
        yield from _jobs("load", label, deployment, policies, scenario, seeds)
    for fault in (FaultKind.LOST, FaultKind.SLOW, FaultKind.LEAVING):
        label = f"one engine {fault.value}"
        scenario = evolve(base, fault=fault)
        yield from _jobs("fault", label, deployment, everyone, scenario, few_seeds)
    for lag in LAGS_SECONDS:
        label = f"reports {lag:.0f} s late"
        scenario = evolve(base, report_lag=lag)
        yield from _jobs("lag", label, deployment, everyone, scenario, few_seeds)
    for label, load in (("knee", KNEE), ("overload", OVERLOAD)):
        scenario = evolve(base, load=load, daemons=MANY_DAEMONS)
        label = f"{MANY_DAEMONS} daemons, {label}"
        yield from _jobs("daemons", label, deployment, everyone, scenario, few_seeds)
    ablations = [f"{OURS} without {switch}" for switch in SWITCHES]
    for label, scenario in (
        ("knee", base),
        ("overload", evolve(base, load=OVERLOAD)),
    ):
        policies = [OURS, *ablations]
        yield from _jobs("decision", label, deployment, policies, scenario, few_seeds)
    for switch, label, scenario in (
        ("breakers", "one engine lost", evolve(base, fault=FaultKind.LOST)),
        ("learning", "one engine slow", evolve(base, fault=FaultKind.SLOW)),
        (
            "correction",
            "10 daemons, knee, reports 5 s late",
            evolve(base, daemons=MANY_DAEMONS, report_lag=5.0),
        ),
        ("slots", "10 daemons, knee", evolve(base, daemons=MANY_DAEMONS)),
    ):
        policies = [OURS, f"{OURS} without {switch}"]
        yield from _jobs("decision", label, deployment, policies, scenario, few_seeds)


def _jobs(
    group: str,
    label: str,
    deployment: str,
    policies: list[str],
    scenario: Scenario,
    seeds: int,
) -> Iterator[Job]:
    for policy in policies:
        for seed in range(1, seeds + 1):
            yield Job(
                group=group,
                label=label,
                deployment=deployment,
                policy=policy,
                scenario=scenario,
                seed=seed,
            )


def run_job(job: Job) -> Summary:
    """Return the figures of one run."""
    logger.remove()
    deployment = DEPLOYMENTS[job.deployment]
    per_second = deployment.knee * job.scenario.load
    plans = Generator(deployment.kinds, job.seed).programs(
        per_second, job.scenario.seconds
    )
    factory: FrontFactory = ClairvoyantScheduler
    if job.policy != CLAIRVOYANT:
        factory = front_factory(job.policy)
    simulation = Simulation(deployment, job.scenario, factory, job.seed)
    if job.policy == CLAIRVOYANT:
        make_clairvoyant(simulation)
    return simulation.run(plans)


def run_jobs(jobs: list[Job], workers: int) -> Iterator[tuple[Job, Summary]]:
    """Run jobs on several cores; the same run is done only once."""
    distinct: dict[tuple[str, str, Scenario, int], list[Job]] = {}
    for job in jobs:
        key = (job.deployment, job.policy, job.scenario, job.seed)
        distinct.setdefault(key, []).append(job)
    with ProcessPoolExecutor(max_workers=workers) as pool:
        futures = {pool.submit(run_job, same[0]): same for same in distinct.values()}
        for future in as_completed(futures):
            for job in futures[future]:
                yield job, future.result()


def collect(results: Iterable[tuple[Job, Summary]]) -> list[Cell]:
    """Return the means over seeds."""
    samples: dict[tuple[str, str, str, str], list[Summary]] = {}
    for job, summary in results:
        key = (job.group, job.label, job.deployment, job.policy)
        samples.setdefault(key, []).append(summary)
    return [
        Cell(
            group=group,
            label=label,
            deployment=deployment,
            policy=policy,
            figures=_estimates(summaries),
        )
        for (group, label, deployment, policy), summaries in samples.items()
    ]


def _estimates(summaries: list[Summary]) -> dict[str, Estimate]:
    rows = [asdict(summary) for summary in summaries]
    return {name: _estimate([row[name] for row in rows]) for name in rows[0]}


def _estimate(values: list[float]) -> Estimate:
    count = len(values)
    mean = sum(values) / count
    if count < 2:
        return Estimate(mean=mean, half_width=math.nan)
    if not math.isfinite(mean):
        return Estimate(mean=mean, half_width=math.nan)
    variance = sum((value - mean) ** 2 for value in values) / (count - 1)
    quantile = _T_QUANTILES.get(count, _NORMAL_QUANTILE)
    return Estimate(mean=mean, half_width=quantile * math.sqrt(variance / count))
