"""Daemons that reach each other, and perhaps the log, to draw tokens."""

import asyncio

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.allowances.offline import (
    OfflineUsage,
    OfflineUsageReport,
)
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import LogUnavailable, Refusal
from memory_log import RETENTION, run_turn


class PartitionedFromLog:
    """A log that is unavailable to one group of daemons while `up` is false."""

    def __init__(self, log):
        self.log = log
        self.up = True

    async def append_at(self, *arguments):
        if not self.up:
            raise LogUnavailable("partitioned")
        return await self.log.append_at(*arguments)

    async def read_from(self, *arguments):
        if not self.up:
            raise LogUnavailable("partitioned")
        return await self.log.read_from(*arguments)


class Group:
    """Allowance managers of daemons that reach each other, with one log.

    `sees_all`: whether the group heard of no other daemon.
    """

    def __init__(self, log, count, is_first_start=True, sees_all=True):
        self.log = log
        self.may_spend = True
        self.missing = 0
        self.is_first_start = is_first_start
        self.sees_all = sees_all
        self.daemons = {}
        for number in range(count):
            self.add(f"d{number}")

    def add(self, name):
        async def query_offline_usage(program):
            if not self.may_spend:
                return None
            await asyncio.sleep(0)
            others = [one for key, one in self.daemons.items() if key != name]
            usages = [one.unrecorded.usage(program) for one in others]
            usages = [
                OfflineUsage(domain="a", spent=spent, drawn=drawn)
                for spent, drawn in usages
            ]
            has_full_history = self.sees_all and not self.missing
            has_full_history &= all(one.has_full_history for one in others)
            return OfflineUsageReport(
                usages=usages, missing=self.missing, has_full_history=has_full_history
            )

        ledger = DrawLedger(self.log, 4, name, ManualClock(), RETENTION)
        self.daemons[name] = AllowanceManager(
            ledger,
            ManualClock(),
            query_offline_usage=query_offline_usage,
            is_first_start=self.is_first_start,
        )

    def accounts(self, program):
        managers = self.daemons.values()
        return [one.accounts[program] for one in managers if program in one.accounts]

    def __getitem__(self, number):
        return list(self.daemons.values())[number]


async def turns_until_refused(group, budget, used, program="p", most=100):
    """Run turns, each at the next daemon; return the tokens that were spent."""
    spent = 0
    for turn in range(most):
        try:
            await run_turn(group[turn % len(group.daemons)], budget, used, program)
        except Refusal:
            return spent
        spent += used
    return spent
