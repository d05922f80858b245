"""Budgets of looping programs while daemons are replaced in outages of the log."""

import asyncio
import os

import pytest

from builds import LANDED_BEFORE, LAST_LANDED, THIS_BUILD, extract
from platform_fleet import MAX_TURN_TOKENS
from test_upgrades import fleet, require, start_daemons

__all__ = ["fleet"]

EVENTS = MAX_TURN_TOKENS // 22
BUDGET_TURNS = 2
OUTAGE_NOTICE_SECONDS = 1.6
FLEET_KNOWN_SECONDS = 2.0
# Another build to compare with, as a trial: one that is known to break the rule.
TRIAL_BUILD = os.environ.get("EELGRASSLOCK_TRIAL_BUILD", "")


@pytest.fixture(scope="module")
def builds(tmp_path_factory):
    """Give the sources of the builds by name, None for one that is not there."""
    folder = tmp_path_factory.mktemp("builds")
    commits = {"landed": LAST_LANDED, "before": LANDED_BEFORE}
    if TRIAL_BUILD:
        commits = {"landed": TRIAL_BUILD, "before": TRIAL_BUILD}
    found = {name: extract(one, folder / name) for name, one in commits.items()}
    return {"this": THIS_BUILD, **found}


class Looper:
    """A program that asks each daemon for a turn, again and again."""

    def __init__(self, fleet, daemons):
        self.fleet = fleet
        self.daemons = daemons
        self.events = 0
        self.statuses = []

    async def ask_all(self):
        for daemon in self.daemons:
            status, body = await self.fleet.turn(
                daemon, "looper", budget=BUDGET_TURNS * MAX_TURN_TOKENS
            )
            self.statuses.append((daemon.name, status))
            if status == 200:
                self.events += body.count(b"data:")

    def served_by(self):
        names = {name for name, status in self.statuses if status == 200}
        return [one for one in self.daemons if one.name in names]

    @property
    def turns(self):
        return self.events / EVENTS


async def refuse_log(daemons, refusing):
    for daemon in daemons:
        daemon.faults.refusing = refusing
    await asyncio.sleep(OUTAGE_NOTICE_SECONDS)


class TestLooper:
    @pytest.mark.parametrize("old", ["landed", "before", "this"])
    async def test_a_daemon_replaced_in_an_outage_costs_one_turn_at_most(
        self, fleet, builds, tmp_path, old
    ):
        """Two daemons each gave a turn, and were replaced before they recorded it."""
        require(builds, old)
        await fleet.endpoint("models", events=EVENTS)
        daemons = await start_daemons(fleet, tmp_path, builds[old])
        if old != "this":
            # Landed builds give turns before they know the whole fleet.
            await asyncio.sleep(FLEET_KNOWN_SECONDS)
        looper = Looper(fleet, daemons)
        await refuse_log(daemons, "busy")
        await looper.ask_all()
        granting = looper.served_by()
        await asyncio.gather(*(one.terminate() for one in granting))
        await refuse_log(daemons, "")
        await asyncio.gather(*(one.start(builds["this"]) for one in granting))
        await looper.ask_all()
        await refuse_log(daemons, "busy")
        await looper.ask_all()
        await refuse_log(daemons, "")
        await looper.ask_all()
        assert looper.turns <= BUDGET_TURNS + 1, looper.statuses
        assert looper.turns >= BUDGET_TURNS, looper.statuses
