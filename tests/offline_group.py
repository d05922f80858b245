"""Programs that take turns at some daemons of the model of budgets."""

from budget_model import ModelFleet
from eelgrasslock.exceptions import Refusal
from memory_log import run_turn

STEP_SECONDS = 0.25
JOIN_STEPS = 8


async def start_fleet(domains="a", daemons_per_domain=3, is_first_start=True):
    """Return daemons that know each other."""
    fleet = ModelFleet(
        1,
        domains=domains,
        daemons_per_domain=daemons_per_domain,
        is_first_start=is_first_start,
    )
    await pass_time(fleet)
    return fleet


async def pass_time(fleet, seconds=JOIN_STEPS * STEP_SECONDS):
    for _ in range(round(seconds / STEP_SECONDS)):
        await fleet.step(STEP_SECONDS)


def return_log(fleet):
    """Let the log answer again, and all daemons try it at once."""
    fleet.is_log_down = False
    for one in fleet.daemons.values():
        one.coordinator.log.skip_peers_until = float("-inf")
        one.coordinator.log.skip_direct_until = float("-inf")


def daemons_of(fleet, domains="abc"):
    """Return the daemons that run, in the order of their names."""
    names = sorted(fleet.daemons)
    alive = [fleet.daemons[one] for one in names if fleet.daemons[one].alive]
    return [one for one in alive if one.domain in domains]


def program_kept_in(fleet, domain):
    """Return a program whose keepers are the daemons of a domain."""
    keeper_map = daemons_of(fleet)[0].keepers.keeper_map
    names = (f"p{number}" for number in range(1_000))
    return next(one for one in names if keeper_map.keepers(one).domain == domain)


async def turns_until_refused(daemons, budget, used, program="p", most=100):
    """Run turns, each at the next daemon; return the tokens that were spent."""
    spent = 0
    for turn in range(most):
        daemon = daemons[turn % len(daemons)]
        try:
            await run_turn(daemon.allowances, budget, used, program)
        except Refusal:
            return spent
        spent += used
    return spent
