"""Daemons of two builds side by side, replaced one after the other, forward and back.

The other builds are taken from the repository's history. Where it is not there, these
tests are left out with a word; recorded bytes (test_formats) are read all the same.
"""

import asyncio
import os
import random

import pytest

from builds import (
    FIRST_WITH_TURNS,
    LANDED_BEFORE,
    LAST_LANDED,
    THIS_BUILD,
    BuildDaemon,
    extract,
    is_history_cut,
)
from conversation_fleet import ConversationFleet, talk_route
from platform_fleet import PlatformFleet
from upgrade_load import EVENTS, UpgradeLoad

SEEDS = [int(one) for one in os.environ.get("EELGRASSLOCK_SEEDS", "1").split(",")]
DAEMONS = 4
OUTAGE_SECONDS = 1.5


@pytest.fixture(scope="module")
def builds(tmp_path_factory):
    """Give the sources of the builds by name, None for one that is not there."""
    folder = tmp_path_factory.mktemp("builds")
    commits = {
        "landed": LAST_LANDED,
        "before": LANDED_BEFORE,
        "turns": FIRST_WITH_TURNS,
    }
    found = {name: extract(one, folder / name) for name, one in commits.items()}
    return {"this": THIS_BUILD, **found}


@pytest.fixture
async def fleet():
    async with PlatformFleet() as one:
        yield one


def require(builds, *names):
    """Leave a test out where the history is cut; a whole one must have the builds."""
    missing = [name for name in names if builds[name] is None]
    assert not missing or is_history_cut(), missing
    if missing:
        pytest.skip(f"The repository is shallow and does not have {missing}.")


async def start_daemons(fleet, folder, source, **settings):
    daemons = []
    for number in range(DAEMONS):
        domain = "abc"[number % 3]
        daemon = BuildDaemon(fleet, folder, f"{domain}-{number}", domain, **settings)
        await daemon.open_door()
        daemons.append(daemon)
        fleet.stack.push_async_callback(daemon.kill)
    await asyncio.gather(*(one.start(source, is_first_start=True) for one in daemons))
    return daemons


async def replace_all(daemons, source, rng):
    """Replace each daemon; the log is lost for a while and one daemon is killed."""
    order = rng.sample(daemons, len(daemons))
    killed = rng.choice(order)
    lost_at = rng.randrange(len(order))
    for number, daemon in enumerate(order):
        outage = None
        if number == lost_at:
            outage = asyncio.create_task(lose_log(daemons))
        await (daemon.kill() if daemon is killed else daemon.terminate())
        await daemon.start(source)
        if outage is not None:
            await outage


async def lose_log(daemons):
    for daemon in daemons:
        daemon.faults.refusing = "busy"
    await asyncio.sleep(OUTAGE_SECONDS)
    for daemon in daemons:
        daemon.faults.refusing = ""


class TestReplacement:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ("landed", "this"),
            ("this", "landed"),
            ("before", "this"),
            ("this", "before"),
        ],
    )
    async def test_no_promise_is_broken(self, fleet, builds, tmp_path, old, new, seed):
        require(builds, old, new)
        engines = [await fleet.endpoint("models", events=EVENTS) for _ in range(2)]
        desks = [await fleet.endpoint() for _ in range(2)]
        daemons = await start_daemons(fleet, tmp_path, builds[old])
        load = UpgradeLoad(fleet, daemons, seed)
        load.start()
        await replace_all(daemons, builds[new], random.Random(seed))
        await load.stop()
        load.check(engines + desks)


class TestConversations:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(("old", "new"), [("turns", "this"), ("this", "turns")])
    async def test_chains_go_on_at_the_other_build(
        self, fleet, builds, tmp_path, old, new, seed
    ):
        require(builds, old, new)
        talks = ConversationFleet(fleet)
        fleet.configure_raw(talks.encoded([talk_route()]))
        talks.engines = [await fleet.endpoint("models", events=3) for _ in range(2)]
        talks.daemons = await start_daemons(fleet, tmp_path, builds[old])
        rng = random.Random(seed)
        said = await talks.say_all([b"a", b"b", b"c", b"d"])
        for daemon in rng.sample(talks.daemons, DAEMONS):
            await daemon.kill()
            await daemon.start(builds[new])
            said = await talks.say_all([b"e", b"f", b"g", b"h"], said)
