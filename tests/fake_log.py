"""An in-memory log of streams with fault switches, shared by tests."""

import asyncio

from eelgrasslock.clock import Clock, ManualClock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.log.stream_log import Entry
from eelgrasslock.programs.journal_records import BudgetDrawn


class FakeLog:
    """A `Log` whose faults are attributes.

    `down`: both calls fail. `refuse`: appends fail. `lose_answers`: that many
    appends take effect without a response. `lose_requests`: that many take no
    effect and have no response. `duplicate`: that many are stored twice. `late`:
    that many are held until `release_late`. `delay`: seconds for each call; a read
    returns the entries of its start. `step`: difference of two offsets.
    `retention`: entries kept in a stream. `rate`: appends in one second of the
    clock, more are refused.
    """

    def __init__(self, clock: Clock | None = None, step: int = 1) -> None:
        self.clock = clock or ManualClock()
        self.streams: dict[str, list[Entry]] = {}
        self.down = False
        self.refuse = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.duplicate = 0
        self.late = 0
        self.delay = 0.0
        self.step = step
        self.retention: int | None = None
        self.rate: int | None = None
        self.appends = 0
        self.reads = 0
        self._late: list[tuple[str, bytes]] = []
        self._recent: list[float] = []

    async def append(self, stream: str, data: bytes) -> int:
        await self._wait()
        self.appends += 1
        if self.down or self.refuse or self._over_rate():
            raise LogUnavailable("The fake log refuses appends.")
        if self._take("lose_requests"):
            raise AppendUnresolved("The fake log lost the request.")
        if self._take("late"):
            self._late.append((stream, data))
            raise AppendUnresolved("The fake log is late.")
        offset = self.put(stream, data)
        if self._take("duplicate"):
            self.put(stream, data)
        if self._take("lose_answers"):
            raise AppendUnresolved("The fake log lost the response.")
        return offset

    async def read(self, stream: str, offset: int, limit: int) -> list[Entry]:
        entries = list(self.streams.get(stream, []))
        await self._wait()
        self.reads += 1
        if self.down:
            raise LogUnavailable("The fake log is down.")
        if entries and self.retention is not None and offset < entries[0].offset:
            raise RecordsExpired(entries[0].offset)
        return [entry for entry in entries if entry.offset >= offset][:limit]

    def put(self, stream: str, data: bytes) -> int:
        entries = self.streams.setdefault(stream, [])
        offset = entries[-1].offset + self.step if entries else 0
        entries.append(Entry(offset, data, self.clock.now()))
        if self.retention is not None:
            del entries[: -self.retention]
        return offset

    def release_late(self) -> None:
        """Apply the appends that were held."""
        for stream, data in self._late:
            self.put(stream, data)
        self._late.clear()

    async def _wait(self) -> None:
        if self.delay:
            await self.clock.sleep(self.delay)
        else:
            await asyncio.sleep(0)

    def _take(self, switch: str) -> bool:
        left = getattr(self, switch)
        setattr(self, switch, max(0, left - 1))
        return left > 0

    def _over_rate(self) -> bool:
        if self.rate is None:
            return False
        now = self.clock.monotonic()
        self._recent = [time for time in self._recent if time > now - 1.0]
        self._recent.append(now)
        return len(self._recent) > self.rate


def make_record(number):
    return BudgetDrawn(author="a", time=0.0, program="p", tokens=number)


async def run_for(clock, seconds=0.0, step=0.25):
    """Run tasks while the clock advances by `seconds` in small steps."""
    elapsed = 0.0
    while True:
        for _ in range(20):
            await asyncio.sleep(0)
        if elapsed >= seconds:
            return
        clock.advance(step)
        elapsed += step
