"""What a clairvoyant would reach on the same programs.

It is the scheduler with what nobody can have: one prefix cache without bound
that all engines share, so that nothing is ever computed twice, and the length
of each answer before it is given.
"""

import random

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.scheduling.calls import Call
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.prefix_index import CHUNK_TOKENS
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock_measure.prefix_cache import PrefixCache
from eelgrasslock_measure.simulation import Simulation

_UNBOUNDED_TOKENS = 1 << 50


class ClairvoyantScheduler(Scheduler):
    """A scheduler that is told the length of each answer as the call's limit.

    Parameters
    ----------
    clock, rng, configuration, domain
        As for `Scheduler`.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        configuration: Configuration,
        domain: str,
    ) -> None:
        features = FeatureFlags(cache=False, memory=False, migration=False)
        super().__init__(clock, rng, configuration, domain, features)

    def submit(self, call: Call) -> None:
        """Take a call in."""
        program = self.programs.get_or_create(call.program, self.clock.monotonic())
        program.output_tokens = float(call.max_tokens)
        super().submit(call)


class _SharedCache(PrefixCache):
    """A cache that never forgets."""

    def release(self, program: str) -> None:
        """Keep everything."""


def make_clairvoyant(simulation: Simulation) -> None:
    """Give a run one shared, unbounded prefix cache and known answers."""
    shared = _SharedCache(_UNBOUNDED_TOKENS, CHUNK_TOKENS)
    for engine in simulation.engines.values():
        engine.cache = shared
        engine.model.cache = shared
    simulation.answers_known = True
