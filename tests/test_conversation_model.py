"""Conversations in a model of many daemons under random faults.

No engine may run a turn with another body than its chain, no turn may be told that
the turn before it does not exist, and after the loss of all daemons programs continue
from each turn that was answered whole.
"""

import os
import random

import pytest

from conversation_model import ConversationModel
from conversation_model_daemon import CACHE_BYTES
from eelgrasslock.conversations import turn_writer
from stream_model import DOMAINS

SEEDS = [int(one) for one in os.environ.get("EELGRASSLOCK_SEEDS", "1,2").split(",")]
PROGRAMS_PER_SECOND = 6


async def kill_some(model, rng):
    names = rng.sample(list(model.daemons), max(1, int(0.4 * len(model.daemons))))
    await model.restart(names, rng.uniform(0.3, 2.0), PROGRAMS_PER_SECOND)


async def kill_all(model, rng):
    await model.restart(list(model.daemons), rng.uniform(0.3, 2.0), PROGRAMS_PER_SECOND)


async def cut_domain(model, rng):
    model.cut_domain = rng.choice(DOMAINS)
    cut = {one.name for one in model.daemons.values() if one.domain == model.cut_domain}
    if rng.random() < 0.7:
        model.without_log |= cut
    await model.run(rng.uniform(1.0, 6.0), PROGRAMS_PER_SECOND)
    model.cut_domain = ""
    model.without_log = set()


async def cut_daemons(model, rng):
    names = rng.sample(list(model.daemons), max(1, len(model.daemons) // 4))
    model.cut_daemons = set(names)
    if rng.random() < 0.7:
        model.without_log |= set(names)
    await model.run(rng.uniform(1.0, 6.0), PROGRAMS_PER_SECOND)
    model.cut_daemons = set()
    model.without_log = set()


async def lose_log(model, rng):
    share = rng.choice([0.3, 1.0])
    names = rng.sample(list(model.daemons), int(share * len(model.daemons)))
    model.log_timeout = rng.choice([0.0, 0.6])
    model.without_log = set(names)
    await model.run(rng.uniform(1.0, 7.0), PROGRAMS_PER_SECOND)
    if rng.random() < 0.4:
        await kill_all(model, rng)
    model.without_log = set()
    model.log_timeout = 0.0


async def lose_answers(model, rng):
    model.loses_answers = True
    await model.run(rng.uniform(1.0, 5.0), PROGRAMS_PER_SECOND)
    model.loses_answers = False


async def add_daemons(model, rng):
    count = len(model.daemons)
    for number in range(count, count + max(1, count // 5)):
        model.start_daemon(f"d-{number}", DOMAINS[number % 3], 0)


async def replace_builds(model, rng):
    """Let some daemons be of a build that keeps no turns for others."""
    names = list(model.daemons)
    model.old_builds = set(rng.sample(names, rng.randint(1, len(names))))
    await model.run(rng.uniform(1.0, 3.0), PROGRAMS_PER_SECOND)
    model.old_builds = set()


FAULTS = [
    kill_some,
    kill_all,
    cut_domain,
    cut_daemons,
    lose_log,
    lose_answers,
    add_daemons,
    replace_builds,
]


class TestFaults:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("daemons", [3, 13, 60])
    async def test_no_turn_is_lost_or_changed(self, seed, daemons):
        rng = random.Random(seed)
        model = ConversationModel(seed, daemons)
        await model.run(2.0, PROGRAMS_PER_SECOND)
        for _ in range(4 if daemons > 20 else 8):
            await rng.choice(FAULTS)(model, rng)
            await model.run(rng.uniform(0.0, 3.0), PROGRAMS_PER_SECOND)
        await kill_all(model, rng)
        await model.run(2.0, 0)
        stuck = await model.continue_all()
        assert not model.errors
        assert not model.unasked
        assert not model.lost
        assert not stuck
        assert model.served > 50
        sizes = [one.controller.cache.memory_bytes for one in model.daemons.values()]
        assert max(sizes) <= CACHE_BYTES
        await model.stop()


class TestCalm:
    async def test_all_turns_are_served_with_few_messages(self):
        model = ConversationModel(1, 13)
        model.forged_share = 0.0
        await model.run(2.0, 0)
        await model.run(20.0, PROGRAMS_PER_SECOND)
        await model.run(5.0, 0)
        assert model.served == model.tries > 400
        assert model.appended == model.served
        # Two keepers are told; two are asked, and the daemon that served the turn
        # before is asked for it and for its chain.
        assert model.told <= 2 * model.served
        assert model.messages <= 6 * model.served
        assert model.log.reads <= 0.05 * model.served
        await model.stop()

    async def test_a_keeper_that_is_gone_costs_few_reads(self):
        model = ConversationModel(3, 13)
        model.forged_share = 0.0
        await model.run(2.0, 0)
        await model.run(10.0, PROGRAMS_PER_SECOND)
        await model.daemons["d-4"].stop()
        served, reads = model.served, model.log.reads
        await model.run(10.0, PROGRAMS_PER_SECOND)
        # Of the turns that it served, the others have the places only.
        assert model.log.reads - reads <= 0.1 * (model.served - served)
        await model.stop()

    async def test_a_chain_outlives_the_records_of_its_first_turns(self, monkeypatch):
        model = ConversationModel(2, 3)
        await model.run(1.0, 0)
        model.start_task(model.run_program(turns=200))
        await model.run(100.0, 0)
        longest = max(len(one.said.conversation) for one in model.whole)
        assert longest > 10_000
        assert model.trimmed
        assert not model.unasked
        assert not model.lost
        rewritten = [one.controller.writer.rewritten for one in model.daemons.values()]
        assert sum(rewritten) > 100
        await model.stop()

    async def test_without_rewriting_a_long_chain_is_lost(self, monkeypatch):
        monkeypatch.setattr(turn_writer, "REWRITE_SECONDS", 1e9)
        model = ConversationModel(2, 3)
        await model.run(1.0, 0)
        model.start_task(model.run_program(turns=200))
        await model.run(100.0, 0)
        assert model.served < 200
        await model.stop()
