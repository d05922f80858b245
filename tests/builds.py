"""Daemons of several builds as processes, from the repository's own history."""

import asyncio
import contextlib
import os
import pathlib
import subprocess
import sys

from aiohttp.test_utils import TestServer

from child_processes import end_with_parent
from eelgrasslock.http.messages import OutgoingRequest
from eelgrasslock.http.pool import ConnectFailed
from platform_fleet import free_port

# The last landed build before this one, an earlier one, and the first one that
# keeps turns.
LAST_LANDED = "7827af4"
LANDED_BEFORE = "2f72a64b407ad8dd2b98c68165b67ee137f3c1f1"
FIRST_WITH_TURNS = "b739aca"

ROOT = pathlib.Path(__file__).resolve().parent.parent
THIS_BUILD = ROOT / "src"
READY_SECONDS = 20.0
POLL_SECONDS = 0.05
DRAIN_SECONDS = 5.0


def is_history_cut():
    """Return whether the repository may lack commits: it is shallow, or none."""
    answer = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "--is-shallow-repository"],
        capture_output=True,
        check=False,
        text=True,
    )
    return answer.stdout.strip() != "false"


def extract(commit, folder):
    """Put the sources of a commit into a folder; return None if it is not there."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", "--format=tar", commit, "src"],
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        return None
    folder.mkdir(parents=True, exist_ok=True)
    subprocess.run(
        ["tar", "-xf", "-", "-C", str(folder)], input=archive.stdout, check=True
    )
    return folder / "src"


def knows_first_start(source):
    """Return whether a build has the setting; others reject what they don't know."""
    folder = source / "eelgrasslock"
    return any("is_first_start" in one.read_text() for one in folder.rglob("*.py"))


class BuildDaemon:
    """A daemon of one build, which may be replaced by one of another build.

    Attributes
    ----------
    takes_requests : bool
        Whether the load balancer would send it new connections.
    kills : int
        How often it was killed.
    """

    def __init__(self, fleet, folder, name, domain, drain_seconds=DRAIN_SECONDS):
        self.fleet = fleet
        self.folder = folder
        self.name = name
        self.domain = domain
        self.drain_seconds = drain_seconds
        self.front_address = f"127.0.0.1:{free_port()}"
        self.ready_address = f"127.0.0.1:{free_port()}"
        self.peer_address = f"127.0.0.1:{free_port()}"
        self.process = None
        self.takes_requests = False
        self.starts = 0
        self.kills = 0

    async def open_door(self):
        self.door = self.fleet.store.door()
        self.faults = self.door.faults
        server = TestServer(self.door.application())
        await server.start_server(shutdown_timeout=0.05)
        self.fleet.stack.push_async_callback(server.close)
        self.store_address = f"127.0.0.1:{server.port}"

    async def start(self, source, is_first_start=False):
        self.starts += 1
        settings = self.folder / f"{self.name}-{self.starts}.yaml"
        text = self.settings()
        if knows_first_start(source):
            text += f"is_first_start: {str(is_first_start).lower()}\n"
        settings.write_text(text)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "eelgrasslock.daemon",
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=end_with_parent,
                env={
                    **os.environ,
                    "PYTHONPATH": str(source),
                    "EELGRASSLOCK_SETTINGS": str(settings),
                },
            )
        await self.wait_ready()
        self.takes_requests = True

    def settings(self):
        return (
            f"name: {self.name}\n"
            f"domain: {self.domain}\n"
            f'front_address: "{self.front_address}"\n'
            f'ready_address: "{self.ready_address}"\n'
            f'peer_address: "{self.peer_address}"\n'
            f'store_address: "{self.store_address}"\n'
            "store_partitions: 4\n"
            "store_retention_seconds: 300\n"
            f"drain_seconds: {self.drain_seconds}\n"
        )

    async def wait_ready(self):
        async with asyncio.timeout(READY_SECONDS):
            while not await self.is_ready():
                assert self.process.returncode is None, self.log_text()
                await asyncio.sleep(POLL_SECONDS)

    async def is_ready(self):
        probe = OutgoingRequest(
            method="GET", target="/eelgrasslock/readyz", headers=(("Host", "x"),)
        )
        try:
            connection = await self.fleet.pool.acquire(self.ready_address)
        except ConnectFailed:
            return False
        try:
            return (await connection.send(probe)).status == 200
        finally:
            connection.close()

    async def terminate(self):
        """End it as the platform does; it gets no new connection after a second."""
        self.process.terminate()
        await asyncio.sleep(1.0)
        self.takes_requests = False
        await asyncio.wait_for(self.process.wait(), self.drain_seconds + 5.0)

    async def kill(self):
        self.takes_requests = False
        self.kills += 1
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log_text(self):
        return (self.folder / f"{self.name}.log").read_text()[-4_000:]
