"""Finds the knee of a deployment.

The knee is the load at which a system's power, its throughput over its mean
latency, is largest. It is taken for the best simple policy at each load, on
seeds that the measurement does not use, so that it owes nothing to ours.
"""

from attrs import frozen

from eelgrasslock_measure.deployments import DEPLOYMENTS
from eelgrasslock_measure.experiments import Job, collect, run_jobs
from eelgrasslock_measure.policies import SIMPLE
from eelgrasslock_measure.scenario import Scenario

SEEDS = (101, 102, 103)
STEPS = 12
STEP_PER_SECOND = 0.05
FIRST_PER_SECOND = 0.15


@frozen(kw_only=True)
class PowerPoint:
    """The best simple policy at one load.

    Attributes
    ----------
    deployment : str
        By name.
    per_second : float
        Programs that arrive a second.
    policy : str
        The policy of the largest power.
    power : float
        Finished programs a second, over the mean latency in seconds.
    """

    deployment: str
    per_second: float
    policy: str
    power: float


def measure_power(seconds: float, workers: int) -> list[PowerPoint]:
    """Return the largest power of the simple policies, for all loads."""
    rates = [FIRST_PER_SECOND + STEP_PER_SECOND * step for step in range(STEPS)]
    jobs = [
        Job(
            group="calibration",
            label=f"{rate:.2f}",
            deployment=name,
            policy=policy,
            scenario=Scenario(load=rate / deployment.knee, seconds=seconds),
            seed=seed,
        )
        for name, deployment in DEPLOYMENTS.items()
        for rate in rates
        for policy in SIMPLE
        for seed in SEEDS
    ]
    points: dict[tuple[str, str], PowerPoint] = {}
    for cell in collect(run_jobs(jobs, workers)):
        rate = float(cell.label)
        finished = rate * (1.0 - cell.figures["unfinished"].mean)
        point = PowerPoint(
            deployment=cell.deployment,
            per_second=rate,
            policy=cell.policy,
            power=finished / cell.figures["mean"].mean,
        )
        key = (cell.deployment, cell.label)
        if key not in points or point.power > points[key].power:
            points[key] = point
    return sorted(points.values(), key=lambda one: (one.deployment, one.per_second))


def knee_of(points: list[PowerPoint], deployment: str) -> PowerPoint:
    """Return the point of the largest power."""
    own = [point for point in points if point.deployment == deployment]
    return max(own, key=lambda point: point.power)
