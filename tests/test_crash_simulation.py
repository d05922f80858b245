"""What telling causes from bystanders costs, in ends and in sound requests refused."""

import pytest

from crash_simulation import CrashSimulation

SEEDS = range(3)
MINUTE_STEPS = 600
ALLOWED_LATE = 3
REFUSED_SHARE = 0.01


def check(simulation):
    for target, ends in simulation.ends.items():
        late = simulation.late(target)
        assert len(late) <= ALLOWED_LATE, (target, ends)
    assert simulation.refused_share() <= REFUSED_SHARE


class TestPrices:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        ("share", "targets"), [(0.001, 1), (0.01, 1), (0.03, 5), (0.1, 1), (0.1, 20)]
    )
    def test_crashing_targets(self, seed, share, targets):
        """Up to 317 ends for one target, and 0.41 of the sound requests refused."""
        simulation = CrashSimulation(seed, share, targets)
        simulation.run(MINUTE_STEPS)
        check(simulation)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("share", [0.0, 0.03])
    @pytest.mark.parametrize("crashes_per_second", [0.5, 2.0])
    def test_engines_that_end_on_their_own(self, seed, share, crashes_per_second):
        simulation = CrashSimulation(seed, share, 5, crashes_per_second)
        simulation.run(MINUTE_STEPS)
        check(simulation)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_an_hour_of_one_crashing_target(self, seed):
        simulation = CrashSimulation(seed, 0.3)
        for quarantine in simulation.daemons:
            quarantine.stagger = simulation.rng.random()
        simulation.run(60 * MINUTE_STEPS, per_step=1)
        check(simulation)
