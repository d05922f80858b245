"""Measures the cost of the system itself, with a bounded number of calls."""

import asyncio
import itertools
import os
import pathlib
import statistics
import time
from typing import Any

import aiohttp
import click
from attrs import define, field

_CALL_SECONDS = 30.0
_READY_SECONDS = 30.0
_POLL_SECONDS = 0.2
_MOST_CALLS = 20_000
_STREAM_TOKENS = 1_000
_PERCENTILES = (50, 95, 99)
_KILOBYTES_PER_MEGABYTE = 1024
_MILLISECONDS = 1_000.0

_numbers = itertools.count()


@define
class Lane:
    """One caller, which makes one call after another.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Its connections.
    url : str
        Whom it calls.
    create_at : str
        The daemon that creates its program, or empty for single calls.
    turns : int
        How many turns a program has before the next one begins.
    """

    session: aiohttp.ClientSession
    url: str
    create_at: str = ""
    turns: int = 10
    headers: dict[str, str] = field(factory=dict)
    messages: list[dict[str, Any]] = field(factory=list)

    async def call(self) -> None:
        """Make one call."""
        if self.create_at and len(self.messages) >= 2 * self.turns:
            self.messages = []
        if self.create_at and not self.messages:
            await self.begin()
        text = f"[tokens=1] How deep is borehole {next(_numbers)}?"
        question = {"role": "user", "content": text}
        messages = [*self.messages, question]
        body = {"model": "hydro-draft", "messages": messages, "max_tokens": 4}
        url = f"{self.url}/v1/chat/completions"
        answer = await _post(self.session, url, body, self.headers)
        if self.create_at:
            self.messages = [*messages, answer["choices"][0]["message"]]

    async def begin(self) -> None:
        """Create the next program."""
        url = f"{self.create_at}/v1/programs"
        limits = {"limits": {"tokens": 50_000}}
        created = await _post(self.session, url, limits, {})
        self.headers = {
            "Eelgrass-Program": created["program"],
            "Eelgrass-Secret": created["secret"],
        }


@define
class Usage:
    """What a process has used so far."""

    cpu_seconds: float
    resident_megabytes: float


@click.command()
@click.option("--engine", required=True, help="URL of the engine itself.")
@click.option("--home", required=True, help="URL of the daemon that owns programs.")
@click.option("--other", required=True, help="URL of a daemon that forwards.")
@click.option("--log", "log_url", required=True, help="URL of the log.")
@click.option("--pid", "pids", type=int, multiple=True, help="A daemon's process.")
@click.option("--calls", type=click.IntRange(2, _MOST_CALLS), default=400)
@click.option("--concurrency", type=click.IntRange(1, 64), default=16)
def main(
    engine: str,
    home: str,
    other: str,
    log_url: str,
    pids: tuple[int, ...],
    calls: int,
    concurrency: int,
) -> None:
    """Print added latency, calls a second, CPU and memory of daemons."""
    asyncio.run(_run(engine, home, other, log_url, list(pids), calls, concurrency))


async def _run(
    engine: str,
    home: str,
    other: str,
    log_url: str,
    pids: list[int],
    calls: int,
    concurrency: int,
) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=_CALL_SECONDS)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        for url in (home, other):
            await _wait_until_ready(session, url)
        routes = {
            "engine itself": (engine, ""),
            "single call": (home, ""),
            "turn, local": (home, home),
            "turn, forwarded": (other, home),
        }
        print(f"one caller, {calls} calls each:")
        base = 0.0
        for name, (url, create_at) in routes.items():
            lane = Lane(session, url, create_at)
            seconds = await _measure(lane, calls)
            middle = statistics.median(seconds) * _MILLISECONDS
            base = base or middle
            print(f"  {name:16} {_spread(seconds)}, added {middle - base:.2f} ms")
        print(f"{concurrency} callers, {calls} calls each way:")
        for name, (url, create_at) in routes.items():
            lanes = [Lane(session, url, create_at) for _ in range(concurrency)]
            before = [_usage(pid) for pid in pids]
            appends = await _appends(session, log_url)
            rate = await _rate(lanes, calls)
            written = await _appends(session, log_url) - appends
            cpu = _cpu_per_call(pids, before, calls)
            print(f"  {name:16} {rate:7.1f} a second, {cpu}, {written} log appends")
        await _measure_streams(session, home, pids, concurrency)
        for pid in pids:
            print(
                f"  resident memory of {pid}: {_usage(pid).resident_megabytes:.1f} MB"
            )


async def _measure(lane: Lane, calls: int) -> list[float]:
    """Return the seconds that each call took; creating programs is left out."""
    seconds = []
    await lane.call()
    for _ in range(calls):
        if lane.create_at and len(lane.messages) >= 2 * lane.turns:
            lane.messages = []
            await lane.begin()
            await lane.call()
        started = time.perf_counter()
        await lane.call()
        seconds.append(time.perf_counter() - started)
    return seconds


async def _rate(lanes: list[Lane], calls: int) -> float:
    """Return how many calls a second all callers make together."""
    await asyncio.gather(*(lane.call() for lane in lanes))
    left = iter(range(calls))

    async def work(lane: Lane) -> None:
        for _ in left:
            await lane.call()

    started = time.perf_counter()
    await asyncio.gather(*(work(lane) for lane in lanes))
    return calls / (time.perf_counter() - started)


async def _measure_streams(
    session: aiohttp.ClientSession, url: str, pids: list[int], streams: int
) -> None:
    before = [_usage(pid) for pid in pids]
    started = time.perf_counter()
    counts = await asyncio.gather(*(_stream(session, url) for _ in range(streams)))
    seconds = time.perf_counter() - started
    events = sum(counts)
    cpu = _cpu_per_call(pids, before, events)
    print(f"  streamed events  {events / seconds:7.1f} a second, {cpu}")


async def _stream(session: aiohttp.ClientSession, url: str) -> int:
    """Read one long streamed answer and return how many events it had."""
    text = f"[tokens={_STREAM_TOKENS}] Describe aquifer {next(_numbers)}."
    body = {
        "model": "hydro-draft",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": _STREAM_TOKENS,
        "stream": True,
    }
    path = f"{url}/v1/chat/completions"
    async with session.post(path, json=body) as answer:
        return sum([line.startswith(b"data:") async for line in answer.content])


async def _post(
    session: aiohttp.ClientSession,
    url: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> dict[str, Any]:
    async with session.post(url, json=body, headers=headers) as answer:
        found = await answer.json()
        if answer.status != 200:
            raise click.ClickException(f"{url} answered {answer.status}: {found}")
        return found


async def _appends(session: aiohttp.ClientSession, log_url: str) -> int:
    async with session.get(f"{log_url}/stats") as answer:
        return int((await answer.json())["appends"])


async def _wait_until_ready(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(_READY_SECONDS):
        while True:
            try:
                async with session.get(f"{url}/ready") as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(_POLL_SECONDS)


def _usage(pid: int) -> Usage:
    process = pathlib.Path("/proc") / str(pid)
    fields = (process / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    lines = (process / "status").read_text().splitlines()
    (resident,) = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return Usage(
        cpu_seconds=ticks / os.sysconf("SC_CLK_TCK"),
        resident_megabytes=int(resident) / _KILOBYTES_PER_MEGABYTE,
    )


def _cpu_per_call(pids: list[int], before: list[Usage], calls: int) -> str:
    spent = [
        (_usage(pid).cpu_seconds - then.cpu_seconds) * _MILLISECONDS / calls
        for pid, then in zip(pids, before, strict=True)
    ]
    return "CPU " + " + ".join(f"{one:.3f}" for one in spent) + " ms each"


def _spread(seconds: list[float]) -> str:
    cuts = statistics.quantiles(seconds, n=100, method="inclusive")
    return ", ".join(
        f"p{one} {cuts[one - 1] * _MILLISECONDS:.2f} ms" for one in _PERCENTILES
    )


if __name__ == "__main__":
    main()
