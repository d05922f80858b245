"""A keyed topic on a clock that is moved by hand, whose reads fail as told."""

import asyncio
import bisect

from eelgrasslock.exceptions import LogUnavailable, RecordsExpired
from eelgrasslock.log.keyed_log import KeyedChanges, KeyedRecord, KeyedSnapshot

STEP_SECONDS = 0.005
NETWORK_SECONDS = 0.005


class TopicModel:
    """A topic with records at given times.

    Attributes
    ----------
    written_at : list of float
        When each record is acknowledged, sorted.
    lost_answers : int
        So many of the answers that would bring news are lost.
    deaf_until : float
        Until when waiting reads hear nothing of new records.
    expires_at : float
        When the history is dropped once.
    silent_from, silent_until : float
        An outage in which no read is answered.
    calls : int
        How many reads were sent.
    """

    def __init__(self, clock):
        self.clock = clock
        self.written_at = []
        self.lost_answers = 0
        self.deaf_until = float("-inf")
        self.expires_at = float("inf")
        self.silent_from = self.silent_until = float("inf")
        self.page_records = 1_000
        self.first = 0
        self.calls = 0

    @property
    def end(self):
        return bisect.bisect_right(self.written_at, self.clock.monotonic())

    async def snapshot(self, topic, answer_seconds=0.6):
        await self._travel(answer_seconds, brings_news=True)
        return KeyedSnapshot(records=self._records(0), end=self.end)

    async def changes(self, topic, offset, wait_seconds, answer_seconds=0.6):
        self.calls += 1
        sent_at = self.clock.monotonic()
        ends_at = sent_at + wait_seconds
        while self._is_waiting(offset) and self.clock.monotonic() < ends_at:
            await self.clock.sleep(STEP_SECONDS)
        if self.expires_at <= self.clock.monotonic():
            self.expires_at = float("inf")
            self.first = self.end
        if offset < self.first:
            raise RecordsExpired(self.first)
        spent = self.clock.monotonic() - sent_at
        limit = wait_seconds + answer_seconds - spent
        await self._travel(limit, brings_news=self.end > offset)
        records = self._records(offset)[: self.page_records]
        end = offset + len(records)
        return KeyedChanges(records=records, end=end, is_behind=end < self.end)

    def _is_waiting(self, offset):
        is_deaf = self.clock.monotonic() < self.deaf_until
        return (self.end <= offset or is_deaf) and offset >= self.first

    async def _travel(self, limit, brings_news):
        """Answer after the network's delay, or not at all within the limit."""
        is_lost = brings_news and self.lost_answers > 0
        if is_lost:
            self.lost_answers -= 1
        now = self.clock.monotonic()
        if is_lost or self.silent_from <= now < self.silent_until:
            await self.clock.sleep(max(0.0, limit))
            raise LogUnavailable("no answer")
        await self.clock.sleep(NETWORK_SECONDS)

    def _records(self, offset):
        return tuple(
            KeyedRecord(key=str(number), value=b"x")
            for number in range(offset, self.end)
        )


class RecordingState:
    """A state that notes when each record was applied first."""

    def __init__(self, clock):
        self.clock = clock
        self.applied_at = {}

    def replace_all(self, records):
        self.apply(records)

    def apply(self, records):
        for record in records:
            self.applied_at.setdefault(int(record.key), self.clock.monotonic())

    def set_log_unavailable(self, unavailable, read_sent_at):
        """Ignore the log's availability."""


async def advance(clock, seconds):
    """Move a clock on in small steps and let the tasks run in between."""
    for _ in range(round(seconds / STEP_SECONDS)):
        clock.advance(STEP_SECONDS)
        for _ in range(6):
            await asyncio.sleep(0)
