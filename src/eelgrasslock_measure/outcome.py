"""What a run gave, and the figures that are drawn from it."""

import math

import numpy as np
from attrs import define, field, frozen

from eelgrasslock.requests.exchange import CallClass

LATE_FACTOR = 3.0
LATE_SECONDS = 60.0
LOOKUP_LATE_SECONDS = 10.0


@define(eq=False)
class ProgramOutcome:
    """What became of one program.

    Attributes
    ----------
    kind : str
        Its kind's name.
    call_class : CallClass
        Its class.
    arrival : float
        When it came.
    ideal_seconds : float
        Its latency on empty engines that hold all that they ever computed.
    end : float or None
        When it was finished, None if it never was.
    refusals : int
        How often its calls were refused.
    """

    kind: str
    call_class: CallClass
    arrival: float
    ideal_seconds: float
    end: float | None = None
    refusals: int = 0

    @property
    def latency(self) -> float:
        """Seconds from arrival to end."""
        return self.end - self.arrival if self.end is not None else float("nan")

    @property
    def is_late(self) -> bool:
        """Whether it took far longer than it had to."""
        if self.call_class is CallClass.LOOKUP:
            return self.latency > LOOKUP_LATE_SECONDS
        return self.latency > LATE_FACTOR * self.ideal_seconds + LATE_SECONDS


@define
class Recorder:
    """Counts during a run.

    Attributes
    ----------
    programs : list of ProgramOutcome
        Those that arrived in the measured part.
    wasted_tokens, prompt_tokens : int
        Prompt tokens computed again, and all.
    imported_tokens : int
        Prompt tokens moved between engines.
    refusals, retries, failures : int
        Of calls; failures end a program.
    lookups_behind_background : int
        Lookups that waited while background work went first.
    lookup_waits : list of float
        Seconds that lookups waited for an endpoint.
    estimate_errors : list of float
        The expected cached part of a prompt less the true one, in tokens.
    """

    programs: list[ProgramOutcome] = field(factory=list)
    wasted_tokens: int = 0
    prompt_tokens: int = 0
    imported_tokens: int = 0
    refusals: int = 0
    retries: int = 0
    failures: int = 0
    lookups_behind_background: int = 0
    lookup_waits: list[float] = field(factory=list)
    estimate_errors: list[float] = field(factory=list)


@frozen(kw_only=True)
class Summary:
    """The figures of one run.

    Attributes
    ----------
    p50, p95, p99, mean : float
        Latency of programs that call models, lookups left out, in seconds.
    lookup_p95 : float
        Latency of lookups, in seconds.
    wasted : float
        Prompt tokens computed again though an engine had computed them, in
        thousands, for each finished program.
    refused : float
        Refusals for each program.
    unfinished : float
        The share of programs that never finished.
    late : float
        The share of programs that took far longer than they had to.
    fairness : float
        Jain's index of the programs' slowdowns.
    finished_per_minute : float
        Programs, lookups left out, that finished while others arrived.
    utilisation : float
        The mean share of batch slots in use while programs arrived.
    behind : int
        Lookups that waited while background work went first.
    imported : float
        Prompt tokens moved between engines, in thousands, for each program.
    """

    p50: float
    p95: float
    p99: float
    mean: float
    lookup_p95: float
    wasted: float
    refused: float
    unfinished: float
    late: float
    fairness: float
    finished_per_minute: float
    utilisation: float
    behind: float
    imported: float


def summarise(recorder: Recorder, seconds: float, utilisation: float) -> Summary:
    """Return the figures of a run.

    Parameters
    ----------
    recorder : Recorder
        What was counted.
    seconds : float
        How long programs arrived.
    utilisation : float
        The mean share of batch slots in use.
    """
    programs = recorder.programs
    work = [one for one in programs if one.call_class is not CallClass.LOOKUP]
    lookups = [one for one in programs if one.call_class is CallClass.LOOKUP]
    done = [one for one in work if one.end is not None]
    latencies = np.array([one.latency for one in done] or [np.nan])
    slowdowns = np.array([one.latency / one.ideal_seconds for one in done] or [1.0])
    in_time = sum(one.end <= seconds for one in done if one.end is not None)
    return Summary(
        p50=float(np.percentile(latencies, 50)),
        p95=float(np.percentile(latencies, 95)),
        p99=float(np.percentile(latencies, 99)),
        mean=float(latencies.mean()),
        lookup_p95=_p95(lookups),
        wasted=recorder.wasted_tokens / 1_000.0 / max(1, len(done)),
        refused=recorder.refusals / max(1, len(programs)),
        unfinished=1.0 - sum(one.end is not None for one in programs) / len(programs),
        late=sum(one.is_late for one in programs) / len(programs),
        fairness=float(slowdowns.sum() ** 2 / (len(done) * (slowdowns**2).sum())),
        finished_per_minute=in_time / seconds * 60.0,
        utilisation=utilisation,
        behind=float(recorder.lookups_behind_background),
        imported=recorder.imported_tokens / 1_000.0 / max(1, len(done)),
    )


def _p95(lookups: list[ProgramOutcome]) -> float:
    """Return the latency of those that finished; infinite if none did."""
    latencies = [one.latency for one in lookups if one.end is not None]
    if not latencies:
        return math.inf if lookups else 0.0
    return float(np.percentile(latencies, 95))
