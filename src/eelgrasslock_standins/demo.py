"""Agent programs for the demo: turns, tool pauses, a sub-agent, fee postings."""

import asyncio
import random
import sys
import time

import aiohttp
import click
from openai import AsyncOpenAI

from eelgrasslock_standins.demo_client import DemoClient
from eelgrasslock_standins.demo_figures import DemoFigures
from eelgrasslock_standins.demo_program import DemoPlan, DemoProgram

_READY_SECONDS = 60.0
_POLL_SECONDS = 0.2
_DEADLINE_SECONDS = 150.0
_PROGRESS_SECONDS = 3.0
_OPENAI_SECONDS = 60.0


@click.command()
@click.option("--daemon", "daemons", multiple=True, required=True, help="Base URL.")
@click.option("--service", required=True, help="URL of the plain service itself.")
@click.option("--programs", type=int, default=8, show_default=True)
@click.option("--turns", type=int, default=7, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def main(
    daemons: tuple[str, ...], service: str, programs: int, turns: int, seed: int
) -> None:
    """Run a handful of agent programs and print what became of them."""
    good = asyncio.run(_run(list(daemons), service, programs, turns, seed))
    sys.exit(0 if good else 1)


async def _run(
    daemons: list[str], service: str, programs: int, turns: int, seed: int
) -> bool:
    figures = DemoFigures()
    async with aiohttp.ClientSession() as session:
        await _wait_until_ready(session, daemons)
        clients = [
            AsyncOpenAI(
                base_url=f"{url}/v1",
                api_key="unused",
                max_retries=0,
                timeout=_OPENAI_SECONDS,
            )
            for url in daemons
        ]
        client = DemoClient(daemons, clients, session, figures)
        started = time.monotonic()
        try:
            async with asyncio.timeout(_DEADLINE_SECONDS):
                await _run_all(client, figures, programs, turns, seed)
        except TimeoutError:
            print("demo: some programs did not end in time", flush=True)
        finally:
            await asyncio.gather(*(one.close() for one in clients))
        seconds = time.monotonic() - started
        async with session.get(f"{service}/postings") as answer:
            postings = (await answer.json())["postings"]
    return figures.show(programs + 1, seconds, [one["action"] for one in postings])


async def _run_all(
    client: DemoClient, figures: DemoFigures, programs: int, turns: int, seed: int
) -> None:
    rng = random.Random(seed)
    running = [
        DemoProgram(client, figures, _plan(number, turns, rng.random()))
        for number in range(programs)
    ]
    reporter = asyncio.create_task(_report(figures, programs + 1))
    try:
        await asyncio.gather(*(program.run() for program in running))
    finally:
        reporter.cancel()


def _plan(number: int, turns: int, seed: float) -> DemoPlan:
    return DemoPlan(
        name=f"licence-{2041 + number}",
        daemon=number,
        turns=turns,
        stream=number % 2 == 0,
        with_sub_agent=number == 0,
        with_fee=number % 2 == 0,
        seed=seed,
    )


async def _report(figures: DemoFigures, programs: int) -> None:
    while True:
        await asyncio.sleep(_PROGRESS_SECONDS)
        figures.show_progress(programs)


async def _wait_until_ready(session: aiohttp.ClientSession, daemons: list[str]) -> None:
    async with asyncio.timeout(_READY_SECONDS):
        for url in daemons:
            await _wait_for_one(session, f"{url}/ready")


async def _wait_for_one(session: aiohttp.ClientSession, url: str) -> None:
    while True:
        try:
            async with session.get(url) as answer:
                if answer.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(_POLL_SECONDS)


if __name__ == "__main__":
    main()
