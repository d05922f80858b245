"""Measures what journaling adds to a turn and how soon a lost owner is replaced."""

import asyncio
import os
import signal
import statistics
import time
from typing import Any

import aiohttp
import click
from attrs import define, field

_TURNS = 12
_PAUSE_SECONDS = 0.25
_SLOW_SECONDS = 0.2
_RETRY_SECONDS = 0.05
_GIVE_UP_SECONDS = 60.0
_OK = 200
_MILLISECONDS = 1_000.0


@define
class Caller:
    """A caller with one program."""

    session: aiohttp.ClientSession
    headers: dict[str, str] = field(factory=dict)
    messages: list[dict[str, Any]] = field(factory=list)
    turn: int = 0
    refused: str = ""

    async def begin(self, url: str) -> None:
        """Create the program at a daemon."""
        async with self.session.post(f"{url}/v1/programs", json={}) as answer:
            body = await answer.json()
        self.headers = {
            "Eelgrass-Program": body["program"],
            "Eelgrass-Secret": body["secret"],
        }

    async def ask(self, url: str) -> bool:
        """Send the next turn once and return whether it was served."""
        question = {"role": "user", "content": f"[tokens=1] Question {self.turn}."}
        asked = [*self.messages, question]
        body = {"model": "hydro-draft", "messages": asked, "max_tokens": 4}
        path = f"{url}/v1/chat/completions"
        async with self.session.post(path, json=body, headers=self.headers) as answer:
            if answer.status != _OK:
                self.refused = (await answer.json())["error"]["code"]
                return False
            served = await answer.json()
        self.messages = [*asked, served["choices"][0]["message"]]
        self.turn += 1
        return True


@click.command()
@click.option("--home", required=True, help="URL of the daemon that is lost.")
@click.option("--other", required=True, help="URL of a daemon of its domain.")
@click.option("--log", "log_url", required=True, help="URL of the log.")
@click.option("--pid", type=int, required=True, help="The lost daemon's process.")
@click.option("--freeze", is_flag=True, help="Stop it instead of killing it.")
def main(home: str, other: str, log_url: str, pid: int, freeze: bool) -> None:
    """Print the latency of turns under a healthy, slow and lost log, and a takeover."""
    asyncio.run(_run(home, other, log_url, pid, freeze))


async def _run(home: str, other: str, log_url: str, pid: int, freeze: bool) -> None:
    timeout = aiohttp.ClientTimeout(total=_GIVE_UP_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        caller = Caller(session)
        await caller.begin(home)
        states = {
            "healthy": {},
            "slow": {"slow_seconds": _SLOW_SECONDS},
            "down": {"slow_seconds": 0.0, "outage": True},
        }
        for name, faults in states.items():
            await _control(session, log_url, faults)
            print(f"  turn, log {name:8} {await _latency(caller, home)}")
        await _control(session, log_url, {"outage": False})
        await caller.ask(home)
        await asyncio.sleep(1.0)
        os.kill(pid, signal.SIGSTOP if freeze else signal.SIGKILL)
        seconds = await _takeover(caller, other)
        word = "frozen" if freeze else "killed"
        print(f"  owner {word}, next turn served after {seconds:.2f} s")
        if freeze:
            os.kill(pid, signal.SIGCONT)


async def _control(
    session: aiohttp.ClientSession, url: str, faults: dict[str, Any]
) -> None:
    async with session.post(f"{url}/control", json=faults) as answer:
        answer.raise_for_status()


async def _latency(caller: Caller, url: str) -> str:
    taken = []
    for _ in range(_TURNS):
        await asyncio.sleep(_PAUSE_SECONDS)
        started = time.perf_counter()
        served = await caller.ask(url)
        taken.append((time.perf_counter() - started) * _MILLISECONDS)
        if not served:
            number = len(taken)
            raise click.ClickException(f"Turn {number} was refused: {caller.refused}.")
    return f"p50 {statistics.median(taken):.1f} ms, most {max(taken):.1f} ms"


async def _takeover(caller: Caller, url: str) -> float:
    started = time.perf_counter()
    while time.perf_counter() - started < _GIVE_UP_SECONDS:
        if await caller.ask(url):
            return time.perf_counter() - started
        await asyncio.sleep(_RETRY_SECONDS)
    raise click.ClickException("No daemon took the program over.")


if __name__ == "__main__":
    main()
