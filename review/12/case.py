"""A server is killed in the middle of an answer without a length, and starts again.

Its caller reads slowly, so that the daemon sees the end of the answer only once the
server is back under its id.
"""

import asyncio
import pathlib
import time

from slow_caller import Caller

from deployment import (
    HOST,
    LOOKUPS,
    CannotRun,
    free_ports,
    has_trouble,
    run_case,
)

FOLDER = pathlib.Path(__file__).resolve().parent
PROGRAM = pathlib.Path("target/review-3/server_process.py").resolve()
FIRST_BYTES = 200_000
REST_BYTES = 100_000
REST_AFTER_SECONDS = 1.5
KILLED_AFTER_SECONDS = 0.4
DOWN_SECONDS = 2.0
READS_AFTER_SECONDS = 3.2
DEADLINE_SECONDS = 4.0
SERVERS = 7
SLOTS = 6


class ServerProcess:
    """A server that can be killed, and started again under its id and address."""

    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.id = f"i-{number:08x}"
        self.zone = zone
        (self.port,) = free_ports(1)
        self.process = None
        self.runs = []
        self._reading = None

    async def start(self):
        """Start the process, and register it."""
        shape = (FIRST_BYTES, REST_BYTES, REST_AFTER_SECONDS)
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            str(PROGRAM),
            str(self.port),
            self.id,
            *map(str, shape),
            stdout=asyncio.subprocess.PIPE,
        )
        await self.process.stdout.readline()
        self._reading = asyncio.create_task(self._read(self.process.stdout))
        address = f"{HOST}:{self.port}"
        self.deployment.register(self.id, address, self.zone, SLOTS)
        self.deployment.note(f"server {self.id} listens, pid {self.process.pid}")

    async def _read(self, lines):
        while line := (await lines.readline()).decode().strip():
            self.deployment.note(f"server {self.id}: {line}")
            if line.startswith("runs"):
                self.runs.append(line.partition(" ")[2])

    async def kill(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
            self.deployment.note(f"server {self.id} is killed")


async def play(deployment):
    """Play the case; return what broke the rule."""
    servers = [ServerProcess(deployment, n, "abc"[n % 3]) for n in range(SERVERS)]
    try:
        return await _play(deployment, servers)
    finally:
        for one in servers:
            await one.kill()


async def _play(deployment, servers):
    for one in servers:
        await one.start()
    for zone in "abc":
        deployment.add_daemon(f"edge-{zone}-1", zone)
    await deployment.start_daemons()
    caller = Caller(deployment.daemons[0].front_port, is_slow=True)
    began_at = time.monotonic()
    asking = asyncio.create_task(
        caller.ask("q1", f"{LOOKUPS}report", DEADLINE_SECONDS, READS_AFTER_SECONDS)
    )
    deployment.note("sent q1, a GET of a safe route; nothing is read for a while")
    await asyncio.sleep(KILLED_AFTER_SECONDS)
    running = [one for one in servers if "q1" in one.runs]
    if len(running) != 1:
        raise CannotRun("No server runs the request.")
    if has_trouble():
        await running[0].kill()
        await asyncio.sleep(DOWN_SECONDS)
        await running[0].start()
    answer = await asking
    caller.close()
    deployment.note(f"q1 after {time.monotonic() - began_at:.2f} s: {answer}")
    whole = b"f" * FIRST_BYTES + b"r" * REST_BYTES
    is_success = answer.status // 100 == 2 and answer.is_complete
    if is_success and answer.body != whole:
        return [f"a complete success with {len(answer.body)} of {len(whole)} bytes"]
    if not has_trouble() and not is_success:
        raise CannotRun("The request is not served in calm either.")
    return []


run_case(FOLDER, play)
