"""Measures what heartbeats and appends cost a daemon."""

import asyncio
import contextlib
import os
import random
import socket
import stat
import struct
import time
from collections.abc import AsyncIterator

import capnp
import click
from attrs import define, frozen

from eelgrasslock.clock import SystemClock
from eelgrasslock.configuration.settings import DaemonSettings
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.stream_log import Entry
from eelgrasslock.peers.heartbeat_topology import heartbeat_interval
from eelgrasslock.peers.membership import Membership
from eelgrasslock.peers.peer_transport import PeerTransport
from eelgrasslock.programs.journal_records import BudgetDrawn
from eelgrasslock.scheduling.calls import PeerLoad

_SIZES = (5, 10, 20, 29, 40)
_WARM_UP_SECONDS = 4.0
_WARM_UP_INTERVALS = 1.5
_ENDPOINTS_PER_DAEMON = 12
_CALLS_PER_SECOND = 56.0
_CALL_SECONDS = 10.0
_SEGMENT_HEADER_BYTES = 52
_TCP_INFO_BYTES = 144
_BYTES_ACKED = 120
_SEGMENTS_OUT = 136
_STREAM = "journal.domain"
_APPENDERS = (1, 10, 100, 1000)
_APPEND_SECONDS = 0.01


class MemoryLog:
    """A log in this process, with the time that one append takes."""

    def __init__(self, seconds: float = 0.0) -> None:
        self.seconds = seconds
        self.streams: dict[str, list[Entry]] = {}

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset."""
        await asyncio.sleep(self.seconds)
        entries = self.streams.setdefault(stream, [])
        entries.append(Entry(len(entries), data, 0.0))
        return len(entries) - 1

    async def read(self, stream: str, offset: int, limit: int) -> list[Entry]:
        """Return up to `limit` entries from `offset` on."""
        await asyncio.sleep(0)
        return self.streams.get(stream, [])[offset : offset + limit]


class BusyDaemon:
    """A daemon's membership, with calls that come and go on the endpoints."""

    def __init__(self, name: str, log: MemoryLog, endpoints: int) -> None:
        clock = SystemClock()
        self.rng = random.Random(name)
        self.endpoints = [f"engine-{number}" for number in range(endpoints)]
        self.in_flight: dict[str, int] = {}
        self.calls = int(_CALLS_PER_SECOND * _CALL_SECONDS)
        for _ in range(self.calls):
            endpoint = self.rng.choice(self.endpoints)
            self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        self.drawn_at = clock.monotonic()
        settings = DaemonSettings(
            name=name,
            domain="domain",
            http_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            log_url="",
        )
        self.writer = LogWriter(log, clock, self.rng)
        self.tail = LogTail(log, clock, self.rng, poll_seconds=1.0)
        self.peers = PeerTransport(settings, name, clock, self.rng)
        self.membership = Membership(
            settings, name, self.writer, self.tail, self.peers, clock, self.rng
        )
        self.membership.load_source = self.load

    async def start(self) -> None:
        """Join."""
        await self.peers.start()
        await self.tail.start()
        await self.membership.start()

    async def stop(self) -> None:
        """End all tasks and connections."""
        await self.membership.stop()
        await self.tail.stop()
        await self.writer.stop()
        await self.peers.stop()

    def load(self) -> PeerLoad:
        """Return the load after as many starts and ends as the time asks for."""
        now = time.monotonic()
        calls = int((now - self.drawn_at) * _CALLS_PER_SECOND)
        if calls:
            self.drawn_at = now
        for _ in range(calls):
            endpoint = self.rng.choice(self.endpoints)
            self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
            self.calls += 1
            self._end_one()
        return PeerLoad(incarnation="", in_flight=self.in_flight, waiting=3)

    def _end_one(self) -> None:
        while self.calls > _CALLS_PER_SECOND * _CALL_SECONDS:
            endpoint = self.rng.choice(self.endpoints)
            if self.in_flight.get(endpoint):
                self.in_flight[endpoint] -= 1
                self.calls -= 1


@frozen
class Traffic:
    """What this process has sent over TCP, and the processor time it took."""

    payload_bytes: int
    segments: int
    cpu_seconds: float


@define
class Cost:
    """One daemon's cost, and its connections."""

    daemons: int
    payload_bytes_per_second: float
    wire_bytes_per_second: float
    core_percent: float


def _read_traffic() -> Traffic:
    payload = segments = 0
    for name in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            info = _tcp_info(int(name))
            payload += struct.unpack_from("Q", info, _BYTES_ACKED)[0]
            segments += struct.unpack_from("I", info, _SEGMENTS_OUT)[0]
    return Traffic(payload, segments, time.process_time())


def _tcp_info(number: int) -> bytes:
    if not stat.S_ISSOCK(os.fstat(number).st_mode):
        raise OSError("Not a socket.")
    with socket.socket(fileno=os.dup(number)) as one:
        return one.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)


@contextlib.asynccontextmanager
async def _fleet(count: int) -> AsyncIterator[None]:
    log = MemoryLog()
    endpoints = count * _ENDPOINTS_PER_DAEMON
    daemons = [BusyDaemon(f"d{n}", log, endpoints) for n in range(count)]
    async with capnp.kj_loop():
        try:
            await asyncio.gather(*(daemon.start() for daemon in daemons))
            yield
        finally:
            await asyncio.gather(*(daemon.stop() for daemon in daemons))


async def measure_heartbeats(count: int, seconds: float) -> Cost:
    """Return a daemon's cost in a domain of some size."""
    async with _fleet(count):
        interval = heartbeat_interval(count - 1)
        await asyncio.sleep(_WARM_UP_SECONDS + _WARM_UP_INTERVALS * interval)
        before = _read_traffic()
        await asyncio.sleep(seconds)
        after = _read_traffic()
    share = seconds * count
    payload = after.payload_bytes - before.payload_bytes
    headers = (after.segments - before.segments) * _SEGMENT_HEADER_BYTES
    cpu = after.cpu_seconds - before.cpu_seconds
    return Cost(
        count, payload / share, (payload + headers) / share, 100.0 * cpu / share
    )


async def measure_appends(callers: int, seconds: float) -> tuple[float, float, float]:
    """Return records a second, entries a second and bytes for each record."""
    log = MemoryLog(_APPEND_SECONDS)
    writer = LogWriter(log, SystemClock(), random.Random(1))
    ends = time.monotonic() + seconds

    async def call() -> None:
        while time.monotonic() < ends:
            record = BudgetDrawn(author="d", time=0.0, program="p" * 40, tokens=1)
            await writer.append(_STREAM, record)

    await asyncio.gather(*(call() for _ in range(callers)))
    await writer.stop()
    return (
        writer.appended_records / seconds,
        writer.appends / seconds,
        writer.appended_bytes / writer.appended_records,
    )


@click.command()
@click.option("--seconds", default=8.0, show_default=True, help="For each size.")
def heartbeats(seconds: float) -> None:
    """Measure heartbeats by the size of a domain, and group commit."""
    click.echo("daemons  sent B/s  on the wire B/s  core %   (one daemon)")
    costs = []
    for size in _SIZES:
        cost = asyncio.run(measure_heartbeats(size, seconds))
        costs.append(cost)
        click.echo(
            f"{cost.daemons:7d}  {cost.payload_bytes_per_second:8.0f}"
            f"  {cost.wire_bytes_per_second:15.0f}  {cost.core_percent:6.2f}"
        )
    first, last = costs[0], costs[-1]
    daemons = last.daemons - first.daemons
    wire = last.wire_bytes_per_second - first.wire_bytes_per_second
    core = last.core_percent - first.core_percent
    click.echo(
        f"slope for each further daemon: {wire / daemons:.1f} B/s on the wire,"
        f" {core / daemons:.4f} % of a core"
    )
    click.echo("callers  records/s  entries/s  B/record   (log takes 10 ms)")
    for callers in _APPENDERS:
        records, entries, length = asyncio.run(measure_appends(callers, seconds / 4))
        click.echo(f"{callers:7d}  {records:9.0f}  {entries:9.1f}  {length:8.0f}")


if __name__ == "__main__":
    heartbeats()
