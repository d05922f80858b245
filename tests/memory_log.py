"""A log of partitions in memory, and daemons that draw from it."""

import asyncio

from eelgrasslock.allowances.draws import decode
from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.allowances.ledger import Ledger
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.log.partitioned import EndMoved, PartitionRead

WORST = 100
RETENTION = 300.0


class MemoryLog:
    """One log for several ledgers, with faults."""

    def __init__(self):
        self.partitions = {}
        self.first = {}
        self.up = True
        self.lose_answers = 0
        self.late = []
        self.late_answers = 0
        self.hangs = None
        self.times = {}
        self.time = 1_000.0
        self.appends = 0
        self.reads = 0

    def records(self, topic, partition):
        return self.partitions.setdefault((topic, partition), [])

    def end(self, topic, partition):
        first = self.first.get((topic, partition), 0)
        return first + len(self.records(topic, partition))

    async def append_at(self, topic, partition, records, expected_end):
        self.appends += 1
        await asyncio.sleep(0)
        if self.hangs is not None:
            await self.hangs.wait()
        if not self.up:
            raise LogUnavailable("down")
        if self.late_answers:
            self.late_answers -= 1
            self.late.append((topic, partition, records, expected_end))
            raise AppendUnresolved("lost")
        if expected_end != self.end(topic, partition):
            raise EndMoved(self.end(topic, partition))
        self.records(topic, partition).extend(records)
        times = self.times.setdefault((topic, partition), [])
        times.extend([self.time] * len(records))
        if self.lose_answers:
            self.lose_answers -= 1
            raise AppendUnresolved("lost")
        return self.end(topic, partition)

    def do_late(self):
        for topic, partition, records, expected_end in self.late:
            if expected_end == self.end(topic, partition):
                self.records(topic, partition).extend(records)

    async def read_from(self, topic, partition, offset):
        self.reads += 1
        if not self.up:
            raise LogUnavailable("down")
        first = self.first.get((topic, partition), 0)
        if offset < first:
            raise RecordsExpired(first)
        records = tuple(self.records(topic, partition)[offset - first :])
        end = self.end(topic, partition)
        return PartitionRead(records=records, offset=end, end=end)

    def forget(self):
        for key, records in self.partitions.items():
            self.first[key] = self.first.get(key, 0) + len(records)
            records.clear()

    def forget_before(self, oldest):
        for key, records in self.partitions.items():
            times = self.times.get(key, [])
            while records and times and times[0] < oldest:
                records.pop(0)
                times.pop(0)
                self.first[key] = self.first.get(key, 0) + 1

    def drawn(self):
        return sum(
            decode(one).tokens
            for records in self.partitions.values()
            for one in records
        )


def daemon(log, name, clock=None):
    clock = clock or ManualClock()
    return Allowances(Ledger(log, 4, name, clock, RETENTION), clock)


async def run_turn(allowances, budget, used, program="p", worst=WORST):
    reservation = await allowances.reserve(program, budget, worst)
    allowances.settle(reservation, used)


async def nothing_drawn(log):
    async with asyncio.timeout(5.0):
        while log.drawn():  # noqa: ASYNC110
            await asyncio.sleep(0.001)
