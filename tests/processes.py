"""Stand-ins and daemons as processes on free ports, with sure clean-up."""

import asyncio
import contextlib
import fcntl
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
from collections import deque
from typing import TextIO

import aiohttp

from child_processes import end_with_parent

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_READY_SECONDS = 30.0
_STOP_SECONDS = 30.0
_POLL_SECONDS = 0.05
_PORTS = range(20_000, 32_000)
_BLOCK_PORTS = 1_500
_RANDOM = random.SystemRandom()
_LOCKS = pathlib.Path(tempfile.gettempdir()) / "eelgrasslock-test-ports"

# The lock files of the blocks of ports that this run has taken, by their first port.
_blocks: dict[int, TextIO] = {}
# The ports of these blocks; those that were given out longest ago come first.
_ports: deque[int] = deque()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on now.

    They lie below the range that outgoing connections take theirs from, so
    that a daemon which starts again finds its port free. They belong to blocks
    that this run has locked, so that a run beside it takes others, and none is
    given out again before all others were.
    """
    ports: list[int] = []
    untried = len(_ports)
    while len(ports) < count:
        if not untried and not _take_block():
            break
        untried = untried or _BLOCK_PORTS
        port = _ports.popleft()
        _ports.append(port)
        untried -= 1
        if _is_free(port):
            ports.append(port)
    return ports


def _take_block() -> bool:
    """Lock one more block of ports; return whether there was one."""
    _LOCKS.mkdir(exist_ok=True)
    firsts = [one for one in _PORTS[::_BLOCK_PORTS] if one not in _blocks]
    for first in _RANDOM.sample(firsts, len(firsts)):
        lock = (_LOCKS / str(first)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _blocks[first] = lock
        block = range(first, first + _BLOCK_PORTS)
        _ports.extendleft(_RANDOM.sample(block, len(block)))
        return True
    return False


def _is_free(port: int) -> bool:
    with socket.socket() as one:
        try:
            one.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


async def eventually(check, seconds: float = _READY_SECONDS) -> None:
    """Wait until an async check is true, or fail."""
    async with asyncio.timeout(seconds):
        while True:
            if await check():
                return
            await asyncio.sleep(_POLL_SECONDS)


class RunningProcess:
    """A process that a test has started, with where it listens."""

    def __init__(self, process: asyncio.subprocess.Process, url: str, errors) -> None:
        self.process = process
        self.url = url
        self.errors = errors

    @property
    def pid(self) -> int:
        return self.process.pid

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill it, also while it is stopped, and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def terminate(self) -> int:
        """Ask it to stop, and return its exit status."""
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()
        return await asyncio.wait_for(self.process.wait(), _STOP_SECONDS)

    def error_text(self) -> str:
        """Return what it has written to its error output."""
        return self.errors.read_text()


class Processes:
    """All processes of one test; leaving the context ends them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.all: list[RunningProcess] = []
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Processes":
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *details) -> None:
        await asyncio.gather(*(one.kill() for one in self.all))
        await self.session.close()

    async def standin(self, *arguments: str) -> RunningProcess:
        """Start a stand-in and wait for the line with its first port."""
        module = "eelgrasslock_standins.main"
        process, errors = await self._start(module, *map(str, arguments))
        running = RunningProcess(process, "", errors)
        self.all.append(running)
        line = await asyncio.wait_for(process.stdout.readline(), _READY_SECONDS)
        assert line.startswith(b"ready "), errors.read_text()
        running.url = f"http://{line.split()[1].decode()}"
        return running

    async def daemon(
        self, settings: pathlib.Path, http_address: str, **environment: str
    ) -> RunningProcess:
        """Start a daemon; `wait_ready` tells when it serves."""
        process, errors = await self._start(
            "eelgrasslock.daemon", "--settings", str(settings), **environment
        )
        running = RunningProcess(process, f"http://{http_address}", errors)
        self.all.append(running)
        return running

    async def wait_ready(self, running: RunningProcess, path: str = "/ready") -> None:
        """Wait until a daemon answers 200 on its readiness path."""

        async def ready() -> bool:
            assert running.process.returncode is None, running.error_text()
            return await self._answers(running.url + path)

        await eventually(ready)

    async def control(self, running: RunningProcess, **faults) -> None:
        """Switch faults of a stand-in."""
        async with self.session.post(running.url + "/control", json=faults) as answer:
            assert answer.status == 200, await answer.text()

    async def get(self, running: RunningProcess, path: str):
        """Return the JSON that a process answers on a path."""
        async with self.session.get(running.url + path) as answer:
            return await answer.json()

    async def _answers(self, url: str) -> bool:
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def _start(self, module: str, *arguments: str, **environment: str):
        errors = self.folder / f"process-{len(self.all)}.err"
        with errors.open("wb") as sink:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=sink,
                # Else the kernel ends stopped daemons with SIGHUP when the shell
                # that started the tests ends.
                start_new_session=True,
                preexec_fn=end_with_parent,
                env={**os.environ, "PYTHONPATH": str(_ROOT / "src"), **environment},
            )
        return process, errors
