"""An in-memory partitioned log, and allowance managers that draw from it."""

import asyncio

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.draws import decode_draw
from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.log.partitioned_log import (
    ANY_END,
    NO_LIMIT,
    AppendConflict,
    PartitionRead,
)

TURN_TOKENS = 100
RETENTION = 300.0


class MemoryLog:
    """A `PartitionedLog` for several ledgers, whose faults are attributes.

    `up`: if false, all calls fail. `lose_answers`: that many appends take effect
    without a response. `late_appends`: that many have no response and are held until
    `apply_late_appends`. `blocked_until`: an event for which appends wait.
    `answered_after`: an event for which their answers wait once they are done.
    """

    def __init__(self):
        self.partitions = {}
        self.first = {}
        self.up = True
        self.lose_answers = 0
        self.late = []
        self.late_appends = 0
        self.blocked_until = None
        self.answered_after = None
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
        if self.blocked_until is not None:
            await self.blocked_until.wait()
        if not self.up:
            raise LogUnavailable("down")
        if self.late_appends:
            self.late_appends -= 1
            self.late.append((topic, partition, records, expected_end))
            raise AppendUnresolved("lost")
        if expected_end not in (ANY_END, self.end(topic, partition)):
            raise AppendConflict(self.end(topic, partition))
        self.records(topic, partition).extend(records)
        times = self.times.setdefault((topic, partition), [])
        times.extend([self.time] * len(records))
        if self.answered_after is not None:
            await self.answered_after.wait()
        if self.lose_answers:
            self.lose_answers -= 1
            raise AppendUnresolved("lost")
        return self.end(topic, partition)

    def apply_late_appends(self):
        for topic, partition, records, expected_end in self.late:
            if expected_end in (ANY_END, self.end(topic, partition)):
                self.records(topic, partition).extend(records)

    async def read_from(self, topic, partition, offset, max_kilobytes=NO_LIMIT):
        self.reads += 1
        if not self.up:
            raise LogUnavailable("down")
        first = self.first.get((topic, partition), 0)
        if offset < first:
            raise RecordsExpired(first)
        records = tuple(self.records(topic, partition)[offset - first :])
        if max_kilobytes:
            records = within_limit(records, max_kilobytes * 1_024)
        end = self.end(topic, partition)
        offset += len(records)
        return PartitionRead(records=records, offset=offset, end=end)

    async def trim(self, topic, partition, offset):
        if not self.up:
            raise LogUnavailable("down")
        first = self.first.get((topic, partition), 0)
        del self.records(topic, partition)[: max(0, offset - first)]
        self.first[(topic, partition)] = max(first, offset)

    def expire_all(self):
        for key, records in self.partitions.items():
            self.first[key] = self.first.get(key, 0) + len(records)
            records.clear()

    def expire_before(self, oldest):
        for key, records in self.partitions.items():
            times = self.times.get(key, [])
            while records and times and times[0] < oldest:
                records.pop(0)
                times.pop(0)
                self.first[key] = self.first.get(key, 0) + 1

    def total_drawn(self):
        return sum(
            decode_draw(record).tokens
            for records in self.partitions.values()
            for record in records
        )


def within_limit(records, max_bytes):
    """Return the records that an answer holds, a first one at least."""
    size = 0
    for count, record in enumerate(records):
        size += len(record)
        if count and size > max_bytes:
            return records[:count]
    return records


def make_manager(log, name, clock=None):
    clock = clock or ManualClock()
    return AllowanceManager(DrawLedger(log, 4, name, clock, RETENTION), clock)


async def run_turn(
    allowances, budget, used, program="p", max_generated_tokens=TURN_TOKENS
):
    reservation = await allowances.reserve(program, budget, max_generated_tokens)
    allowances.settle(reservation, used)


async def wait_until_nothing_drawn(log):
    async with asyncio.timeout(5.0):
        while log.total_drawn():  # noqa: ASYNC110
            await asyncio.sleep(0.001)
