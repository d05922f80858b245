"""What programs were given, by the lines of all daemons."""

import asyncio
import json

import pytest
from loguru import logger

from eelgrasslock.operators.budget_totals import total_budgets
from test_forgotten_draws import Looper, LoopingFleet

TURNS = (1, 2, 3, 8, 20)


@pytest.fixture
async def fleet():
    async with LoopingFleet() as one:
        await one.start()
        yield one


@pytest.fixture
def lines():
    lines = []

    def write(message):
        values = {"message": message.record["message"], **message.record["extra"]}
        lines.append(json.dumps(values, default=str))

    sink = logger.add(write, level="INFO")
    yield lines
    logger.remove(sink)


class TestLines:
    async def run_all(self, loopers, daemons):
        await asyncio.gather(*(one.run(daemons) for one in loopers))

    async def test_they_add_up_to_what_callers_were_given(self, fleet, lines):
        """The lines of a program showed a part of what it had been given."""
        loopers = [Looper(fleet, f"p{turns}", turns) for turns in TURNS]
        late = [Looper(fleet, f"late{turns}", turns) for turns in TURNS]
        first, *others = fleet.daemons
        await asyncio.gather(*(one.turn(first) for one in loopers))
        await fleet.set_log("busy")
        await self.run_all(loopers + late, others)
        replaced = await fleet.restart(first, is_planned=True)
        await fleet.set_log("")
        await asyncio.sleep(0.6)
        await self.run_all(loopers + late, [*others, replaced])
        totals = {one.program: one for one in total_budgets(lines)}
        for looper in loopers + late:
            looper.check()
            total = totals[looper.id]
            given = (looper.tokens, looper.budget, 0)
            assert (total.used_tokens, total.budget, len(total.open_turns)) == given
