"""What a stopping daemon writes, and in which time."""

import asyncio
from types import SimpleNamespace

import pytest

from eelgrasslock.exceptions import LogUnavailable
from eelgrasslock.gateway.drainer import RECORD_TIMEOUT_SECONDS, Drainer


class Saving:
    """Takes down what a stopping daemon did."""

    def __init__(self, error=None):
        self.error = error
        self.done = []

    async def record(self):
        if self.error is not None:
            raise self.error
        self.done.append("recorded")

    async def return_all(self):
        await asyncio.sleep(RECORD_TIMEOUT_SECONDS + 0.05)
        self.done.append("returned")

    async def hand_over(self):
        self.done.append("handed over")

    async def write(self):
        return

    def drainer(self):
        allowances = SimpleNamespace(unrecorded=self, return_all=self.return_all)
        crashes = SimpleNamespace(flush=self.write)
        coordinator = SimpleNamespace(deregister=self.write)
        return Drainer(None, None, allowances, coordinator, crashes, self, None)


class TestSavedState:
    async def test_the_return_of_tokens_does_not_share_the_time_of_draws(self):
        saving = Saving()
        await saving.drainer()._save_state()
        assert sorted(saving.done) == ["handed over", "recorded", "returned"]

    @pytest.mark.parametrize("error", [LogUnavailable("lost"), TimeoutError()])
    async def test_what_is_kept_is_handed_over_if_draws_are_not_recorded(self, error):
        saving = Saving(error)
        await saving.drainer()._save_state()
        assert saving.done == ["handed over"]
